//! State of an entry.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use limpet_decide::{
    fair::FairQueue,
    hedge::Hedge,
    replica::Views,
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
    blackboard::Blackboard,
    entry::{
        limits::EntryLimits,
        places::Places,
        server, //
    },
};

/// Budgets of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceState {
    pub(super) hedge: Hedge,
    pub(super) retry: RetryBudget,
}

/// The side that faces callers.
#[derive(Debug)]
pub struct Entry {
    pub(super) board: Arc<Blackboard>,
    pub(super) peers: PeerClient,
    pub(super) places: Places,
    pub(super) ticket_done: Notify,
    pub(super) orders: Mutex<JoinSet<()>>,
    views: Mutex<Views>,
    services: Mutex<HashMap<ServiceName, ServiceState>>,
    tickets: Mutex<TicketTable>,
    in_flight: watch::Sender<usize>,
    stop: watch::Sender<bool>,
    accepting: Mutex<Option<JoinHandle<()>>>,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(super) struct InFlight<'a>(&'a watch::Sender<usize>);

impl Drop for InFlight<'_> {
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
            places: Places::new(FairQueue::new(limits.queue)),
            ticket_done: Notify::new(),
            orders: Mutex::new(JoinSet::new()),
            views: Mutex::new(Views::new()),
            services: Mutex::new(HashMap::new()),
            tickets: Mutex::new(TicketTable::new(limits.tickets)),
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

    /// Waits until no request is in flight, then closes the connections.
    ///
    /// The phase must be draining already: new requests are refused as not run meanwhile.
    pub async fn drain(&self) {
        debug_assert_eq!(self.board.phase(), Phase::Draining);
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
        let mut orders = std::mem::take(&mut *lock(&self.orders));
        while orders.join_next().await.is_some() {}
    }

    /// Counts a request as in flight.
    pub(super) fn enter(&self) -> InFlight<'_> {
        self.in_flight.send_modify(|count| *count += 1);
        InFlight(&self.in_flight)
    }

    pub(super) fn views(&self) -> MutexGuard<'_, Views> {
        lock(&self.views)
    }

    pub(super) fn tickets(&self) -> MutexGuard<'_, TicketTable> {
        lock(&self.tickets)
    }

    /// Runs `change` on the budgets of a service.
    pub(super) fn with_service<T>(
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
