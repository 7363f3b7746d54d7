//! The blackboard.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use arc_swap::{
    ArcSwap,
    ArcSwapOption, //
};
use limpet_decide::{
    quarantine::StrikeTable,
    tokens::TokenPool, //
};
use limpet_types::{
    BootClock,
    GroupId,
    NodeId,
    Phase,
    Role,
    ZoneName,
    status::RefusedText, //
};
use tokio::sync::{
    Notify,
    watch, //
};

use crate::blackboard::{
    Directory,
    InForce,
    Members,
    Owned, //
};

/// State shared by the controllers of one process.
///
/// The comment on each field names its one writer.
#[derive(Debug)]
pub struct Blackboard {
    /// Clock that goes on during a suspend.
    pub clock: BootClock,
    /// This process.
    pub node: NodeId,
    /// What this process does.
    pub role: Role,
    /// Zone of this VM.
    pub zone: ZoneName,
    /// Written by the daemon; the freshness controller ends the start.
    pub phase: watch::Sender<Phase>,
    /// Written by the configuration controller.
    pub config: ArcSwapOption<InForce>,
    /// Texts refused since the one in force; written by the configuration controller.
    pub refused_texts: ArcSwap<Vec<RefusedText>>,
    /// Boot time in microseconds until which the configuration counts as current; written by the
    /// freshness controller.
    pub fresh_until_us: AtomicU64,
    /// Written by the gossip controller.
    pub members: ArcSwap<Members>,
    /// Groups that this process coordinates; written by the lease controller, spread by gossip.
    pub coordinates: ArcSwap<Vec<GroupId>>,
    /// Written by the grant controller.
    pub directory: ArcSwap<Directory>,
    /// Set by the readiness check once the owners of most shards are known.
    pub(crate) knows_owners: OnceLock<()>,
    /// Written by the grant controller; entries spend from it.
    pub(crate) shares: Mutex<TokenPool>,
    /// Signalled by the entry when a request finds no token.
    pub shares_missed: Notify,
    /// Signalled by the grant controller when tokens arrive.
    pub shares_refilled: Notify,
    /// Written by the grant controller.
    pub owned: ArcSwap<Owned>,
    /// Written by the relay and by the gossip controller.
    pub(crate) strikes: Mutex<StrikeTable>,
}

impl Blackboard {
    /// Creates the blackboard of a process that is starting.
    pub fn new(node: NodeId, role: Role, zone: ZoneName) -> Arc<Self> {
        Arc::new(Self {
            clock: BootClock::new(),
            node,
            role,
            zone,
            phase: watch::Sender::new(Phase::Starting),
            config: ArcSwapOption::empty(),
            refused_texts: ArcSwap::default(),
            fresh_until_us: AtomicU64::new(0),
            members: ArcSwap::default(),
            coordinates: ArcSwap::default(),
            directory: ArcSwap::default(),
            knows_owners: OnceLock::new(),
            shares: Mutex::new(TokenPool::new()),
            shares_missed: Notify::new(),
            shares_refilled: Notify::new(),
            owned: ArcSwap::default(),
            strikes: Mutex::new(StrikeTable::new()),
        })
    }

    /// Returns the time since boot, suspends included.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns where the process is in its life.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns the configuration in force, if there is one yet.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.config.load_full()
    }

    /// Returns whether the configuration counts as current at this moment.
    pub fn is_fresh(&self) -> bool {
        self.now() < Duration::from_micros(self.fresh_until_us.load(Ordering::Acquire))
    }

    /// Locks the tokens of this entry.
    pub fn shares(&self) -> MutexGuard<'_, TokenPool> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the strikes.
    pub fn strikes(&self) -> MutexGuard<'_, StrikeTable> {
        self.strikes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
