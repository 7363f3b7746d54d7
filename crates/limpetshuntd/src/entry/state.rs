//! State that the requests of one entry share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use limpet_decide::{
    fair::FairQueue,
    hedge::HedgePolicy,
    replica::TargetStatsTable,
    retry::RetryBudget,
    ticket::TicketTable, //
};
use limpet_peer::PeerClient;
use limpet_types::{
    Phase,
    ServiceName, //
};
use tokio::{
    net::TcpListener,
    sync::{
        Notify,
        watch, //
    },
    task::{
        JoinHandle,
        JoinSet, //
    },
};

use crate::{
    blackboard::{
        Blackboard,
        ConfigInForce, //
    },
    entry::{
        limits::EntryLimits,
        query_slots::QuerySlots,
        server, //
    },
};

/// Hedging and retry state of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceState {
    pub(super) hedge_policy: HedgePolicy,
    pub(super) retry_budget: RetryBudget,
}

/// Serves lookups and orders to callers by sending attempts to relays.
#[derive(Debug)]
pub struct Entry {
    pub(super) board: Arc<Blackboard>,
    pub(super) peer_client: PeerClient,
    pub(super) query_slots: QuerySlots,
    /// Signalled when the outcome of an order is recorded.
    pub(super) order_finished: Notify,
    /// Tasks of the running orders, which continue when their callers disconnect.
    pub(super) order_tasks: Mutex<JoinSet<()>>,
    target_stats: Mutex<TargetStatsTable>,
    service_states: Mutex<HashMap<ServiceName, ServiceState>>,
    tickets: Mutex<TicketTable>,
    /// Revision of the configuration to which `target_stats` and `service_states` were last pruned.
    pruned_revision: AtomicU64,
    /// See [`EntryLimits::drain_notice`].
    drain_notice: Duration,
    /// Number of requests and running orders that a drain waits for.
    in_flight_count: watch::Sender<usize>,
    /// Set at the end of a drain; closes the listener and the connections of callers.
    should_stop: watch::Sender<bool>,
    /// Task that accepts and serves callers, once [`Entry::serve`] has started it.
    accept_task: Mutex<Option<JoinHandle<()>>>,
}

/// Counts a request or a running order as in flight until the guard is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard<'a>(&'a watch::Sender<usize>);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

/// Locks `mutex`, even if a thread panicked while it held the lock.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Entry {
    /// Creates an entry that does not accept callers yet.
    pub fn new(board: Arc<Blackboard>, peer_client: PeerClient, limits: EntryLimits) -> Arc<Self> {
        Arc::new(Self {
            board,
            peer_client,
            query_slots: QuerySlots::new(FairQueue::new(limits.queue)),
            order_finished: Notify::new(),
            order_tasks: Mutex::new(JoinSet::new()),
            target_stats: Mutex::new(TargetStatsTable::new()),
            service_states: Mutex::new(HashMap::new()),
            tickets: Mutex::new(TicketTable::new(limits.tickets)),
            pruned_revision: AtomicU64::new(0),
            drain_notice: limits.drain_notice,
            in_flight_count: watch::Sender::new(0),
            should_stop: watch::Sender::new(false),
            accept_task: Mutex::new(None),
        })
    }

    /// Serves callers on `listener` in a task of its own until [`Entry::drain`] ends.
    pub fn serve(self: &Arc<Self>, listener: TcpListener) {
        let should_stop = self.should_stop.subscribe();
        let accept_task = tokio::spawn(server::accept_connections(
            Arc::clone(self),
            listener,
            should_stop,
        ));
        *lock(&self.accept_task) = Some(accept_task);
    }

    /// Waits for the drain notice to pass and for the requests in flight to end, then closes the listener
    /// and the connections.
    ///
    /// The phase must be `Draining` already, so that new requests are refused as not run and each
    /// refusal closes its connection. The listener stays open for the drain notice, until the load
    /// balancer has seen readiness fail: callers would take a refused connection for a dead VM.
    pub async fn drain(&self) {
        debug_assert_eq!(self.board.phase(), Phase::Draining);
        tokio::time::sleep(self.drain_notice).await;
        let mut in_flight_count = self.in_flight_count.subscribe();
        // The sender is a field of `self`, so it cannot be dropped during the wait.
        let _ = in_flight_count.wait_for(|count| *count == 0).await;
        self.should_stop.send_replace(true);
        let accept_task = lock(&self.accept_task).take();
        if let Some(accept_task) = accept_task
            && let Err(error) = accept_task.await
        {
            tracing::error!(%error, "server for callers failed");
        }
        let mut order_tasks = std::mem::take(&mut *lock(&self.order_tasks));
        while order_tasks.join_next().await.is_some() {}
    }

    /// Counts a request or a running order as in flight until the returned guard is dropped.
    pub(super) fn track_in_flight(&self) -> InFlightGuard<'_> {
        self.in_flight_count.send_modify(|count| *count += 1);
        InFlightGuard(&self.in_flight_count)
    }

    /// Removes the state of targets and services that the configuration no longer has.
    ///
    /// Called for each request; does nothing if the last call was for the same revision.
    pub(super) fn prune_unconfigured(&self, config_in_force: &ConfigInForce) {
        let revision = config_in_force.revision;
        if self.pruned_revision.swap(revision, Ordering::AcqRel) == revision {
            return;
        }
        let config = &config_in_force.config;
        self.target_stats()
            .retain(|addr| config.target(addr).is_some());
        lock(&self.service_states).retain(|name, _| config.service(name).is_some());
    }

    /// Returns the number of targets for which the entry keeps statistics.
    pub fn tracked_target_count(&self) -> usize {
        self.target_stats().len()
    }

    /// Locks the statistics of the targets.
    pub(super) fn target_stats(&self) -> MutexGuard<'_, TargetStatsTable> {
        lock(&self.target_stats)
    }

    /// Locks the tickets that this entry issued.
    pub(super) fn tickets(&self) -> MutexGuard<'_, TicketTable> {
        lock(&self.tickets)
    }

    /// Runs `update` on the state of a service, which is created if necessary.
    pub(super) fn with_service_state<T>(
        &self,
        service: &str,
        update: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        let mut service_states = lock(&self.service_states);
        if let Some(state) = service_states.get_mut(service) {
            return update(state);
        }
        update(service_states.entry(service.into()).or_default())
    }
}
