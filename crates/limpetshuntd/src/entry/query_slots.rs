//! Places of running queries, given out by the fair queue.

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
    Released, //
};
use limpet_types::{
    BootClock,
    Refusal,
    RefusalCode, //
};
use tokio::sync::oneshot;

use crate::entry::state::lock;

#[derive(Debug)]
struct Inner {
    queue: FairQueue,
    waiting: HashMap<QueryId, oneshot::Sender<Released>>,
    next_id: QueryId,
}

/// The fair queue with those who wait in it.
#[derive(Debug)]
pub(super) struct QuerySlots {
    inner: Mutex<Inner>,
}

/// A place among the running queries, given back when dropped.
#[derive(Debug)]
pub(super) struct QuerySlot<'a> {
    places: &'a QuerySlots,
    started: Instant,
}

impl Drop for QuerySlot<'_> {
    fn drop(&mut self) {
        self.places.finish(self.started.elapsed());
    }
}

struct Waiter<'a> {
    places: &'a QuerySlots,
    id: QueryId,
    released: oneshot::Receiver<Released>,
    is_settled: bool,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        let mut inner = self.places.lock();
        inner.waiting.remove(&self.id);
        if inner.queue.cancel(self.id) {
            return;
        }
        drop(inner);
        // Released at the same moment: the place must not be lost.
        if let Ok(Released::Run(_)) = self.released.try_recv() {
            self.places.finish(Duration::ZERO);
        }
    }
}

impl QuerySlots {
    pub(super) fn new(queue: FairQueue) -> Self {
        Self {
            inner: Mutex::new(Inner {
                queue,
                waiting: HashMap::new(),
                next_id: 0,
            }),
        }
    }

    /// Waits for a place; `deadline` is a boot time.
    pub(super) async fn acquire(
        &self,
        team: &str,
        weight: u32,
        deadline: Duration,
    ) -> Result<QuerySlot<'_>, Refusal> {
        let clock = BootClock::new();
        let (sender, released) = oneshot::channel();
        let mut waiter = {
            let mut inner = self.lock();
            let id = inner.next_id;
            inner.next_id += 1;
            match inner.queue.admit(id, team, weight, deadline, clock.now()) {
                Admission::Run => return Ok(self.place()),
                Admission::QueueFull => return Err(overloaded("the queue is full")),
                Admission::DeadlineTooClose => {
                    return Err(overloaded("the queue is too long for the deadline"));
                }
                Admission::Queued => {}
            }
            inner.waiting.insert(id, sender);
            metrics::gauge!("limpet_entry_queued").set(inner.queue.queued() as f64);
            Waiter {
                places: self,
                id,
                released,
                is_settled: false,
            }
        };
        let time_left = deadline.saturating_sub(clock.now());
        match tokio::time::timeout(time_left, &mut waiter.released).await {
            Ok(Ok(Released::Run(_))) => {
                waiter.is_settled = true;
                Ok(self.place())
            }
            Ok(_) => {
                waiter.is_settled = true;
                Err(overloaded("the deadline passed in the queue"))
            }
            Err(_) => Err(overloaded("the deadline passed in the queue")),
        }
    }

    fn place(&self) -> QuerySlot<'_> {
        QuerySlot {
            places: self,
            started: Instant::now(),
        }
    }

    fn finish(&self, run_time: Duration) {
        let mut inner = self.lock();
        let released = inner.queue.finish(run_time, BootClock::new().now());
        for release in released {
            let (Released::Run(id) | Released::Expired(id)) = release;
            // A waiter that is gone takes the place back out of the channel in its `drop`.
            if let Some(sender) = inner.waiting.remove(&id) {
                let _ = sender.send(release);
            }
        }
        metrics::gauge!("limpet_entry_running").set(inner.queue.running() as f64);
        metrics::gauge!("limpet_entry_queued").set(inner.queue.queued() as f64);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }
}

fn overloaded(message: &str) -> Refusal {
    Refusal::not_run(RefusalCode::Overloaded, message)
}
