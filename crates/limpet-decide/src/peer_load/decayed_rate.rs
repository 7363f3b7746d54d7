//! Rate of events whose past weighs less the older it is.

use std::time::Duration;

/// Usual time constant of the decay: events of the last two seconds have most of the weight.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Exponentially decayed rate of events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DecayedRate {
    /// Decayed number of events.
    weight: f64,
    updated_at: Duration,
    time_constant: Duration,
}

impl Default for DecayedRate {
    fn default() -> Self {
        Self::over(TIME_CONSTANT)
    }
}

impl DecayedRate {
    /// Creates a rate without events.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a rate without events in which events of the last `time_constant` have most of the weight.
    pub const fn over(time_constant: Duration) -> Self {
        Self {
            weight: 0.0,
            updated_at: Duration::ZERO,
            time_constant,
        }
    }

    /// Records `weight` events at once.
    pub fn record(&mut self, weight: f64, now: Duration) {
        self.weight = self.weight_at(now) + weight;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the number of events per second.
    pub fn per_s(&self, now: Duration) -> f64 {
        self.weight_at(now) / self.time_constant.as_secs_f64()
    }

    /// Returns the decayed number of events.
    pub fn weight_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.weight * (-age.as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }
}
