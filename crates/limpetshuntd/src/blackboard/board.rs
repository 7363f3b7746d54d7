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
    ConfigInForce,
    Members,
    OwnerDirectory,
    OwnershipDeadlines, //
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
    pub config_in_force: ArcSwapOption<ConfigInForce>,
    /// Texts refused since the one in force; written by the configuration controller.
    pub refused_texts: ArcSwap<Vec<RefusedText>>,
    /// Boot time in microseconds until which the configuration counts as current; written by the
    /// freshness controller.
    pub config_fresh_until_us: AtomicU64,
    /// Written by the gossip controller.
    pub members: ArcSwap<Members>,
    /// Groups that this process coordinates; written by the lease controller, spread by gossip.
    pub coordinated_groups: ArcSwap<Vec<GroupId>>,
    /// Written by the grant controller.
    pub owner_directory: ArcSwap<OwnerDirectory>,
    /// Set by the readiness check once the owners of most shards are known.
    pub(crate) has_known_owners: OnceLock<()>,
    /// Written by the grant controller; entries spend from it.
    pub(crate) token_pool: Mutex<TokenPool>,
    /// Signalled by the entry when a request finds no token.
    pub token_shortage: Notify,
    /// Signalled by the grant controller when tokens arrive.
    pub tokens_granted: Notify,
    /// Written by the grant controller.
    pub ownership_deadlines: ArcSwap<OwnershipDeadlines>,
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
            config_in_force: ArcSwapOption::empty(),
            refused_texts: ArcSwap::default(),
            config_fresh_until_us: AtomicU64::new(0),
            members: ArcSwap::default(),
            coordinated_groups: ArcSwap::default(),
            owner_directory: ArcSwap::default(),
            has_known_owners: OnceLock::new(),
            token_pool: Mutex::new(TokenPool::new()),
            token_shortage: Notify::new(),
            tokens_granted: Notify::new(),
            ownership_deadlines: ArcSwap::default(),
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
    pub fn config_in_force(&self) -> Option<Arc<ConfigInForce>> {
        self.config_in_force.load_full()
    }

    /// Returns whether the configuration counts as current at this moment.
    pub fn is_config_fresh(&self) -> bool {
        self.now() < Duration::from_micros(self.config_fresh_until_us.load(Ordering::Acquire))
    }

    /// Locks the tokens of this entry.
    pub fn token_pool(&self) -> MutexGuard<'_, TokenPool> {
        self.token_pool
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the strikes.
    pub fn strikes(&self) -> MutexGuard<'_, StrikeTable> {
        self.strikes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
