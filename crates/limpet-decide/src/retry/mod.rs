//! Decides whether a failed attempt is retried.

/// Retries allowed per first attempt.
pub const RETRY_BUDGET_RATIO: f64 = 0.10;
/// Largest number of retries that the budget holds; a new budget holds as many.
const RETRY_TOKENS_MAX: f64 = 32.0;

/// Properties of a failed attempt that decide whether it is retried.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether the target certainly did not execute the attempt.
    pub is_not_run: bool,
    /// Whether the attempt certainly failed before it reached the target, and so put no load on the target.
    pub has_failed_before_target: bool,
    /// Number of attempts that the query has made at this shard so far, the failed one included.
    pub attempt_count: u32,
    /// Maximum number of attempts of a query at one shard, the first one included.
    pub attempts_max: u32,
}

/// Retry budget of one service: a token bucket that first attempts fill.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Number of retries that the budget allows now, with the fraction added so far.
    retry_tokens: f64,
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
            retry_tokens: RETRY_TOKENS_MAX,
        }
    }

    /// Records a first attempt, which adds a fraction of a retry to the budget.
    pub fn record_first_attempt(&mut self) {
        self.retry_tokens = (self.retry_tokens + RETRY_BUDGET_RATIO).min(RETRY_TOKENS_MAX);
    }

    /// Returns whether to retry, and takes the retry from the budget.
    ///
    /// Retrying an attempt that never reached its target costs no budget. The budget protects
    /// targets, and when one relay of eight fails, more than a tenth of the attempts move to
    /// another replica.
    pub fn try_spend(&mut self, failure: FailedAttempt) -> bool {
        let may_repeat = failure.is_idempotent || failure.is_not_run;
        if !may_repeat || failure.attempt_count >= failure.attempts_max {
            return false;
        }
        if failure.has_failed_before_target {
            return true;
        }
        if self.retry_tokens < 1.0 {
            return false;
        }
        self.retry_tokens -= 1.0;
        true
    }
}
