//! Token bucket of one team, as one process sees it.

use std::time::Duration;

/// Largest token debt of a team, in seconds of its rate.
///
/// Reports of other processes arrive late, so the processes together may admit more than the burst.
/// The excess is paid back before anything else is admitted; the limit keeps a large excess from
/// locking the team out for long.
const DEBT_MAX_S: f64 = 1.0;

/// Fraction of the burst below which a team counts as near its limit: its admissions are then reported to
/// all processes in every round. The tokens of a team that stays within its rate remain above this fraction.
const NEAR_LIMIT_FRACTION: f64 = 0.8;

/// Largest time between two requests of a team at one of many processes that indicates a surge; two
/// report periods.
const SURGE_WINDOW: Duration = Duration::from_millis(300);

/// Fraction of the burst that is reserved for requests that can still meet their latency goal, so that
/// a team over its rate spends its tokens on answers that come in time.
const ON_TIME_RESERVE_FRACTION: f64 = 0.25;

/// Token bucket of one team.
///
/// Every process holds the whole bucket and deducts what the other processes report. While some
/// processes are silent, the bucket refills only by the `share` of the rate that the live processes may use.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    /// Number of tokens; negative after other processes admitted more requests than tokens were left.
    tokens: f64,
    refilled_at: Duration,
    /// Number of requests that this process admitted since its start.
    admitted_count: u64,
    last_admitted_at: Duration,
    /// Time of the admission before the latest one.
    previous_admitted_at: Option<Duration>,
}

impl TokenBucket {
    /// Creates the bucket of a team, full if the whole deployment starts for the first time, else empty.
    pub fn new(rate_per_s: f64, burst: f64, is_first_start: bool, now: Duration) -> Self {
        Self {
            rate_per_s,
            burst,
            // Other processes may have just spent the burst, or all processes may have restarted.
            tokens: if is_first_start { burst } else { 0.0 },
            refilled_at: now,
            admitted_count: 0,
            last_admitted_at: now,
            previous_admitted_at: None,
        }
    }

    /// Returns whether the team has a rate limit.
    pub fn has_rate_limit(&self) -> bool {
        self.rate_per_s > 0.0
    }

    /// Replaces the rate and the burst; caps the tokens at the new burst, and starts without tokens if the
    /// team had no rate limit before.
    pub fn set_limits(&mut self, rate_per_s: f64, burst: f64) {
        let had_rate_limit = self.has_rate_limit();
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.tokens = if had_rate_limit {
            self.tokens.min(burst)
        } else {
            0.0
        };
    }

    /// Returns the number of requests that this process admitted since its start.
    pub const fn admitted_count(&self) -> u64 {
        self.admitted_count
    }

    /// Returns whether this process admitted a request at or after `since`.
    pub fn has_admitted_since(&self, since: Duration) -> bool {
        self.admitted_count > 0 && self.last_admitted_at >= since
    }

    /// Returns whether the team may exceed its rate before the regular reports arrive.
    ///
    /// That is the case if few tokens are left, or if two requests came so close together that two such
    /// requests at each of the `process_count` processes would exceed twice the rate.
    pub fn is_near_limit(&self, process_count: usize) -> bool {
        if !self.has_rate_limit() {
            return false;
        }
        let gap = self
            .previous_admitted_at
            .map(|previous| self.last_admitted_at - previous);
        let is_gap_short = gap.is_some_and(|gap| gap <= SURGE_WINDOW);
        let allowed_in_window = self.rate_per_s * SURGE_WINDOW.as_secs_f64();
        let is_surge = is_gap_short && process_count as f64 > allowed_in_window;
        is_surge || self.tokens < self.burst * NEAR_LIMIT_FRACTION
    }

    /// Takes a token for one request; a request that is too late for its latency goal leaves a reserve to
    /// requests that can still meet theirs.
    ///
    /// # Errors
    ///
    /// Without enough tokens, returns the time until enough are available if no other process takes any, at
    /// most a minute.
    pub fn admit(&mut self, is_late: bool, share: f64, now: Duration) -> Result<(), Duration> {
        if self.has_rate_limit() {
            self.refill(share, now);
            let needed_tokens = match is_late {
                true => (self.burst * share * ON_TIME_RESERVE_FRACTION).max(1.0),
                false => 1.0,
            };
            if self.tokens < needed_tokens {
                let rate_per_s = (self.rate_per_s * share).max(f64::MIN_POSITIVE);
                let wait_s = (needed_tokens - self.tokens) / rate_per_s;
                return Err(Duration::from_secs_f64(wait_s.clamp(0.0, 60.0)));
            }
            self.tokens -= 1.0;
        }
        self.previous_admitted_at = (self.admitted_count > 0).then_some(self.last_admitted_at);
        self.admitted_count += 1;
        self.last_admitted_at = now;
        Ok(())
    }

    /// Deducts requests that another process reported as admitted.
    pub fn debit(&mut self, request_count: f64, share: f64, now: Duration) {
        if self.has_rate_limit() {
            self.refill(share, now);
            let floor = -self.rate_per_s * DEBT_MAX_S;
            self.tokens = (self.tokens - request_count).max(floor);
        }
    }

    /// Adds the tokens since the last refill, at the `share` of the rate and up to the same share of the
    /// burst.
    pub fn refill(&mut self, share: f64, now: Duration) {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let tokens = self.tokens + elapsed_s * self.rate_per_s * share;
        self.tokens = tokens.min((self.burst * share).max(1.0));
    }

    /// Refills the bucket and returns its tokens.
    pub fn tokens(&mut self, share: f64, now: Duration) -> f64 {
        self.refill(share, now);
        self.tokens
    }

    /// Replaces the number of tokens by the one that another process sees.
    ///
    /// Ignores what is no number.
    pub fn set_tokens(&mut self, tokens: f64, share: f64, now: Duration) {
        if !tokens.is_finite() {
            return;
        }
        self.refilled_at = now;
        self.tokens = tokens.min((self.burst * share).max(1.0));
    }

    /// Returns the rate of the team over all processes.
    pub const fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }
}
