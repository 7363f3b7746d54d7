//! Sending, receiving and forgetting of load reports, in datagrams of their own.
//!
//! A load report takes the ways of the regular reports. One that is lost, late or odd costs accuracy only: without
//! reports, each process decides on its own observations.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use limpet_decide::{
    peer_load::{
        LOAD_REPORT_PERIOD,
        SERVICES_MAX,
        TARGETS_MAX, //
    },
    spread::DIRECT_PROCESSES_MAX,
};
use limpet_types::{
    codec,
    message::{
        LOAD_REPORT_MARKER,
        LoadReport, //
    },
};

use metrics::Counter;

use super::{
    Gossip,
    REPORT_PERIOD, //
};

/// Largest datagram of a load report; one with full lists has about 900 bytes.
const DATAGRAM_MAX_BYTES: usize = 1200;
/// Smallest second byte of a load report of any release; the first one is 0xff.
const VERSION_MARKER_MIN: u8 = 0xf0;
/// Shortest time between two log lines about processes whose load reports stopped.
const STOPPED_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Time after the start in which a process may not have heard of all others, so that it reports the load of targets even
/// if the fleet seems to be so small that nobody reads it.
const START_TIME: Duration = Duration::from_secs(3);

/// Why a received load report is not used, as the label of a metric.
type Rejection = &'static str;

/// Counters of the load reports that are sent and applied. Their handles are kept, because a process of a large fleet
/// applies many reports in a second.
#[derive(Debug)]
pub(super) struct ReportCounters {
    sent: Counter,
    applied: Counter,
}

impl ReportCounters {
    /// Looks up the handles of the counters.
    pub(super) fn new() -> Self {
        Self {
            sent: counter("sent", "sent"),
            applied: counter("received", "applied"),
        }
    }
}

/// Processes whose load reports stopped since the latest log line about them.
#[derive(Debug, Default)]
pub(super) struct StoppedReports {
    count: usize,
    logged_at: Option<Duration>,
}

impl StoppedReports {
    /// Adds processes whose reports stopped; returns how many stopped since the latest log line if one is due.
    fn add(&mut self, count: usize, now: Duration) -> Option<usize> {
        self.count += count;
        let is_due = self
            .logged_at
            .is_none_or(|logged_at| now >= logged_at + STOPPED_LOG_INTERVAL);
        (self.count > 0 && is_due).then(|| {
            self.logged_at = Some(now);
            std::mem::take(&mut self.count)
        })
    }
}

impl Gossip {
    /// Sends a load report if one is due.
    ///
    /// In a large fleet, load reports are as rare as the regular ones, because their bytes grow with the square of
    /// the number of processes.
    pub(super) async fn send_load_report(&self) {
        let shared = &self.shared;
        let report_interval = shared.membership().report_interval();
        // A tick that comes slightly early must not delay the report by a whole round.
        let period = LOAD_REPORT_PERIOD.max(report_interval.saturating_sub(REPORT_PERIOD / 2));
        shared.peer_loads().set_report_interval(report_interval);
        let (addr, now) = (shared.settings.peer_addr, shared.now());
        let process_count = shared.rate_limiter().process_counts().total;
        let reports_targets = process_count > DIRECT_PROCESSES_MAX || now < START_TIME;
        {
            let mut load_tracker = shared.load_tracker();
            load_tracker.set_report_period(period);
            load_tracker.set_reports_targets(reports_targets);
            if !load_tracker.may_report(now) {
                return;
            }
        }
        let gathers = shared.admission().gather_load(now);
        let report = {
            let mut load_tracker = shared.load_tracker();
            load_tracker.set_gathers(gathers);
            load_tracker.next_report(self.node, addr, now)
        };
        let Some(report) = report else {
            return;
        };
        match codec::encode(&report) {
            Ok(bytes) => {
                let datagram = [&LOAD_REPORT_MARKER, bytes.as_slice()].concat();
                self.send_on_routes(&datagram, &self.current_routes()).await;
                self.report_counters.sent.increment(1);
            }
            Err(error) => tracing::error!(%error, "load report cannot be encoded"),
        }
    }

    /// Applies a load report of another process, or ignores it.
    pub(super) fn handle_load_report(&self, datagram: &[u8], from: SocketAddr) {
        match self.accept_load_report(datagram, from) {
            Ok(()) => self.report_counters.applied.increment(1),
            Err(reason) => {
                tracing::debug!(%from, reason, "load report ignored");
                counter("received", reason).increment(1);
            }
        }
    }

    /// Checks a load report and stores it; returns why it is ignored otherwise.
    fn accept_load_report(&self, datagram: &[u8], from: SocketAddr) -> Result<(), Rejection> {
        if datagram.len() > DATAGRAM_MAX_BYTES {
            return Err("oversized");
        }
        let encoded = datagram.strip_prefix(&LOAD_REPORT_MARKER);
        let report: LoadReport =
            codec::decode(encoded.unwrap_or_default()).map_err(|_| "undecodable")?;
        if report.services.len() > SERVICES_MAX || report.targets.len() > TARGETS_MAX {
            return Err("oversized");
        }
        let shared = &self.shared;
        let is_known = {
            let membership = shared.membership();
            // A report that another process passed on arrives from that process.
            membership.node_at(report.addr) == Some(report.node)
                && (from == report.addr || membership.node_at(from).is_some())
        };
        if !is_known || report.addr == shared.settings.peer_addr {
            return Err("unknown_sender");
        }
        let is_recorded = shared.peer_loads().record(report, shared.now());
        is_recorded.then_some(()).ok_or("outdated")
    }

    /// Forgets the load of processes that no longer report it.
    pub(super) fn remove_outdated_loads(&self) {
        let now = self.shared.now();
        let stopped = self.shared.peer_loads().remove_outdated(now);
        if !stopped.is_empty() {
            counter("received", "stopped").increment(stopped.len() as u64);
        }
        let due_count = self.stopped_reports().add(stopped.len(), now);
        if let Some(processes) = due_count {
            tracing::warn!(
                processes,
                latest = ?stopped.last(),
                still_reporting = self.shared.peer_loads().len(),
                "load reports of processes stopped, their load is no longer considered"
            );
        }
    }
}

/// Returns whether a datagram that is no load report of this release is one of another release. No announcement begins
/// with these bytes: its second byte is the variant of its address, 0 or 1.
pub(super) fn is_unknown_version(datagram: &[u8]) -> bool {
    matches!(datagram, [0xff, second, ..] if *second >= VERSION_MARKER_MIN)
}

/// Counts a load report of another release. There is one in each round while a fleet is upgraded, so none is logged as a
/// warning.
pub(super) fn ignore_unknown_version(from: SocketAddr) {
    tracing::debug!(%from, "load report of another release ignored");
    counter("received", "unknown_version").increment(1);
}

/// Returns the counter of load reports with these labels.
fn counter(direction: &'static str, result: &'static str) -> Counter {
    metrics::counter!("limpet_load_reports_total", "direction" => direction, "result" => result)
}
