//! State that the controllers of this module share.

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
        config_installer::ConfigInstallerMessage,
        freshness::FreshnessMessage,
        membership::MembershipMessage,
        text_history::TextHistory, //
    },
    daemon::Context,
};

/// Result of the last evaluation by the freshness controller, for the controllers that read the
/// configuration service, call peers and answer calls of peers.
#[derive(Clone, Copy, Debug)]
pub(super) struct FreshnessStatus {
    /// Time since boot at which the configuration in force was current according to the latest evidence;
    /// `None` without evidence.
    pub(super) evidence_at: Option<Duration>,
    /// Reachability of the configuration service to report to peers.
    pub(super) reachability: ConfigServiceReachability,
    /// Whether the process is starting, or evidence is missing or about to expire, so that additional reads
    /// and calls are needed.
    pub(super) needs_evidence: bool,
}

/// State that the controllers of this module share.
#[derive(Debug)]
pub(super) struct ControlState {
    pub(super) board: Arc<Blackboard>,
    pub(super) peer_client: PeerClient,
    pub(super) settings: Arc<Settings>,
    /// Written by the freshness controller.
    pub(super) freshness_status: ArcSwap<FreshnessStatus>,
    /// Highest revision that was put in force or found invalid here, 0 for none; written by the config
    /// installer.
    pub(super) highest_checked_revision: AtomicU64,
    /// Highest revision that a peer reported, 0 for none; raised by received gossip messages.
    pub(super) highest_peer_revision: AtomicU64,
    /// Revision in force, 0 for none; written by the config installer.
    pub(super) installed_revision: watch::Sender<Revision>,
    /// Peer addresses of all VMs on the VM list, without this process; written by the membership
    /// controller.
    pub(super) listed_peers: ArcSwap<Vec<SocketAddr>>,
    /// Texts that were in force, as bases of deltas; filled by the config installer.
    text_history: Mutex<TextHistory>,
    /// Last record of this process that [`Self::update_own_record`] returned; `None` before its first call.
    last_own_record: Mutex<Option<NodeRecord>>,
}

impl ControlState {
    pub(super) fn new(context: &Context) -> Self {
        Self {
            board: Arc::clone(&context.board),
            peer_client: context.peer_client.clone(),
            settings: Arc::clone(&context.settings),
            freshness_status: ArcSwap::from_pointee(FreshnessStatus {
                evidence_at: None,
                reachability: ConfigServiceReachability::Unknown,
                needs_evidence: true,
            }),
            highest_checked_revision: AtomicU64::new(0),
            highest_peer_revision: AtomicU64::new(0),
            installed_revision: watch::Sender::new(0),
            listed_peers: ArcSwap::default(),
            text_history: Mutex::default(),
            last_own_record: Mutex::default(),
        }
    }

    /// Calls `use_history` with the latest texts that were in force, which stay locked during the call, and
    /// returns its result.
    pub(super) fn with_text_history<R>(
        &self,
        use_history: impl FnOnce(&mut TextHistory) -> R,
    ) -> R {
        use_history(
            &mut self
                .text_history
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Returns the current record of this process, with a higher version than the last record if
    /// they differ.
    pub(super) fn update_own_record(&self) -> NodeRecord {
        let board = &self.board;
        let mut last_own_record = self
            .last_own_record
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut record = NodeRecord {
            node: board.node,
            role: board.role,
            zone: board.zone.clone(),
            phase: board.phase(),
            revision: board
                .config_in_force
                .load()
                .as_ref()
                .map_or(0, |config| config.revision),
            coordinated_groups: board.coordinated_groups.load().to_vec(),
            version: last_own_record.as_ref().map_or(1, |last| last.version),
            age: Duration::ZERO,
        };
        if last_own_record.as_ref().is_some_and(|last| *last != record) {
            record.version += 1;
        }
        *last_own_record = Some(record.clone());
        record
    }

    /// Returns the age of the latest evidence that the configuration in force is current, as reported to
    /// peers; `None` without evidence, and while the process is starting.
    ///
    /// A peer counts reported evidence as that of a process that is already serving. Two starting
    /// processes that both read a stale service would otherwise confirm each other.
    pub(super) fn freshness_age(&self) -> Option<Duration> {
        if self.board.phase() == Phase::Starting {
            return None;
        }
        let evidence_at = self.freshness_status.load().evidence_at?;
        Some(self.board.now().saturating_sub(evidence_at))
    }

    /// Returns the highest revision that was checked here or reported by a peer.
    pub(super) fn highest_known_revision(&self) -> Revision {
        let checked = self.highest_checked_revision.load(Ordering::Acquire);
        checked.max(self.highest_peer_revision.load(Ordering::Acquire))
    }
}

/// Shared state, and the controllers that other controllers send messages to.
#[derive(Clone, Debug)]
pub(super) struct ControlHandles {
    pub(super) control_state: Arc<ControlState>,
    pub(super) freshness: ActorRef<FreshnessMessage>,
    pub(super) installer: ActorRef<ConfigInstallerMessage>,
    pub(super) membership: ActorRef<MembershipMessage>,
}
