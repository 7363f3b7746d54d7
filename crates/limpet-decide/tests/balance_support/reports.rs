//! Reports of the processes of a run.

use std::{
    cmp::Reverse,
    time::Duration, //
};

use limpet_types::{
    codec,
    message::{
        LOAD_REPORT_MARKER,
        LoadReport,
        TargetUse, //
    },
};
use rand::Rng;

use super::{
    Event,
    FalseReports,
    Policy,
    Sim,
    SimTarget,
    WARMUP, //
};

/// Time between two reports of a process that sends many requests, in a fleet of this size.
const REPORT_INTERVAL: Duration = Duration::from_millis(825);
/// Time between two computations of the reported loads.
const APPLY_INTERVAL: Duration = Duration::from_millis(150);

impl Sim<'_> {
    /// Sends the report of a process to all others.
    pub(super) fn report(&mut self, process: usize) {
        let addr = self.processes[process].addr;
        let sender = &mut self.processes[process];
        sender.tracker.set_report_period(REPORT_INTERVAL);
        let report = sender.tracker.next_report(process as u64, addr, self.now);
        let Some(report) = report.filter(|_| !self.scenario.reports_stop) else {
            return;
        };
        self.report_count += u32::from(self.now >= WARMUP);
        let report = match self.scenario.false_reports.filter(|_| process == 0) {
            Some(kind) => self.falsify(report, kind),
            None => report,
        };
        self.report_bytes += codec::encode(&report).unwrap().len() + LOAD_REPORT_MARKER.len();
        let delivery = Event::Delivery {
            report: self.reports.len(),
        };
        self.reports.push((process, report));
        let at = self.now + self.scenario.report_delay;
        self.events.push(Reverse((at, delivery)));
    }

    /// Delivers a report to all other processes that get it.
    pub(super) fn deliver(&mut self, report: usize) {
        let (sender, report) = &self.reports[report];
        for (index, receiver) in self.processes.iter_mut().enumerate() {
            let is_lost = self.rng.random_bool(self.scenario.report_loss);
            if index != *sender && !is_lost {
                receiver.peer_loads.record(report.clone(), self.now);
            }
        }
    }

    fn falsify(&self, mut report: LoadReport, kind: FalseReports) -> LoadReport {
        let entry = |target: &SimTarget| TargetUse {
            target: target.name,
            in_flight: 1,
            requests_per_10_s: 1,
            rejected_255ths: 0,
            mean_in_flight_1000ths: 0,
        };
        let full = |target: &SimTarget| TargetUse {
            in_flight: u8::MAX,
            requests_per_10_s: u16::MAX,
            rejected_255ths: u8::MAX,
            mean_in_flight_1000ths: u16::MAX,
            ..entry(target)
        };
        let slow = |target: &SimTarget| TargetUse {
            mean_in_flight_1000ths: u16::MAX,
            ..entry(target)
        };
        let fast = |target: &SimTarget| TargetUse {
            in_flight: 0,
            requests_per_10_s: u16::MAX,
            ..entry(target)
        };
        report.targets = match kind {
            FalseReports::NoLoad => Vec::new(),
            FalseReports::FullLoad => self.targets.iter().take(1).map(full).collect(),
            FalseReports::FullLoadEverywhere => self.targets.iter().map(full).collect(),
            FalseReports::SlowTarget => self.targets.iter().take(1).map(slow).collect(),
            FalseReports::SlowEverywhere => self.targets.iter().map(slow).collect(),
            FalseReports::FastTarget => self.targets.iter().take(1).map(fast).collect(),
        };
        report
    }

    /// Computes the reported loads at a process if they are not recent.
    pub(super) fn apply_reports(&mut self, process: usize) {
        let now = self.now;
        let sender = &mut self.processes[process];
        let is_due = now >= sender.applied_at + APPLY_INTERVAL;
        let uses_reports = matches!(
            self.scenario.policy,
            Policy::Chosen | Policy::LateAsCurrent | Policy::ByRequests //
        );
        if !is_due || !uses_reports {
            return;
        }
        sender.applied_at = now;
        sender.peer_loads.remove_outdated(now);
        let loads = sender.peer_loads.target_loads(now);
        for (state, target) in sender.targets.iter_mut().zip(&self.targets) {
            let load = loads.get(&target.name).copied().unwrap_or_default();
            state.set_reported(load, now);
        }
    }
}
