//! State of the relay between attempts.

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
        sites::Sites,
        target::TargetMessage, //
    },
};

/// State of the relay between attempts.
#[derive(Debug)]
pub struct RelayState {
    pub(crate) board: Arc<Blackboard>,
    sites: ArcSwapOption<Sites>,
    rebuild: Mutex<()>,
    targets: RwLock<HashMap<TargetAddr, ActorRef<TargetMessage>>>,
    in_flight: watch::Sender<HashMap<TargetAddr, usize>>,
    /// Asks the controller to look at ownership and configuration now.
    pub(crate) wake: Notify,
}

impl RelayState {
    pub(crate) fn new(board: Arc<Blackboard>) -> Arc<Self> {
        Arc::new(Self {
            board,
            sites: ArcSwapOption::empty(),
            rebuild: Mutex::new(()),
            targets: RwLock::default(),
            in_flight: watch::Sender::default(),
            wake: Notify::new(),
        })
    }

    /// Returns the targets of the configuration in force, by name and by address.
    ///
    /// The table is built once per revision: a search through the text per attempt would cost time
    /// proportional to the number of targets.
    pub(crate) fn sites(&self) -> Option<Arc<Sites>> {
        let in_force = self.board.config_in_force()?;
        let current = |sites: &Arc<Sites>| Arc::ptr_eq(&sites.in_force, &in_force);
        if let Some(sites) = self.sites.load_full().filter(current) {
            return Some(sites);
        }
        let _one_at_a_time: MutexGuard<'_, ()> =
            self.rebuild.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sites) = self.sites.load_full().filter(current) {
            return Some(sites);
        }
        let sites = Arc::new(Sites::new(in_force));
        self.sites.store(Some(Arc::clone(&sites)));
        Some(sites)
    }

    pub(crate) fn target(&self, addr: TargetAddr) -> Option<ActorRef<TargetMessage>> {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        targets.get(&addr).cloned()
    }

    pub(crate) fn set_target(&self, addr: TargetAddr, actor: Option<ActorRef<TargetMessage>>) {
        let mut targets = self.targets.write().unwrap_or_else(PoisonError::into_inner);
        match actor {
            Some(actor) => targets.insert(addr, actor),
            None => targets.remove(&addr),
        };
    }

    /// Counts an attempt until the guard is dropped.
    pub(crate) fn enter(self: &Arc<Self>, addr: TargetAddr) -> InFlight {
        self.in_flight
            .send_modify(|counts| *counts.entry(addr).or_default() += 1);
        InFlight {
            relay: Arc::clone(self),
            addr,
        }
    }

    /// Returns whether no attempt at the target is queued or running.
    pub fn is_target_idle(&self, addr: TargetAddr) -> bool {
        !self.in_flight.borrow().contains_key(&addr)
    }

    /// Waits until no attempt is queued or running.
    pub async fn idle(&self) {
        let mut in_flight = self.in_flight.subscribe();
        // The sender lives in `self`, so the wait ends only by the condition.
        let _ = in_flight.wait_for(HashMap::is_empty).await;
    }
}

/// Counts one attempt.
#[derive(Debug)]
pub(crate) struct InFlight {
    relay: Arc<RelayState>,
    addr: TargetAddr,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.relay.in_flight.send_modify(|counts| {
            if let Some(count) = counts.get_mut(&self.addr) {
                *count -= 1;
                if *count == 0 {
                    counts.remove(&self.addr);
                }
            }
        });
    }
}
