//! What the controllers of this module share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use limpet_peer::PeerClient;
use limpet_types::{
    NodeRecord,
    Phase,
    Revision,
    message::ConfigServiceReachability, //
};
use ractor::ActorRef;
use tokio::sync::watch;

use crate::{
    Blackboard, Settings,
    control::{
        freshness::FreshnessMessage,
        installer::InstallerMessage,
        membership::MembershipMessage,
        texts::Texts, //
    },
    daemon::Context,
};

/// Evidence as last published by the freshness controller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evidence {
    /// Boot time at which the configuration was certainly current.
    pub(super) at: Option<Duration>,
    pub(super) reachability: ConfigServiceReachability,
    /// Whether reads and calls beyond the usual ones are needed.
    pub(super) is_wanted: bool,
}

/// Data that every controller of this module reads.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) board: Arc<Blackboard>,
    pub(super) peers: PeerClient,
    pub(super) settings: Arc<Settings>,
    /// Written by the freshness controller.
    pub(super) evidence: ArcSwap<Evidence>,
    /// Highest revision that was in force or refused here; written by the installer.
    pub(super) highest_judged: AtomicU64,
    /// Highest revision that a peer named.
    pub(super) highest_heard: AtomicU64,
    /// Written by the installer.
    pub(super) installed: watch::Sender<Revision>,
    /// Peer addresses of the VM list, without this process; written by the membership controller.
    pub(super) listed: ArcSwap<Vec<SocketAddr>>,
    texts: Mutex<Texts>,
    own: Mutex<Option<NodeRecord>>,
}

impl Shared {
    pub(super) fn new(context: &Context) -> Self {
        Self {
            board: Arc::clone(&context.board),
            peers: context.peers.clone(),
            settings: Arc::clone(&context.settings),
            evidence: ArcSwap::from_pointee(Evidence {
                at: None,
                reachability: ConfigServiceReachability::Unknown,
                is_wanted: true,
            }),
            highest_judged: AtomicU64::new(0),
            highest_heard: AtomicU64::new(0),
            installed: watch::Sender::new(0),
            listed: ArcSwap::default(),
            texts: Mutex::default(),
            own: Mutex::default(),
        }
    }

    /// Gives access to the texts kept for deltas.
    pub(super) fn with_texts<R>(&self, use_texts: impl FnOnce(&mut Texts) -> R) -> R {
        use_texts(&mut self.texts.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the record of this process; its version grows with each change.
    pub(super) fn own_record(&self) -> NodeRecord {
        let board = &self.board;
        let mut own = self.own.lock().unwrap_or_else(PoisonError::into_inner);
        let mut record = NodeRecord {
            node: board.node,
            role: board.role,
            zone: board.zone.clone(),
            phase: board.phase(),
            revision: board
                .config_in_force
                .load()
                .as_ref()
                .map_or(0, |c| c.revision),
            coordinated_groups: board.coordinated_groups.load().to_vec(),
            version: own.as_ref().map_or(1, |last| last.version),
            age: Duration::ZERO,
        };
        if own.as_ref().is_some_and(|last| *last != record) {
            record.version += 1;
        }
        *own = Some(record.clone());
        record
    }

    /// Returns the age of the evidence to tell peers.
    ///
    /// A starting process tells none: two starting processes could otherwise take each other's read
    /// of a stale service for the word of a peer that was up before.
    pub(super) fn freshness_age(&self) -> Option<Duration> {
        if self.board.phase() == Phase::Starting {
            return None;
        }
        let at = self.evidence.load().at?;
        Some(self.board.now().saturating_sub(at))
    }

    /// Returns the highest revision known to exist.
    pub(super) fn highest_known(&self) -> Revision {
        let judged = self.highest_judged.load(Ordering::Acquire);
        judged.max(self.highest_heard.load(Ordering::Acquire))
    }
}

/// Shared data and the controllers that take messages.
#[derive(Clone, Debug)]
pub(super) struct Links {
    pub(super) shared: Arc<Shared>,
    pub(super) freshness: ActorRef<FreshnessMessage>,
    pub(super) installer: ActorRef<InstallerMessage>,
    pub(super) membership: ActorRef<MembershipMessage>,
}
