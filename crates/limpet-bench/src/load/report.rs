//! Recorder of the outcomes of a load, and the report written from it.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::{
    arguments::TeamLoad,
    response_class::ResponseClass,
    timeline::{
        SecondStats,
        Timeline, //
    }, //
    zone_arrivals::ZoneArrivals,
};

/// Maximum number of wrong responses described in the report.
const WRONG_DESCRIPTIONS_MAX: usize = 20;
/// Upper bound of the latency histograms; longer latencies are recorded as this value.
const LATENCY_MAX_US: u64 = 60_000_000;

/// How one request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// A complete response was received.
    Response(ResponseClass),
    /// No entry was ready.
    NoReadyEntry,
    /// No connection was made, or it closed before the request was written, so nothing was sent.
    NotConnected,
    /// The connection broke before the response was complete.
    Interrupted,
    /// No response was received until well after the deadline.
    TimedOut,
}

/// Latency of answered requests, in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LatencyPercentiles {
    /// Median latency.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Largest latency.
    pub max_us: u64,
}

/// Numbers of requests by outcome, for all requests or those of one team or lookup.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestCounts {
    /// All requests, however they ended.
    pub sent: u64,
    /// Answers with full coverage.
    pub complete: u64,
    /// Answers with partial coverage.
    pub partial: u64,
    /// Refusals by error code.
    pub refused: BTreeMap<Box<str>, u64>,
    /// Share of all requests that were answered.
    pub served_share: f64,
}

/// Report of a load, written as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Time from the start of the load until every request has ended and the schedule, if any, is carried
    /// out, in seconds.
    pub duration_s: f64,
    /// Counts of all requests.
    pub total: RequestCounts,
    /// Latency of the answered requests.
    pub latency: LatencyPercentiles,
    /// Counts by team.
    pub teams: BTreeMap<Box<str>, RequestCounts>,
    /// Counts by lookup.
    pub lookups: BTreeMap<Box<str>, RequestCounts>,
    /// Latency of the answered requests, by lookup.
    pub lookup_latency: BTreeMap<Box<str>, LatencyPercentiles>,
    /// Refusals that do not state that no target ran any part of the request.
    pub maybe_run: u64,
    /// Responses that contradict their request or themselves.
    pub wrong: u64,
    /// Requests whose connection broke before the response was complete.
    pub cut: u64,
    /// Requests that had no response well after the deadline.
    pub lost: u64,
    /// Requests for which no entry was ready.
    pub no_entry: u64,
    /// Requests for which no connection was made, or whose connection closed before they were written.
    pub not_connected: u64,
    /// Descriptions of the first wrong responses.
    pub faults: Vec<Box<str>>,
    /// Outcomes and latency of the requests that were due in each second since the start of the load.
    pub seconds: Vec<SecondStats>,
    /// Numbers of attempts that arrived at the fake targets, by zone and by second since the start of the
    /// load; empty unless both the configuration text and the control address of the fake targets are given.
    pub zone_arrivals: ZoneArrivals,
}

impl LoadReport {
    /// Returns whether no response was wrong and no request was interrupted or timed out.
    pub const fn has_no_errors(&self) -> bool {
        self.wrong == 0 && self.cut == 0 && self.lost == 0
    }

    /// Returns a summary for the terminal: latency by lookup, served share by team, and errors.
    pub fn render_summary(&self) -> String {
        let mut out = String::new();
        // Writing to a `String` cannot fail.
        let _ = self.write_summary(&mut out);
        out
    }

