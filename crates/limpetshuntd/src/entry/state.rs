//! State of an entry.

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

/// Budgets of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceState {
    pub(super) hedge_policy: HedgePolicy,
    pub(super) retry_budget: RetryBudget,
}

/// The side that faces callers.
#[derive(Debug)]
pub struct Entry {
    pub(super) board: Arc<Blackboard>,
    pub(super) peers: PeerClient,
    pub(super) query_slots: QuerySlots,
    pub(super) order_finished: Notify,
    pub(super) order_tasks: Mutex<JoinSet<()>>,
    target_stats: Mutex<TargetStatsTable>,
    services: Mutex<HashMap<ServiceName, ServiceState>>,
    tickets: Mutex<TicketTable>,
    /// Revision for which views and budgets were last reduced to what still exists.
    retained_revision: AtomicU64,
    drain_notice: Duration,
    in_flight: watch::Sender<usize>,
    stop: watch::Sender<bool>,
    accepting: Mutex<Option<JoinHandle<()>>>,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard<'a>(&'a watch::Sender<usize>);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Entry {
    /// Creates an entry that does not serve yet.
    pub fn new(board: Arc<Blackboard>, peers: PeerClient, limits: EntryLimits) -> Arc<Self> {
        Arc::new(Self {
            board,
            peers,
            query_slots: QuerySlots::new(FairQueue::new(limits.queue)),
            order_finished: Notify::new(),
            order_tasks: Mutex::new(JoinSet::new()),
            target_stats: Mutex::new(TargetStatsTable::new()),
            services: Mutex::new(HashMap::new()),
            tickets: Mutex::new(TicketTable::new(limits.tickets)),
            retained_revision: AtomicU64::new(0),
            drain_notice: limits.drain_notice,
            in_flight: watch::Sender::new(0),
            stop: watch::Sender::new(false),
            accepting: Mutex::new(None),
        })
    }

    /// Serves callers on `listener` until [`Entry::drain`].
    pub fn serve(self: &Arc<Self>, listener: TcpListener) {
        let stopped = self.stop.subscribe();
        let accepting = tokio::spawn(server::accept(Arc::clone(self), listener, stopped));
        *lock(&self.accepting) = Some(accepting);
    }

    /// Waits for the drain notice and until no request is in flight, then closes the connections.
    ///
    /// The phase must be draining already: new requests are refused as not run meanwhile, and each
    /// refusal closes its connection. The notice keeps the listener open until the load balancer
    /// has seen readiness fail; a refused connection would look like a dead VM to callers.
    pub async fn drain(&self) {
        debug_assert_eq!(self.board.phase(), Phase::Draining);
        tokio::time::sleep(self.drain_notice).await;
        let mut in_flight = self.in_flight.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = in_flight.wait_for(|count| *count == 0).await;
        self.stop.send_replace(true);
        let accepting = lock(&self.accepting).take();
        if let Some(accepting) = accepting
            && let Err(error) = accepting.await
        {
            tracing::error!(%error, "server for callers ended badly");
        }
        let mut orders = std::mem::take(&mut *lock(&self.order_tasks));
        while orders.join_next().await.is_some() {}
    }

    /// Counts a request as in flight.
    pub(super) fn track_in_flight(&self) -> InFlightGuard<'_> {
        self.in_flight.send_modify(|count| *count += 1);
        InFlightGuard(&self.in_flight)
    }

    /// Forgets targets and services that a new configuration no longer has.
    ///
    /// Called for each request and does work once for each revision.
    pub(super) fn retain_configured(&self, in_force: &ConfigInForce) {
        let revision = in_force.revision;
        if self.retained_revision.swap(revision, Ordering::AcqRel) == revision {
            return;
        }
        let config = &in_force.config;
        self.target_stats()
            .retain(|addr| config.target(addr).is_some());
        lock(&self.services).retain(|name, _| config.service(name).is_some());
    }

    /// Returns the number of targets that the entry remembers.
    pub fn remembered_target_count(&self) -> usize {
        self.target_stats().len()
    }

    pub(super) fn target_stats(&self) -> MutexGuard<'_, TargetStatsTable> {
        lock(&self.target_stats)
    }

    pub(super) fn tickets(&self) -> MutexGuard<'_, TicketTable> {
        lock(&self.tickets)
    }

    /// Runs `change` on the budgets of a service.
    pub(super) fn with_service_state<T>(
        &self,
        service: &str,
        change: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        let mut services = lock(&self.services);
        if let Some(state) = services.get_mut(service) {
            return change(state);
        }
        change(services.entry(service.into()).or_default())
    }
}
