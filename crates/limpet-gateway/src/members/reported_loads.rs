//! Sums of the load that the other processes report, as the choice of a target reads them.

use std::{
    sync::{
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use limpet_decide::spread::DIRECT_PROCESSES_MAX;

use super::REPORT_PERIOD;
use crate::shared_state::SharedState;

/// Age up to which the sums are used. They grow with the number of reports and targets, so they cost too much for each
/// choice.
const SUMS_AGE_MAX: Duration = REPORT_PERIOD;

/// When the reported loads were last passed to the targets.
#[derive(Debug, Default)]
pub struct ReportedLoads {
    summed_at: Mutex<Option<Duration>>,
}

impl ReportedLoads {
    /// Brings the reported loads up to date for the choice of a target, if it reads them in a fleet of this size.
    pub fn refresh_for_choice(&self, shared: &SharedState, process_count: usize) {
        if process_count > DIRECT_PROCESSES_MAX {
            self.refresh(shared);
        }
    }

    /// Sums up the reports and passes the sums to the targets, unless that was done a short time ago.
    ///
    /// The caller may not hold the lock of the fleet or that of the reports. They are locked one after the other, and a
    /// second caller waits meanwhile, because after a quiet time the former sums are old.
    fn refresh(&self, shared: &SharedState) {
        let now = shared.now();
        let mut summed_at = self
            .summed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if summed_at.is_some_and(|summed_at| now.saturating_sub(summed_at) < SUMS_AGE_MAX) {
            return;
        }
        let loads = shared.peer_loads().target_loads(now);
        shared.fleet().set_reported_loads(&loads, now);
        *summed_at = Some(now);
    }
}

/// Sets the gauges of the distribution of load over the targets of each service.
pub(crate) fn record_load_spreads(shared: &SharedState) {
    shared.reported_loads.refresh(shared);
    for (service, spread) in shared.fleet().load_spreads(shared.now()) {
        metrics::gauge!("limpet_target_load_spread", "service" => service.to_owned()).set(spread);
    }
}
