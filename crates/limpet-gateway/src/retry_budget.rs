//! Retry budgets of all services, and the retries that wait for them.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

pub use limpet_decide::attempt_budget::RetryLimits;
use limpet_decide::attempt_budget::{
    AttemptBudget,
    ExtraAttempt,
    RetryRank,
    SlackShare, //
};

use crate::ranked_waiters::{
    RankedWait,
    RankedWaiters, //
};

/// Time for which a computed share in the slack is used: the share is read for each request, and computing it locks the
/// reports of all processes.
const SHARE_MAX_AGE: Duration = Duration::from_millis(100);

/// Budget of one service.
#[derive(Debug)]
struct ServiceBudget {
    budget: AttemptBudget,
    /// Retries that wait for budget.
    waiters: Arc<RankedWaiters>,
}

/// Retry budgets by service.
#[derive(Debug)]
pub struct RetryBudgets {
    limits: RetryLimits,
    by_service: Mutex<HashMap<Box<str>, ServiceBudget>>,
}

impl RetryBudgets {
    /// Creates empty budgets.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            by_service: Mutex::default(),
        }
    }

    /// Returns whether the share of this process in the slack of a service must be set.
    pub fn needs_share(&self, service: &str, now: Duration) -> bool {
        self.with(service, |entry| {
            let share_set_at = entry.budget.share_set_at();
            share_set_at.is_none_or(|set_at| now.saturating_sub(set_at) >= SHARE_MAX_AGE)
        })
    }

    /// Sets the share of this process in the slack of a service.
    pub fn set_share(&self, service: &str, share: SlackShare, now: Duration) {
        self.with(service, |entry| entry.budget.set_share(share, now));
    }

    /// Records a request for a service, which may allow a retry that waits.
    pub fn record_request(&self, service: &str, now: Duration) {
        self.with(service, |entry| {
            entry.budget.record_request(now);
            entry.waiters.wake_first();
        });
    }

    /// Spends one extra attempt unless it is not allowed, or a retry of an earlier rank than `place` waits for budget.
    ///
    /// # Errors
    ///
    /// Returns the time at which the budget next changes without a request.
    pub fn try_spend(
        &self,
        service: &str,
        kind: ExtraAttempt,
        place: Option<&RankedWait>,
        now: Duration,
    ) -> Result<(), Duration> {
        self.with(service, |entry| {
            let is_next = match place {
                Some(place) => place.is_first(),
                None => entry.waiters.is_empty(),
            };
            match is_next && entry.budget.try_spend(kind, now) {
                true => Ok(()),
                false => Err(entry.budget.next_change(now)),
            }
        })
    }

    /// Takes back an extra attempt that was spent and not sent.
    pub fn refund(&self, service: &str, kind: ExtraAttempt, now: Duration) {
        self.with(service, |entry| {
            entry.budget.refund(kind, now);
            entry.waiters.wake_first();
        });
    }

    /// Adds a retry to those that wait for the budget of a service.
    pub fn wait(&self, service: &str, rank: RetryRank) -> RankedWait {
        self.with(service, |entry| entry.waiters.wait(rank))
    }

    /// Removes the budgets of the services that `is_used` does not name.
    pub fn retain(&self, is_used: impl Fn(&str) -> bool) {
        self.lock().retain(|service, _| is_used(service));
    }

    /// Calls `apply` with the budget of a service.
    fn with<T>(&self, service: &str, apply: impl FnOnce(&mut ServiceBudget) -> T) -> T {
        let mut by_service = self.lock();
        if let Some(entry) = by_service.get_mut(service) {
            return apply(entry);
        }
        let entry = ServiceBudget {
            budget: AttemptBudget::new(self.limits),
            waiters: Arc::new(RankedWaiters::new()),
        };
        apply(by_service.entry(service.into()).or_insert(entry))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Box<str>, ServiceBudget>> {
        self.by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
