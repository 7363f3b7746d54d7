//! One process of the fleet, and what is counted.

use std::{
    collections::VecDeque,
    fmt::{
        self,
        Display,
        Formatter, //
    },
    time::Duration,
};

use limpet_decide::{
    aggregator::{
        AggregatorChooser,
        AggregatorUse,
        PeerEjection, //
    },
    peer_load::ReportedGatherLoad,
};
use limpet_types::message::GatherLoad;

use super::fleet::ZONES;

/// Age from which on a report counts as missing, unless reports are rarer.
const REPORT_AGE_MAX_MS: u64 = 3000;

/// How a process uses the load reports; all but one variant are wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Variant {
    /// As decided.
    Decided,
    /// Every query goes to the least loaded aggregator.
    LeastLoaded,
    /// Reports count as current whatever their age, and own queries since then are not added.
    AgeIgnored,
}

/// What a process reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reports {
    True,
    Missing,
    NoLoad,
    FullLoad,
}

/// Settings of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSettings {
    pub(crate) size: usize,
    /// Mean run time of a query, in milliseconds.
    pub(crate) run_ms: u64,
    /// Latency goal, in milliseconds.
    pub(crate) goal_ms: u64,
    /// Time between two reports of a process, and their delay and loss.
    pub(crate) report_period_ms: u64,
    pub(crate) report_delay_ms: u64,
    pub(crate) report_loss: f64,
    pub(crate) variant: Variant,
    pub(crate) seed: u64,
}

/// A query that runs or waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Query {
    pub(super) from: usize,
    pub(super) sent_at_ms: u64,
}

/// One process.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) zone: usize,
    pub(crate) cores: f64,
    pub(crate) is_live: bool,
    pub(crate) frozen_until_ms: u64,
    pub(crate) reports: Reports,
    /// Whether the process refuses every query as busy.
    pub(crate) refuses_all: bool,
    pub(super) limit: usize,
    pub(super) running: usize,
    pub(super) queue: VecDeque<Query>,
    pub(super) chooser: AggregatorChooser,
    pub(super) aggregator_use: AggregatorUse,
    pub(super) ejection: PeerEjection,
    /// Reports that were sent, the latest last.
    pub(super) sent_reports: VecDeque<(u64, GatherLoad)>,
    pub(super) was_loaded: bool,
}

/// Counts since the last reset.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) queries: usize,
    /// Refusals of aggregators as busy, by aggregator.
    pub(crate) busy: Vec<usize>,
    /// Queries that a process outside of the extended set ran itself, on cold connections.
    pub(crate) cold: usize,
    /// Queries for which no process was found.
    pub(crate) refused: usize,
    /// Queries whose aggregator froze before it had them.
    pub(crate) not_accepted: usize,
    /// Queries that were lost with their aggregator.
    pub(crate) lost: usize,
    /// Queries that ended after their goal.
    pub(crate) late: usize,
    /// Queries by process that ran them.
    pub(crate) run_by: Vec<usize>,
    /// Queries that left their zone, by zone.
    pub(crate) left_zone: [usize; ZONES.len()],
    /// Sum over the time of the queries in use, by process.
    pub(super) in_use_ms: Vec<usize>,
    pub(super) duration_ms: usize,
}

impl Display for Counts {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let busy: usize = self.busy.iter().sum();
        write!(
            formatter,
            "queries {} busy {busy} cold {} refused {} not accepted {} lost {} late {} left {:?}",
            self.queries,
            self.cold,
            self.refused,
            self.not_accepted,
            self.lost,
            self.late,
            self.left_zone
        )
    }
}

impl Process {
    /// Returns what the process reports.
    pub(super) fn gather_load(&self, run_ms: u64) -> GatherLoad {
        let wait_ms = (self.queue.len() as u64 + 1) * run_ms / self.limit as u64;
        let wait_ms = if self.running < self.limit {
            0
        } else {
            wait_ms
        };
        let load = GatherLoad {
            running: self.running as u16,
            waiting: self.queue.len() as u16,
            limit: self.limit as u16,
            expected_wait_ms: wait_ms as u16,
        };
        match self.reports {
            Reports::True | Reports::Missing => load,
            Reports::NoLoad => GatherLoad {
                running: 0,
                waiting: 0,
                limit: u16::MAX,
                expected_wait_ms: 0,
            },
            Reports::FullLoad => GatherLoad {
                running: self.limit as u16,
                waiting: 4 * self.limit as u16,
                limit: self.limit as u16,
                expected_wait_ms: 1000,
            },
        }
    }

    /// Returns the latest report that another process has received.
    pub(super) fn visible_report(
        &self,
        observer: usize,
        own: usize,
        now: Duration,
        settings: &FleetSettings,
    ) -> Option<ReportedGatherLoad> {
        let now_ms = now.as_millis() as u64;
        let is_received = |sent_at_ms: u64| {
            let key = (sent_at_ms ^ (observer as u64) << 32 ^ (own as u64) << 48)
                .wrapping_mul(0x9e37_79b9_7f4a_7c15);
            (key >> 40) as f64 / (1_u64 << 24) as f64 >= settings.report_loss
        };
        let mut reports = self.sent_reports.iter().rev();
        let (sent_at_ms, load) = reports.find(|(sent_at_ms, _)| {
            sent_at_ms + settings.report_delay_ms <= now_ms && is_received(*sent_at_ms)
        })?;
        let age_ms = now_ms - sent_at_ms - settings.report_delay_ms;
        let age_max_ms = REPORT_AGE_MAX_MS.max(settings.report_period_ms * 5 / 2);
        let is_used = settings.variant == Variant::AgeIgnored || age_ms < age_max_ms;
        is_used.then_some(ReportedGatherLoad {
            load: *load,
            age: Duration::from_millis(age_ms),
        })
    }
}

/// Keeps the end of a queue.
pub(super) trait KeepLast {
    fn keep_last(&mut self, length: usize);
}

impl<T> KeepLast for VecDeque<T> {
    fn keep_last(&mut self, length: usize) {
        let excess = self.len().saturating_sub(length);
        self.drain(..excess);
    }
}