    fn write_summary(&self, out: &mut String) -> std::fmt::Result {
        writeln!(
            out,
            "{:<20} {:>7} {:>9} {:>9} {:>9} {:>10} {:>9}",
            "lookup", "sent", "complete", "p50 ms", "p99 ms", "p99.9 ms", "max ms"
        )?;
        let to_ms = |us: u64| us as f64 / 1e3;
        for (name, counts) in &self.lookups {
            let latency = self.lookup_latency.get(name).cloned().unwrap_or_default();
            writeln!(
                out,
                "{name:<20} {:>7} {:>9} {:>9.1} {:>9.1} {:>10.1} {:>9.1}",
                counts.sent,
                counts.complete,
                to_ms(latency.p50_us),
                to_ms(latency.p99_us),
                to_ms(latency.p999_us),
                to_ms(latency.max_us),
            )?;
        }
        for (name, counts) in &self.teams {
            let (share, refused) = (counts.served_share, &counts.refused);
            writeln!(
                out,
                "team {name:<15} served {:>7.2}%, refused {refused:?}",
                share * 100.0
            )?;
        }
        writeln!(
            out,
            "{} wrong, {} cut, {} lost, {} without a ready entry, {} not connected, {} maybe run",
            self.wrong, self.cut, self.lost, self.no_entry, self.not_connected, self.maybe_run
        )?;
        self.faults
            .iter()
            .try_for_each(|description| writeln!(out, "wrong: {description}"))
    }
}

/// What a [`LoadRecorder`] has counted so far.
#[derive(Debug, Default)]
struct LoadCounts {
    total: RequestCounts,
    teams: Vec<RequestCounts>,
    lookups: BTreeMap<Box<str>, RequestCounts>,
    latency: Option<Histogram<u64>>,
    lookup_latency: BTreeMap<Box<str>, Histogram<u64>>,
    maybe_run: u64,
    wrong: u64,
    cut: u64,
    lost: u64,
    no_entry: u64,
    not_connected: u64,
    faults: Vec<Box<str>>,
    timeline: Timeline,
}

/// Collects the outcomes and latencies of a load's requests.
#[derive(Debug)]
pub(crate) struct LoadRecorder {
    team_names: Vec<Box<str>>,
    started_at: Instant,
    counts: Mutex<LoadCounts>,
}

impl LoadRecorder {
    /// Creates an empty recorder of a load that starts at `started_at`.
    pub(crate) fn new(teams: &[TeamLoad], started_at: Instant) -> Self {
        let counts = LoadCounts {
            teams: vec![RequestCounts::default(); teams.len()],
            ..LoadCounts::default()
        };
        Self {
            team_names: teams.iter().map(|team| team.name.clone()).collect(),
            started_at,
            counts: Mutex::new(counts),
        }
    }

    fn lock(&self) -> MutexGuard<'_, LoadCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request of the team at `team_index` that was due at `due` and has just ended.
    pub(crate) fn record(
        &self,
        team_index: usize,
        lookup: &str,
        due: Instant,
        outcome: RequestOutcome,
    ) {
        let latency_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(LATENCY_MAX_US);
        let mut counts = self.lock();
        let counts = &mut *counts;
        let due_after_start = due.saturating_duration_since(self.started_at);
        counts
            .timeline
            .record(due_after_start, latency_us, &outcome);
        match &outcome {
            RequestOutcome::NoReadyEntry => counts.no_entry += 1,
            RequestOutcome::NotConnected => counts.not_connected += 1,
            RequestOutcome::Interrupted => counts.cut += 1,
            RequestOutcome::TimedOut => counts.lost += 1,
            RequestOutcome::Response(ResponseClass::Wrong(reason)) => {
                counts.wrong += 1;
                if counts.faults.len() < WRONG_DESCRIPTIONS_MAX {
                    counts.faults.push(format!("{lookup}: {reason}").into());
                }
            }
            RequestOutcome::Response(ResponseClass::Refused { not_run: false, .. }) => {
                counts.maybe_run += 1
            }
            RequestOutcome::Response(ResponseClass::Complete | ResponseClass::Partial) => {
                record_latency(
                    counts.latency.get_or_insert_with(new_latency_histogram),
                    latency_us,
                );
                let lookup_histogram = counts.lookup_latency.entry(lookup.into());
                record_latency(
                    lookup_histogram.or_insert_with(new_latency_histogram),
                    latency_us,
                );
            }
            RequestOutcome::Response(ResponseClass::Refused { .. }) => {}
        }
        counts.total.record(&outcome);
        counts.teams[team_index].record(&outcome);
        counts
            .lookups
            .entry(lookup.into())
            .or_default()
            .record(&outcome);
    }

