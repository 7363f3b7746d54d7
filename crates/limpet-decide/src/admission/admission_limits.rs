//! Thresholds of the admission control.

/// Smallest number of queries of a group that may run at a time.
const LIMIT_MIN: f64 = 2.0;

/// Thresholds of the admission control that a deployment may set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLimits {
    /// Number of queries of a group that may run at a time in a process that has just started, per core.
    pub initial_per_core: f64,
    /// Highest number of queries of a group that may run at a time, per core.
    pub max_per_core: f64,
    /// Fraction of the latency goal of a route above which its run time lowers the limit, from 0 to 1.
    pub decrease_goal_fraction: f64,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self {
            initial_per_core: 32.0,
            max_per_core: 128.0,
            decrease_goal_fraction: 0.8,
        }
    }
}

impl AdmissionLimits {
    /// Returns the lowest, the initial and the highest limit of a process.
    pub(super) fn bounds(&self, capacity_cores: f64) -> (f64, f64, f64) {
        let max = (self.max_per_core * capacity_cores).max(LIMIT_MIN);
        let initial = (self.initial_per_core * capacity_cores).clamp(LIMIT_MIN, max);
        (LIMIT_MIN, initial, max)
    }
}
