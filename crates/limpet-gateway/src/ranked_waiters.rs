//! Tasks that wait for something that becomes available one piece at a time.

use std::{
    collections::BTreeMap,
    ops::Bound,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
};

use limpet_decide::attempt_budget::RetryRank;
use tokio::sync::Notify;

/// Rank of a waiting task, and its number among those of equal rank.
type WaiterKey = (RetryRank, u64);

/// Waiting tasks in the order in which they are woken.
#[derive(Debug, Default)]
pub struct RankedWaiters {
    by_key: Mutex<BTreeMap<WaiterKey, Arc<Notify>>>,
    next_number: AtomicU64,
}

impl RankedWaiters {
    /// Creates a queue without tasks.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a task to the queue until the result is dropped.
    pub fn wait(self: &Arc<Self>, rank: RetryRank) -> RankedWait {
        let key = (rank, self.next_number.fetch_add(1, Ordering::Relaxed));
        let notify = Arc::new(Notify::new());
        self.lock().insert(key, Arc::clone(&notify));
        RankedWait {
            waiters: Arc::clone(self),
            key,
            notify,
        }
    }

    /// Returns whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Wakes the task of the first rank.
    pub fn wake_first(&self) {
        if let Some(notify) = self.lock().values().next() {
            notify.notify_one();
        }
    }

    /// Wakes all tasks.
    pub fn wake_all(&self) {
        self.lock().values().for_each(|notify| notify.notify_one());
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<WaiterKey, Arc<Notify>>> {
        self.by_key.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Place of one task in the queue; on drop, the next task is woken in its place.
#[derive(Debug)]
pub struct RankedWait {
    waiters: Arc<RankedWaiters>,
    key: WaiterKey,
    notify: Arc<Notify>,
}

impl RankedWait {
    /// Waits until the task is woken. A wake since the last call counts.
    pub async fn woken(&self) {
        self.notify.notified().await;
    }

    /// Returns whether no task has an earlier rank.
    pub fn is_first(&self) -> bool {
        let by_key = self.waiters.lock();
        by_key.keys().next() == Some(&self.key)
    }

    /// Wakes the task after this one, which cannot use what became available.
    pub fn pass_on(&self) {
        wake_after(&self.waiters.lock(), &self.key);
    }
}

impl Drop for RankedWait {
    fn drop(&mut self) {
        let mut by_key = self.waiters.lock();
        by_key.remove(&self.key);
        wake_after(&by_key, &self.key);
    }
}

/// Wakes the first task after `key`.
fn wake_after(by_key: &BTreeMap<WaiterKey, Arc<Notify>>, key: &WaiterKey) {
    let after = (Bound::Excluded(*key), Bound::Unbounded);
    if let Some((_, notify)) = by_key.range(after).next() {
        notify.notify_one();
    }
}
