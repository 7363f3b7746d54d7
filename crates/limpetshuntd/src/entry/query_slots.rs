//! Slots that limit how many queries run at a time, assigned to teams by the fair queue.

use std::{
    collections::HashMap,
    sync::{
        Mutex,
        MutexGuard, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use limpet_decide::fair::{
    Admission,
    FairQueue,
    QueryId,
    ReleasedQuery, //
};
use limpet_types::{
    BootClock,
    Refusal,
    RefusalCode, //
};
use tokio::sync::oneshot;

use crate::entry::state::lock;

/// The fair queue, and the channels on which queued queries learn that they may run or have expired.
#[derive(Debug)]
struct QueueState {
    queue: FairQueue,
    release_senders: HashMap<QueryId, oneshot::Sender<ReleasedQuery>>,
    next_query_id: QueryId,
}

/// Assigns slots to queries; a query waits in the fair queue while every slot is taken.
#[derive(Debug)]
pub(super) struct QuerySlots {
    state: Mutex<QueueState>,
}

/// Permission to run one query; dropping it frees the slot for the next queued query.
#[derive(Debug)]
pub(super) struct QuerySlot<'a> {
    slots: &'a QuerySlots,
    started_at: Instant,
}

impl Drop for QuerySlot<'_> {
    fn drop(&mut self) {
        self.slots.finish_query(self.started_at.elapsed());
    }
}

/// A queued query. Dropping it while it is queued, as a disconnect does, removes the query from the queue.
struct Waiter<'a> {
    slots: &'a QuerySlots,
    id: QueryId,
    release_receiver: oneshot::Receiver<ReleasedQuery>,
    /// Whether the waiter has learned that the query may run or has expired, so that there is nothing left
    /// to cancel.
    is_released: bool,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.is_released {
            return;
        }
        let mut state = self.slots.lock();
        state.release_senders.remove(&self.id);
        if state.queue.cancel(self.id) {
            return;
        }
        drop(state);
        // The queue released the query before the lock was taken; without this call its slot would never be
        // freed.
        if let Ok(ReleasedQuery::Run(_)) = self.release_receiver.try_recv() {
            self.slots.finish_query(Duration::ZERO);
        }
    }
}

impl QuerySlots {
    /// Creates slots that `queue` assigns.
    pub(super) fn new(queue: FairQueue) -> Self {
        Self {
            state: Mutex::new(QueueState {
                queue,
                release_senders: HashMap::new(),
                next_query_id: 0,
            }),
        }
    }

    /// Waits until the query of a team may run, at the latest until `deadline`, a time since boot.
    ///
    /// # Errors
    ///
    /// Refuses with `overloaded` if the queue is full or the query can't start before its deadline.
    pub(super) async fn acquire(
        &self,
        team: &str,
        weight: u32,
        deadline: Duration,
    ) -> Result<QuerySlot<'_>, Refusal> {
        let clock = BootClock::new();
        let (release_sender, release_receiver) = oneshot::channel();
        let mut waiter = {
            let mut state = self.lock();
            let id = state.next_query_id;
            state.next_query_id += 1;
            match state.queue.admit(id, team, weight, deadline, clock.now()) {
                Admission::Run => return Ok(self.new_slot()),
                Admission::QueueFull => return Err(overloaded_refusal("the queue is full")),
                Admission::DeadlineTooClose => {
                    return Err(overloaded_refusal("the queue is too long for the deadline"));
                }
                Admission::Queued => {}
            }
            state.release_senders.insert(id, release_sender);
            metrics::gauge!("limpet_entry_queued").set(state.queue.queued_count() as f64);
            Waiter {
                slots: self,
                id,
                release_receiver,
                is_released: false,
            }
        };
        let time_left = deadline.saturating_sub(clock.now());
        match tokio::time::timeout(time_left, &mut waiter.release_receiver).await {
            Ok(Ok(ReleasedQuery::Run(_))) => {
                waiter.is_released = true;
                Ok(self.new_slot())
            }
            Ok(_) => {
                waiter.is_released = true;
                Err(overloaded_refusal("the deadline passed in the queue"))
            }
            Err(_) => Err(overloaded_refusal("the deadline passed in the queue")),
        }
    }

    fn new_slot(&self) -> QuerySlot<'_> {
        QuerySlot {
            slots: self,
            started_at: Instant::now(),
        }
    }

    /// Frees the slot of a query and wakes the queries that the queue releases.
    fn finish_query(&self, run_time: Duration) {
        let mut state = self.lock();
        let released_queries = state.queue.finish(run_time, BootClock::new().now());
        for released in released_queries {
            let (ReleasedQuery::Run(id) | ReleasedQuery::Expired(id)) = released;
            // If the waiter is dropped meanwhile, its `drop` finds the slot in the channel and frees it.
            if let Some(release_sender) = state.release_senders.remove(&id) {
                let _ = release_sender.send(released);
            }
        }
        metrics::gauge!("limpet_entry_running").set(state.queue.running_count() as f64);
        metrics::gauge!("limpet_entry_queued").set(state.queue.queued_count() as f64);
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        lock(&self.state)
    }
}

/// Returns the refusal of a query that gets no slot, because the queue is full or the deadline is too near
/// or has passed.
fn overloaded_refusal(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::Overloaded, message)
}
