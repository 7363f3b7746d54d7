//! Whether a failed attempt is tried again.

/// Retries per first attempt.
pub const RETRY_BUDGET_RATIO: f64 = 0.10;
/// Retries that a service starts with and may save up.
const SAVED_RETRIES_MAX: f64 = 32.0;

/// A failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether the attempt certainly did not run.
    pub is_not_run: bool,
    /// Whether the attempt certainly did not reach the target and so put no load on it.
    pub has_not_reached_target: bool,
    /// Attempts of the query at this shard so far.
    pub attempts: u32,
    /// Most attempts of a query at one shard.
    pub attempts_max: u32,
}

/// Retry budget of one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved_retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Creates a full budget.
    pub const fn new() -> Self {
        Self {
            saved_retries: SAVED_RETRIES_MAX,
        }
    }

    /// Notes a first attempt, which earns a part of a retry.
    pub fn record_first_attempt(&mut self) {
        self.saved_retries = (self.saved_retries + RETRY_BUDGET_RATIO).min(SAVED_RETRIES_MAX);
    }

    /// Returns whether to try again, and spends from the budget.
    ///
    /// An attempt that did not reach a target is free: the budget protects targets, and the death of
    /// one relay of eight sends more than a tenth of the attempts to another replica.
    pub fn try_spend(&mut self, failure: FailedAttempt) -> bool {
        let may_repeat = failure.is_idempotent || failure.is_not_run;
        if !may_repeat || failure.attempts >= failure.attempts_max {
            return false;
        }
        if failure.has_not_reached_target {
            return true;
        }
        if self.saved_retries < 1.0 {
            return false;
        }
        self.saved_retries -= 1.0;
        true
    }
}
