//! Thresholds, times and reports that several tests of the admission use.

use std::time::Duration;

use limpet_decide::admission::{
    AdmissionLimits,
    RunReport, //
};

/// Goal of most queries here.
pub(crate) const GOAL: Duration = Duration::from_millis(100);

pub(crate) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Limits of a process that begins with 16 queries per core, whatever the default is.
pub(crate) const LIMITS: AdmissionLimits = AdmissionLimits {
    initial_per_core: 16.0,
    max_per_core: 128.0,
    decrease_goal_fraction: 0.8,
};

/// Returns the report of a query that a target answered.
pub(crate) const fn answered() -> RunReport {
    RunReport {
        has_free_slots: false,
        has_run_time: true,
        is_in_time: true,
        is_cut: false,
        part_count: 1,
        failed_part_count: 0,
        attempt_count: 1,
        rejected_attempt_count: 0,
    }
}
