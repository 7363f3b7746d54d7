//! State that the controllers of one process read and write.

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
    LeaseGroupId,
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

/// State that the controllers of one process share: each publishes here what it knows, and the other
/// controllers read that without a request to the writer (the blackboard pattern).
///
/// Fields without a lock have one writer, which their comments name.
#[derive(Debug)]
pub struct Blackboard {
    /// Clock that also counts the time during which the VM is suspended.
    pub clock: BootClock,
    /// Identifier of this process.
    pub node: NodeId,
    /// Role of this process.
    pub role: Role,
    /// Zone of this VM.
    pub zone: ZoneName,
    /// Lifecycle phase; written by the daemon, except that the freshness controller ends the phase
    /// `Starting`.
    pub phase: watch::Sender<Phase>,
    /// Configuration in force, if there is one yet; written by the config installer.
    pub config_in_force: ArcSwapOption<ConfigInForce>,
    /// Invalid configuration texts that are newer than the one in force; written by the config installer.
    pub refused_texts: ArcSwap<Vec<RefusedText>>,
    /// Time since boot, in microseconds, until which the configuration in force counts as current; 0 without
    /// evidence of that. Written by the freshness controller.
    pub config_fresh_until_us: AtomicU64,
    /// Nodes known by gossip; written by the membership controller.
    pub members: ArcSwap<Members>,
    /// Lease groups that this process coordinates; written by the lease module and sent to peers
    /// by gossip.
    pub coordinated_groups: ArcSwap<Vec<LeaseGroupId>>,
    /// Relay that owns each target; written by the lease module.
    pub owner_directory: ArcSwap<OwnerDirectory>,
    /// Set by the readiness check once an owner is known for more than half of the shards; never unset, so
    /// that a later failure of relays doesn't make every entry unready.
    pub(crate) has_known_owners: OnceLock<()>,
    /// Tokens granted to this entry; the lease module adds tokens, callers' requests acquire them.
    pub(crate) token_pool: Mutex<TokenPool>,
    /// Signalled when a caller's request finds no token in the pool, so that the lease module asks for more
    /// at once.
    pub token_shortage: Notify,
    /// Signalled when tokens were added to the pool, so that waiting requests try again.
    pub tokens_granted: Notify,
    /// Targets that this relay owns, and until when; written by the lease module.
    pub ownership_deadlines: ArcSwap<OwnershipDeadlines>,
    /// Target crashes by each request that was in flight; recorded by the relay module, merged from gossip.
    pub(crate) strikes: Mutex<StrikeTable>,
}

impl Blackboard {
    /// Creates the blackboard of a process in the phase `Starting`.
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

    /// Returns the time since the VM booted, including the time during which it was suspended.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the lifecycle phase of the process.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns the configuration in force, if there is one yet.
    pub fn config_in_force(&self) -> Option<Arc<ConfigInForce>> {
        self.config_in_force.load_full()
    }

    /// Returns whether the configuration in force counts as current now.
    pub fn is_config_fresh(&self) -> bool {
        self.now() < Duration::from_micros(self.config_fresh_until_us.load(Ordering::Acquire))
    }

    /// Locks the tokens granted to this entry.
    pub fn token_pool(&self) -> MutexGuard<'_, TokenPool> {
        self.token_pool
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the table of target crashes by each request that was in flight.
    pub fn strikes(&self) -> MutexGuard<'_, StrikeTable> {
        self.strikes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
