//! Use of the slots of the services of a group, smoothed over time.

use std::time::Duration;

/// Time constant of the smoothing. It is long beside the pauses of single targets, which fill the slots of one service
/// for a fraction of a second.
const TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Most requests per slot that are recorded for a service. A service without usable slots counts as this much; an
/// infinite value would never leave the smoothed one.
const PRESSURE_MAX: f64 = 4.0;

/// Requests in flight per slot of each service of a group.
#[derive(Clone, Debug, Default)]
pub struct ServicePressure {
    by_service: Vec<f64>,
    updated_at: Duration,
}

impl ServicePressure {
    /// Records the requests in flight per slot, in the same order of the services each time; infinite or not a number
    /// for a service without usable slots.
    pub fn record(&mut self, in_flight_per_slot: &[f64], now: Duration) {
        // `min` also turns a value that is not a number into the most.
        let bounded = in_flight_per_slot
            .iter()
            .map(|current| current.min(PRESSURE_MAX));
        if self.by_service.len() != in_flight_per_slot.len() {
            self.by_service = bounded.collect();
            self.updated_at = now;
            return;
        }
        let age = now.saturating_sub(self.updated_at);
        let weight = 1.0 - (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        for (smoothed, current) in self.by_service.iter_mut().zip(bounded) {
            *smoothed += weight * (current - *smoothed);
        }
        self.updated_at = now;
    }

    /// Returns the requests per slot of the most used service that an answer needs if it needs `needed_count` of them;
    /// `None` if nothing was recorded.
    pub fn of_needed(&self, needed_count: usize) -> Option<f64> {
        let mut sorted = self.by_service.clone();
        sorted.sort_unstable_by(f64::total_cmp);
        let index = needed_count.clamp(1, sorted.len().max(1)) - 1;
        sorted.get(index).copied()
    }
}
