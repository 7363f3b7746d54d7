//! How long the callers of a team usually wait on a route.

use std::time::Duration;

/// Latest requests that are looked at.
const REQUESTS: usize = 32;
/// Part of them that state at most the usual time: a quarter may be more patient callers, and three
/// quarters may be attempts that came back.
const USUAL_PART: f64 = 0.75;

/// The times that the latest requests stated.
///
/// An attempt that comes back after a refusal states only what is left of its caller's time, so the
/// difference to the usual time tells how long its caller has waited.
#[derive(Clone, Debug, Default)]
pub struct Patience {
    stated: Vec<Duration>,
    /// Place of the oldest one, once there are enough.
    oldest: usize,
}

impl Patience {
    /// Creates an estimate without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes the time that a request states.
    pub fn note(&mut self, stated: Duration) {
        if self.stated.len() < REQUESTS {
            self.stated.push(stated);
            return;
        }
        self.stated[self.oldest] = stated;
        self.oldest = (self.oldest + 1) % REQUESTS;
    }

    /// Returns how long the caller of a request has waited before it.
    pub fn waited(&self, stated: Duration) -> Duration {
        self.usual().saturating_sub(stated)
    }

    fn usual(&self) -> Duration {
        let mut sorted = self.stated.clone();
        sorted.sort_unstable();
        let rank = (sorted.len() as f64 * USUAL_PART) as usize;
        sorted.get(rank).copied().unwrap_or_default()
    }
}
