//! What a run consists of, and what is measured.

use std::time::Duration;

/// How a process chooses a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The choice of this crate.
    Chosen,
    /// The least cost by own observations, as before load reports.
    OwnObservations,
    /// The choice that counts requests and not their time.
    ByRequests,
    /// The choice of this crate without reports.
    WithoutReports,
    /// The target with fewest requests in flight, own and reported, as if the reports were current.
    LateAsCurrent,
}

/// What one process reports falsely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FalseReports {
    /// No load at all.
    NoLoad,
    /// The largest load and only rejections at the first target.
    FullLoad,
    /// The largest load and only rejections at all targets.
    FullLoadEverywhere,
    /// Requests to the first target that take very long.
    SlowTarget,
    /// Requests to all targets that take very long.
    SlowEverywhere,
    /// Many requests to the first target that take no time.
    FastTarget,
}

/// Targets, drawn at random, that are slow for a while.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowTargets {
    pub(crate) count: usize,
    /// Multiple of the service time.
    pub(crate) factor: f64,
    /// Start, counted from the end of the warm-up.
    pub(crate) from: Duration,
    pub(crate) length: Duration,
}

/// Processes that send more requests than the others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BusySenders {
    pub(crate) count: usize,
    /// Share of all requests that they send.
    pub(crate) share: f64,
}

/// Processes, targets and failures of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    /// Number of processes by zone.
    pub(crate) process_zones: &'static [usize],
    /// Number of targets by zone.
    pub(crate) target_zones: &'static [usize],
    pub(crate) slots: u32,
    pub(crate) requests_per_s: f64,
    pub(crate) service_time: Duration,
    /// Slowest and fastest target, as multiples of the service time.
    pub(crate) speed_factors: (f64, f64),
    /// Share of the reports that get lost, at each receiver.
    pub(crate) report_loss: f64,
    /// Time between the pauses of a target and length of a pause, in which it completes no request.
    pub(crate) pauses: Option<(Duration, Duration)>,
    /// Time that a report takes.
    pub(crate) report_delay: Duration,
    pub(crate) reports_stop: bool,
    pub(crate) false_reports: Option<FalseReports>,
    /// Number of targets that reject every request.
    pub(crate) rejecting_targets: usize,
    /// Whether processes choose by the latency that they observed themselves.
    pub(crate) observes_latency: bool,
    /// Largest deviation of a single service time, relative to the mean of its target.
    pub(crate) time_variation: f64,
    /// Number of requests that wait at a target before it rejects more.
    pub(crate) queue_max: usize,
    pub(crate) slow_targets: Option<SlowTargets>,
    pub(crate) busy_senders: Option<BusySenders>,
    pub(crate) policy: Policy,
}

/// What was measured after the warm-up.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Measured {
    /// Requests to the busiest target, relative to the mean of those that don't reject.
    pub(crate) spread: f64,
    /// Requests to the least busy target, relative to the mean of those that don't reject.
    pub(crate) least: f64,
    /// Mean time in the queue of a target.
    pub(crate) wait: Duration,
    /// Mean time from the arrival at the target to the reply.
    pub(crate) latency: Duration,
    /// Share of the requests with a latency of over four service times.
    pub(crate) late_share: f64,
    /// 99th percentile of the time from the choice to the reply.
    pub(crate) p99: Duration,
    /// Time in use of the busiest target, relative to the mean. With slow targets, it is measured while they are slow,
    /// from 5 s after they became so.
    pub(crate) use_spread: f64,
    /// Share of the requests that went to the slow targets while they were slow.
    pub(crate) slow_share: f64,
    /// Share of the requests that went to these targets from 10 s after they were as fast as the others again.
    pub(crate) recovered_share: f64,
    /// Mean number of idle slots that requests in queues elsewhere could have used.
    pub(crate) idle_slots_while_queued: f64,
    /// Share of the requests that were rejected.
    pub(crate) rejected_share: f64,
    /// Requests to the first target, relative to the mean.
    pub(crate) first_target: f64,
    /// Reports of each process per second.
    pub(crate) reports_per_s: f64,
    /// Load reports that a process sends or passes on, without headers of the network.
    pub(crate) kb_per_s: f64,
}

impl Measured {
    /// Returns the mean of several runs.
    pub(crate) fn mean(runs: &[Self]) -> Self {
        let count = runs.len() as f64;
        let mean = |value: fn(&Self) -> f64| runs.iter().map(value).sum::<f64>() / count;
        Self {
            spread: mean(|run| run.spread),
            least: mean(|run| run.least),
            latency: Duration::from_secs_f64(mean(|run| run.latency.as_secs_f64())),
            late_share: mean(|run| run.late_share),
            p99: Duration::from_secs_f64(mean(|run| run.p99.as_secs_f64())),
            use_spread: mean(|run| run.use_spread),
            slow_share: mean(|run| run.slow_share),
            recovered_share: mean(|run| run.recovered_share),
            wait: Duration::from_secs_f64(mean(|run| run.wait.as_secs_f64())),
            idle_slots_while_queued: mean(|run| run.idle_slots_while_queued),
            rejected_share: mean(|run| run.rejected_share),
            first_target: mean(|run| run.first_target),
            kb_per_s: mean(|run| run.kb_per_s),
            reports_per_s: mean(|run| run.reports_per_s),
        }
    }
}
