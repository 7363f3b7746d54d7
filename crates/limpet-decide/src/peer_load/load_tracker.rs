//! What a process reports about its own load.

use std::{
    cmp::Reverse,
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use limpet_types::message::{
    GatherLoad,
    LoadReport,
    NameHash,
    ServiceUse,
    TargetUse, //
};

use super::{
    DecayedRate,
    LOAD_REPORT_PERIOD,
    MeanInFlight,
    SERVICES_MAX,
    TARGET_REQUESTS_TIME,
    TARGETS_MAX, //
};

/// Rates below this are not reported: one request in ten seconds.
const RATE_MIN_PER_10_S: u16 = 1;

/// Time after which a load without changes is reported again: so often that the others don't forget it after 3 s if one
/// report is lost.
const REFRESH_AFTER: Duration = Duration::from_millis(1200);
/// Largest number of reports for which a process may save its periods.
const SAVED_REPORTS_MAX: u32 = 3;

/// Requests of this process to one target.
#[derive(Clone, Copy, Debug)]
struct TargetRates {
    in_flight: MeanInFlight,
    /// Requests over [`TARGET_REQUESTS_TIME`].
    sent: DecayedRate,
    /// Requests over the time of `rejected`.
    sent_lately: DecayedRate,
    rejected: DecayedRate,
}

impl Default for TargetRates {
    fn default() -> Self {
        Self {
            in_flight: MeanInFlight::new(),
            sent: DecayedRate::over(TARGET_REQUESTS_TIME),
            sent_lately: DecayedRate::new(),
            rejected: DecayedRate::new(),
        }
    }
}

/// Load of this process, from which its reports are built.
#[derive(Debug)]
pub struct LoadTracker {
    gathers: GatherLoad,
    requests: HashMap<NameHash, DecayedRate>,
    targets: HashMap<NameHash, TargetRates>,
    /// Rates of the services in the latest report, in requests per second.
    reported_rates: HashMap<NameHash, f64>,
    sequence: u32,
    reported_at: Option<Duration>,
    /// Mean time between two reports at most changes.
    report_period: Duration,
    /// Time that has not been used for reports; a report uses a period.
    saved_time: Duration,
    /// Whether the other processes read the load of targets.
    reports_targets: bool,
    /// Whether a request was sent or rejected since the latest report.
    has_target_change: bool,
    /// Whether the gathers changed since the latest report.
    has_gather_change: bool,
    /// Whether the latest report said anything; one more is sent after it so that the load ends with the peers too.
    was_loaded: bool,
}

impl Default for LoadTracker {
    fn default() -> Self {
        Self {
            gathers: GatherLoad::default(),
            requests: HashMap::new(),
            targets: HashMap::new(),
            reported_rates: HashMap::new(),
            sequence: 0,
            reported_at: None,
            report_period: LOAD_REPORT_PERIOD,
            saved_time: Duration::ZERO,
            reports_targets: true,
            has_target_change: false,
            has_gather_change: false,
            was_loaded: false,
        }
    }
}

impl LoadTracker {
    /// Creates the tracker of a process without load.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the scatter-gather queries of this process.
    pub fn set_gathers(&mut self, gathers: GatherLoad) {
        self.has_gather_change |= self.gathers != gathers;
        self.gathers = gathers;
    }

    /// Sets the time between two reports of a process whose load changes all the time; it is at least
    /// [`LOAD_REPORT_PERIOD`]. A process with few changes reports them sooner, and otherwise less often.
    pub fn set_report_period(&mut self, period: Duration) {
        self.report_period = period.max(LOAD_REPORT_PERIOD);
    }

    /// Sets whether the other processes read the load of targets. If not, reports omit it, and a request that is sent
    /// or rejected is no reason for a report.
    pub const fn set_reports_targets(&mut self, reports_targets: bool) {
        self.reports_targets = reports_targets;
    }

    /// Records a request for a service.
    pub fn record_request(&mut self, service: NameHash, now: Duration) {
        self.requests.entry(service).or_default().record(1.0, now);
    }

    /// Records a request that is sent to a target; [`LoadTracker::record_end`] must follow.
    pub fn record_send(&mut self, target: NameHash, now: Duration) {
        let rates = self.targets.entry(target).or_default();
        self.has_target_change = true;
        rates.in_flight.record_send(now);
        rates.sent.record(1.0, now);
        rates.sent_lately.record(1.0, now);
    }

    /// Records that a request to a target ended.
    pub fn record_end(&mut self, target: NameHash, now: Duration) {
        if let Some(rates) = self.targets.get_mut(&target) {
            rates.in_flight.record_end(now);
        }
    }

    /// Records that a target rejected a request as full.
    pub fn record_rejection(&mut self, target: NameHash, now: Duration) {
        let rates = self.targets.entry(target).or_default();
        rates.rejected.record(1.0, now);
        self.has_target_change = true;
    }

    /// Returns the rate of requests for a service that the latest report stated, in requests per second.
    pub fn reported_rate(&self, service: NameHash) -> Option<f64> {
        self.reported_rates.get(&service).copied()
    }

    /// Returns whether a report would keep the time between two reports.
    pub fn may_report(&self, now: Duration) -> bool {
        self.reported_at.is_none_or(|reported_at| {
            let age = now.saturating_sub(reported_at);
            age >= LOAD_REPORT_PERIOD && self.time_saved(now) >= self.report_period
        })
    }

    /// Builds the next report; returns `None` if none is due or there is nothing to say.
    pub fn next_report(
        &mut self,
        node: u64,
        addr: SocketAddr,
        now: Duration,
    ) -> Option<LoadReport> {
        if !self.is_due(now) {
            return None;
        }
        let services = self.used_services(now);
        // Also forgets unused targets, so it is called in any case.
        let used_targets = self.used_targets(now);
        let targets = match self.reports_targets {
            true => used_targets,
            false => Vec::new(),
        };
        self.reported_rates = services
            .iter()
            .map(|entry| (entry.service, f64::from(entry.requests_per_10_s) / 10.0))
            .collect();
        let is_loaded = !services.is_empty()
            || !targets.is_empty()
            || self.gathers.running > 0
            || self.gathers.waiting > 0;
        let says_something = is_loaded || self.was_loaded;
        self.was_loaded = is_loaded;
        if !says_something {
            return None;
        }
        self.saved_time = self.time_saved(now).saturating_sub(self.report_period);
        self.reported_at = Some(now);
        self.has_target_change = false;
        self.has_gather_change = false;
        self.sequence = self.sequence.wrapping_add(1);
        Some(LoadReport {
            node,
            addr,
            sequence: self.sequence,
            gathers: self.gathers,
            services,
            targets,
        })
    }

    /// Returns whether a report is due if there is something to say.
    ///
    /// A process that sends a request every few seconds reports it at once, within the bytes of regular reports: the
    /// others even out the load the better the sooner they hear of it.
    fn is_due(&self, now: Duration) -> bool {
        let has_change = self.has_gather_change || (self.reports_targets && self.has_target_change);
        let is_refresh_due = self
            .reported_at
            .is_none_or(|reported_at| now.saturating_sub(reported_at) >= REFRESH_AFTER);
        self.may_report(now) && (has_change || is_refresh_due)
    }

    /// Returns the time that has not been used for reports.
    fn time_saved(&self, now: Duration) -> Duration {
        let age = now.saturating_sub(self.reported_at.unwrap_or_default());
        (self.saved_time + age).min(self.report_period * SAVED_REPORTS_MAX)
    }

    /// Returns the services with the highest rates; forgets those without requests.
    fn used_services(&mut self, now: Duration) -> Vec<ServiceUse> {
        self.requests
            .retain(|_, rate| per_10_s(rate, now) >= RATE_MIN_PER_10_S);
        let mut services: Vec<ServiceUse> = self
            .requests
            .iter()
            .map(|(service, rate)| ServiceUse {
                service: *service,
                requests_per_10_s: per_10_s(rate, now),
            })
            .collect();
        services.sort_unstable_by_key(|entry| (Reverse(entry.requests_per_10_s), entry.service));
        services.truncate(SERVICES_MAX);
        services
    }

    /// Returns the targets with rejections first, then those with most requests; forgets those without requests.
    fn used_targets(&mut self, now: Duration) -> Vec<TargetUse> {
        self.targets.retain(|_, rates| {
            rates.in_flight.count() > 0 || per_10_s(&rates.sent, now) >= RATE_MIN_PER_10_S
        });
        let mut targets: Vec<TargetUse> = self
            .targets
            .iter()
            .map(|(target, rates)| TargetUse {
                target: *target,
                in_flight: u8::try_from(rates.in_flight.count()).unwrap_or(u8::MAX),
                requests_per_10_s: per_10_s(&rates.sent, now),
                rejected_255ths: rates.rejected_255ths(now),
                mean_in_flight_1000ths: (rates.in_flight.mean(now) * 1000.0).round() as u16,
            })
            .collect();
        targets.sort_unstable_by_key(|entry| {
            (
                Reverse(entry.rejected_255ths),
                Reverse(entry.requests_per_10_s),
                entry.target,
            )
        });
        targets.truncate(TARGETS_MAX);
        targets
    }
}

impl TargetRates {
    /// Returns the share of the recent requests that the target rejected, in 255ths. It falls while there are none:
    /// one request that was rejected says little after some seconds.
    fn rejected_255ths(&self, now: Duration) -> u8 {
        let sent = self.sent_lately.weight_at(now).max(1.0);
        let share = (self.rejected.weight_at(now) / sent).min(1.0);
        (share * f64::from(u8::MAX)).round() as u8
    }
}

/// Returns a rate in events per ten seconds.
fn per_10_s(rate: &DecayedRate, now: Duration) -> u16 {
    (rate.per_s(now) * 10.0).round() as u16
}