    /// Returns a progress line: the counts so far and the 99th percentile of the latency.
    pub(crate) fn progress_line(&self, elapsed: Duration) -> String {
        let counts = self.lock();
        let refused_count: u64 = counts.total.refused.values().sum();
        let p99_us = counts
            .latency
            .as_ref()
            .map_or(0, |histogram| histogram.value_at_quantile(0.99));
        format!(
            "{:>4} s: {} sent, {} complete, {} partial, {refused_count} refused, {} cut, {} lost, \
             {} wrong, p99 {:.1} ms",
            elapsed.as_secs(),
            counts.total.sent,
            counts.total.complete,
            counts.total.partial,
            counts.cut,
            counts.lost,
            counts.wrong,
            p99_us as f64 / 1e3,
        )
    }

    /// Returns the report of a load that lasted `elapsed`.
    pub(crate) fn build_report(&self, elapsed: Duration) -> LoadReport {
        let counts = self.lock();
        let team_names = self.team_names.iter().cloned();
        let lookup_latency = counts.lookup_latency.iter();
        LoadReport {
            duration_s: elapsed.as_secs_f64(),
            total: counts.total.with_served_share(),
            latency: counts
                .latency
                .as_ref()
                .map(LatencyPercentiles::from_histogram)
                .unwrap_or_default(),
            teams: team_names
                .zip(counts.teams.iter().map(RequestCounts::with_served_share))
                .collect(),
            lookups: counts
                .lookups
                .iter()
                .map(|(name, counts)| (name.clone(), counts.with_served_share()))
                .collect(),
            lookup_latency: lookup_latency
                .map(|(name, histogram)| {
                    (name.clone(), LatencyPercentiles::from_histogram(histogram))
                })
                .collect(),
            maybe_run: counts.maybe_run,
            wrong: counts.wrong,
            cut: counts.cut,
            lost: counts.lost,
            no_entry: counts.no_entry,
            not_connected: counts.not_connected,
            faults: counts.faults.clone(),
            seconds: counts.timeline.seconds(),
            zone_arrivals: ZoneArrivals::new(),
        }
    }
}

impl RequestCounts {
    fn record(&mut self, outcome: &RequestOutcome) {
        self.sent += 1;
        match outcome {
            RequestOutcome::Response(ResponseClass::Complete) => self.complete += 1,
            RequestOutcome::Response(ResponseClass::Partial) => self.partial += 1,
            RequestOutcome::Response(ResponseClass::Refused { code, .. }) => {
                *self.refused.entry(code.clone()).or_default() += 1;
            }
            _ => {}
        }
    }

    fn with_served_share(&self) -> Self {
        let served_count = self.complete + self.partial;
        Self {
            served_share: served_count as f64 / self.sent.max(1) as f64,
            ..self.clone()
        }
    }
}

/// Returns a histogram of latencies in microseconds.
///
/// The bounds are fixed, because `saturating_record` does not resize an auto-resizing histogram: every
/// latency would be recorded as its initial upper bound.
pub(crate) fn new_latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_MAX_US, 3)
        .unwrap_or_else(|_| unreachable!("the bounds and three significant digits are allowed"))
}

/// Records a latency, limited to [`LATENCY_MAX_US`].
pub(crate) fn record_latency(histogram: &mut Histogram<u64>, latency_us: u64) {
    histogram.saturating_record(latency_us.min(LATENCY_MAX_US));
}

impl LatencyPercentiles {
    /// Returns the percentiles of a histogram of microseconds.
    pub(crate) fn from_histogram(histogram: &Histogram<u64>) -> Self {
        Self {
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}
