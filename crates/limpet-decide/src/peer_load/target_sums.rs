//! Sums of the reports of several processes about one target.

use limpet_types::message::TargetUse;

use super::{
    ReportedTargetLoad,
    TARGET_REQUESTS_TIME, //
};

/// Multiple of the second highest figure of a target up to which the highest one counts.
const HIGHEST_MAX_FACTOR: f64 = 2.0;
/// Recent requests up to which the highest figure counts in any case.
const HIGHEST_REQUESTS_MIN: f64 = 5.0;
/// Requests in flight up to which the highest figure counts in any case.
const HIGHEST_IN_FLIGHT_MIN: f64 = 4.0;
/// Multiple of the second highest time in flight up to which the highest one counts. With 2, a process that reports one
/// slow target left it a fiftieth of its requests where each process sends it one in some seconds.
const HIGHEST_TIME_FACTOR: f64 = 1.0;
/// Time in flight up to which the only figure of a target counts.
const ONLY_TIME_MAX_S: f64 = 2.5;

/// Sum in which one process with a false figure can't outweigh all others.
#[derive(Clone, Copy, Debug, Default)]
struct BoundedSum {
    sum: f64,
    highest: f64,
    second: f64,
}

impl BoundedSum {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.second = self.second.max(value.min(self.highest));
        self.highest = self.highest.max(value);
    }

    /// Returns the sum; the highest value counts up to `highest_min`, or to `factor` times the second highest one.
    fn total(&self, factor: f64, highest_min: f64) -> f64 {
        let highest_max = (self.second * factor).max(highest_min);
        self.sum - (self.highest - highest_max).max(0.0)
    }
}

/// Sums of what other processes report about one target, weighted by the ages of the reports.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TargetSums {
    in_flight: BoundedSum,
    requests_per_s: f64,
    recent_requests: BoundedSum,
    recent_time_s: BoundedSum,
    /// Number of reports that name the target.
    report_count: u32,
    weight_max: f64,
    requests: f64,
    rejected: f64,
    /// Rejected requests in the report with most of them.
    most_rejected: f64,
}

impl TargetSums {
    /// Adds a report. `weight` is that by its age, and `count_weight` that of its recent requests.
    pub(super) fn add(&mut self, entry: &TargetUse, weight: f64, count_weight: f64) {
        let requests = f64::from(entry.requests_per_10_s);
        let window_s = TARGET_REQUESTS_TIME.as_secs_f64();
        let mean_in_flight = f64::from(entry.mean_in_flight_1000ths) / 1000.0;
        self.in_flight.add(weight * f64::from(entry.in_flight));
        self.requests_per_s += weight * requests / 10.0;
        self.recent_requests
            .add(count_weight * requests / 10.0 * window_s);
        self.recent_time_s
            .add(count_weight * mean_in_flight * window_s);
        let requests = weight * requests.max(1.0);
        let rejected = requests * f64::from(entry.rejected_255ths) / f64::from(u8::MAX);
        self.report_count += 1;
        self.weight_max = self.weight_max.max(weight);
        self.requests += requests;
        self.rejected += rejected;
        self.most_rejected = self.most_rejected.max(rejected);
    }

    /// Returns the load of the target.
    pub(super) fn load(&self) -> ReportedTargetLoad {
        let time_min_s = match self.report_count {
            1 => ONLY_TIME_MAX_S,
            _ => 0.0,
        };
        ReportedTargetLoad {
            in_flight: self
                .in_flight
                .total(HIGHEST_MAX_FACTOR, HIGHEST_IN_FLIGHT_MIN),
            requests_per_s: self.requests_per_s,
            recent_requests: self
                .recent_requests
                .total(HIGHEST_MAX_FACTOR, HIGHEST_REQUESTS_MIN),
            recent_time_s: self.recent_time_s.total(HIGHEST_TIME_FACTOR, time_min_s),
            rejected_share: self.rejected_share(),
        }
    }

    /// Returns the share of rejected requests, which falls with the age of the newest report.
    ///
    /// If several processes use the target, at least two must report rejections: a target that is full rejects
    /// others too, and a single false report must not empty it.
    fn rejected_share(&self) -> f64 {
        let is_confirmed = self.report_count == 1 || self.rejected > self.most_rejected;
        match is_confirmed && self.requests > 0.0 {
            true => self.weight_max * (self.rejected / self.requests).clamp(0.0, 1.0),
            false => 0.0,
        }
    }
}
