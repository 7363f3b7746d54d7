//! State that the attempts, the controller and the target actors of a relay share.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        RwLock, //
    },
};

use arc_swap::ArcSwapOption;
use limpet_types::TargetAddr;
use ractor::ActorRef;
use tokio::sync::{
    Notify,
    watch, //
};

use crate::{
    blackboard::Blackboard,
    relay::{
        target::TargetActorMessage,
        target_table::TargetTable, //
    },
};

/// State that the attempts, the controller and the target actors of a relay share.
#[derive(Debug)]
pub struct RelayState {
    pub(crate) board: Arc<Blackboard>,
    /// Targets of the configuration that was in force at the last call of [`RelayState::target_table`].
    target_table: ArcSwapOption<TargetTable>,
    /// Held while the target table is rebuilt, so that it is built only once for a new revision.
    rebuild_lock: Mutex<()>,
    /// Actors of the owned targets; kept by the controller and used by arriving attempts.
    target_actors: RwLock<HashMap<TargetAddr, ActorRef<TargetActorMessage>>>,
    /// Number of attempts on each target that are queued, running, or abandoned while the target may still
    /// run them; a target without any is not in the map.
    in_flight_counts: watch::Sender<HashMap<TargetAddr, usize>>,
    /// Wakes the controller before its interval is over, to start the actor of a target that an
    /// attempt asks for.
    pub(crate) controller_wake: Notify,
}

impl RelayState {
    pub(crate) fn new(board: Arc<Blackboard>) -> Arc<Self> {
        Arc::new(Self {
            board,
            target_table: ArcSwapOption::empty(),
            rebuild_lock: Mutex::new(()),
            target_actors: RwLock::default(),
            in_flight_counts: watch::Sender::default(),
            controller_wake: Notify::new(),
        })
    }

    /// Returns the targets of the configuration in force, by name and by address; `None` if no configuration
    /// is in force yet.
    ///
    /// The table is built once per revision, because searching the configuration for each attempt
    /// would take time proportional to the number of targets.
    pub(crate) fn target_table(&self) -> Option<Arc<TargetTable>> {
        let config_in_force = self.board.config_in_force()?;
        let is_current =
            |table: &Arc<TargetTable>| Arc::ptr_eq(&table.config_in_force, &config_in_force);
        if let Some(target_table) = self.target_table.load_full().filter(is_current) {
            return Some(target_table);
        }
        let _rebuild_guard: MutexGuard<'_, ()> = self
            .rebuild_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(target_table) = self.target_table.load_full().filter(is_current) {
            return Some(target_table);
        }
        let target_table = Arc::new(TargetTable::new(config_in_force));
        self.target_table.store(Some(Arc::clone(&target_table)));
        Some(target_table)
    }

    /// Returns the actor that runs the attempts on a target; `None` if the relay does not serve it.
    pub(crate) fn target_actor(&self, addr: TargetAddr) -> Option<ActorRef<TargetActorMessage>> {
        let target_actors = self
            .target_actors
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        target_actors.get(&addr).cloned()
    }

    /// Sets the actor that runs the attempts on a target; `None` removes it.
    pub(crate) fn set_target_actor(
        &self,
        addr: TargetAddr,
        actor: Option<ActorRef<TargetActorMessage>>,
    ) {
        let mut target_actors = self
            .target_actors
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        match actor {
            Some(actor) => target_actors.insert(addr, actor),
            None => target_actors.remove(&addr),
        };
    }

    /// Counts an attempt on the target as in flight until the guard is dropped.
    pub(crate) fn count_in_flight(self: &Arc<Self>, addr: TargetAddr) -> InFlightGuard {
        self.in_flight_counts
            .send_modify(|counts| *counts.entry(addr).or_default() += 1);
        InFlightGuard {
            relay: Arc::clone(self),
            addr,
        }
    }

    /// Returns whether no attempt on the target is queued, running, or abandoned while the target may still
    /// run it.
    pub fn is_target_idle(&self, addr: TargetAddr) -> bool {
        !self.in_flight_counts.borrow().contains_key(&addr)
    }

    /// Waits until no attempt on any target is queued, running, or abandoned while the target may still run
    /// it.
    pub async fn wait_until_idle(&self) {
        let mut in_flight_counts = self.in_flight_counts.subscribe();
        // Fails only if the sender is dropped, and `self` holds it.
        let _ = in_flight_counts.wait_for(HashMap::is_empty).await;
    }
}

/// Counts an attempt as in flight until the guard is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    relay: Arc<RelayState>,
    addr: TargetAddr,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.relay.in_flight_counts.send_modify(|counts| {
            if let Some(count) = counts.get_mut(&self.addr) {
                *count -= 1;
                if *count == 0 {
                    counts.remove(&self.addr);
                }
            }
        });
    }
}
