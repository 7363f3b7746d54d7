//! Rate and burst of one team as one process sees them.

use std::time::Duration;

/// Overdraft that an account may hold, in seconds of its rate.
///
/// Reports of other processes arrive late, so that the sum may pass the burst; what was spent too
/// much is paid back before anything else is admitted, but not without bound.
const OVERDRAFT_MAX_S: f64 = 1.0;

/// Part of the burst below which other processes are told at once what is admitted: a team that stays
/// within its rate keeps the level above it.
const PRESSED_LEVEL: f64 = 0.8;

/// Time within which two requests of a team at one of many processes show a surge; two rounds of reports.
const PRESSED_SPAN: Duration = Duration::from_millis(300);

/// Part of the burst that is kept for requests that can still meet their goal, so that a team over its
/// rate spends its tokens on answers in time.
const TIMELY_PART: f64 = 0.25;

/// Token bucket of one team. Every process holds the whole bucket and takes from it what the others
/// report; while some are silent it refills only by the part that is certainly not theirs.
#[derive(Clone, Debug)]
pub struct Account {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    refilled_at: Duration,
    admitted: u64,
    admitted_at: Duration,
    /// Time of the admission before the last one.
    admitted_before_at: Option<Duration>,
}

impl Account {
    /// Creates the account of a team; `is_first_start` tells that nothing was spent before.
    pub fn new(rate_per_s: f64, burst: f64, is_first_start: bool, now: Duration) -> Self {
        Self {
            rate_per_s,
            burst,
            // Others may have spent the burst a moment ago, and the whole fleet may have restarted.
            level: if is_first_start { burst } else { 0.0 },
            refilled_at: now,
            admitted: 0,
            admitted_at: now,
            admitted_before_at: None,
        }
    }

    /// Returns whether the team has a limit.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }

    /// Takes over a new rate and burst; the level never rises by it.
    pub fn set_limits(&mut self, rate_per_s: f64, burst: f64) {
        let had_limit = self.is_limited();
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = if had_limit {
            self.level.min(burst)
        } else {
            0.0
        };
    }

    /// Requests admitted by this process since its start.
    pub const fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Returns whether this process admitted a request since a time.
    pub fn is_changed_since(&self, since: Duration) -> bool {
        self.admitted > 0 && self.admitted_at >= since
    }

    /// Returns whether the team uses up its rate, so that late reports would let it pass the rate: the
    /// level is low, or two requests came here so close to each other that the same at every one of the
    /// `processes` is twice the rate.
    pub fn is_pressed(&self, processes: usize) -> bool {
        if !self.is_limited() {
            return false;
        }
        let apart = self
            .admitted_before_at
            .map(|before| self.admitted_at - before);
        let is_close = apart.is_some_and(|apart| apart <= PRESSED_SPAN);
        let expected = self.rate_per_s * PRESSED_SPAN.as_secs_f64();
        let is_surge = is_close && processes as f64 > expected;
        is_surge || self.level < self.burst * PRESSED_LEVEL
    }

    /// Admits one request, or tells after what time one may be admitted; one that `is_late` for its goal
    /// leaves some tokens to others.
    ///
    /// # Errors
    ///
    /// The time until a token is there, if no other process takes it.
    pub fn admit(&mut self, is_late: bool, share: f64, now: Duration) -> Result<(), Duration> {
        if self.is_limited() {
            self.refill(share, now);
            let needed = match is_late {
                true => (self.burst * share * TIMELY_PART).max(1.0),
                false => 1.0,
            };
            if self.level < needed {
                let rate_per_s = (self.rate_per_s * share).max(f64::MIN_POSITIVE);
                let wait_s = (needed - self.level) / rate_per_s;
                return Err(Duration::from_secs_f64(wait_s.clamp(0.0, 60.0)));
            }
            self.level -= 1.0;
        }
        self.admitted_before_at = (self.admitted > 0).then_some(self.admitted_at);
        self.admitted += 1;
        self.admitted_at = now;
        Ok(())
    }

    /// Takes out what another process reported as admitted.
    pub fn debit(&mut self, requests: f64, share: f64, now: Duration) {
        if self.is_limited() {
            self.refill(share, now);
            let floor = -self.rate_per_s * OVERDRAFT_MAX_S;
            self.level = (self.level - requests).max(floor);
        }
    }

    /// Refills by the part `share` of the rate; a process that hears only some of the others also
    /// holds only that part of the burst.
    pub fn refill(&mut self, share: f64, now: Duration) {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let level = self.level + elapsed_s * self.rate_per_s * share;
        self.level = level.min((self.burst * share).max(1.0));
    }

    /// Returns the tokens that are left.
    pub fn level(&mut self, share: f64, now: Duration) -> f64 {
        self.refill(share, now);
        self.level
    }

    /// Takes over the tokens that another process sees left.
    pub fn adopt_level(&mut self, level: f64, share: f64, now: Duration) {
        self.refilled_at = now;
        self.level = level.min((self.burst * share).max(1.0));
    }

    /// Requests per second of the whole fleet.
    pub const fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }
}
