//! Load reports that a process sends, counted in reports and bytes.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use limpet_decide::peer_load::{
    LoadTracker,
    TARGETS_MAX,
    name_hash, //
};
use limpet_types::{
    codec,
    message::{
        GatherLoad,
        LoadReport, //
    },
};

const SERVICE_COUNT: u64 = 12;
const TARGET_COUNT: u64 = 36;

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the reports, with their times in milliseconds, within ten seconds of a process that sends 50 requests per second, each for 20 ms, and exchanges
/// reports every 150 ms. `gathers_at` returns the gathers of the process at a time.
fn busy_reports(
    mut tracker: LoadTracker,
    gathers_at: fn(u64) -> GatherLoad,
) -> Vec<(u64, LoadReport)> {
    let addr = SocketAddr::from(([10, 0, 0, 1], 7100));
    let mut reports = Vec::new();
    for now_ms in (0..10_000).step_by(10) {
        let request = now_ms / 20;
        let target = name_hash(&format!("t{}", request % TARGET_COUNT));
        match now_ms % 20 {
            0 => {
                let service = name_hash(&format!("s{}", request % SERVICE_COUNT));
                tracker.record_request(service, at(now_ms));
                tracker.record_send(target, at(now_ms));
            }
            _ => tracker.record_end(target, at(now_ms)),
        }
        if now_ms % 150 == 0 {
            tracker.set_gathers(gathers_at(now_ms));
            let report = tracker.next_report(1, addr, at(now_ms));
            reports.extend(report.map(|report| (now_ms, report)));
        }
    }
    reports
}

fn byte_count(reports: &[(u64, LoadReport)]) -> usize {
    let sizes = reports
        .iter()
        .map(|(_, report)| codec::encode(report).unwrap().len());
    sizes.sum()
}

/// Returns the tracker of a process in a fleet where nobody reads the load of targets.
fn small_fleet() -> LoadTracker {
    let mut tracker = LoadTracker::new();
    tracker.set_reports_targets(false);
    tracker
}

/// Guards against reports about targets in a fleet where no process reads them: 23 reports with 7,526 bytes were sent
/// in the same time.
#[test]
fn small_fleet_hears_rates_at_each_refresh_and_nothing_of_targets() {
    let reports = busy_reports(small_fleet(), |_| GatherLoad::default());
    let is_empty = |(_, report): &(u64, LoadReport)| report.targets.is_empty();
    assert!(reports.iter().all(is_empty));
    assert_eq!(reports.len(), 9);
    assert!(byte_count(&reports) < 1000, "{}", byte_count(&reports));
    let rates = reports
        .iter()
        .skip(1)
        .map(|(_, report)| report.services.len());
    assert!(rates.min() == Some(SERVICE_COUNT as usize));
}

/// Guards against gathers that others hear of late because requests no longer cause reports.
#[test]
fn changed_gathers_are_reported_at_once_in_a_small_fleet() {
    let reports = busy_reports(small_fleet(), |now_ms| GatherLoad {
        running: u16::from(now_ms >= 5000),
        ..GatherLoad::default()
    });
    let first_changed = reports
        .iter()
        .find(|(_, report)| report.gathers.running == 1);
    // The report before is that of 4,800 ms, and the next one would be that of 6,000 ms.
    assert_eq!(first_changed.map(|(ms, _)| *ms), Some(5250));
}

/// Guards against a large fleet that no longer hears of the load of targets.
#[test]
fn large_fleet_hears_of_targets_as_often_as_allowed() {
    let reports = busy_reports(LoadTracker::new(), |_| GatherLoad::default());
    assert!(reports.len() >= 10_000 / 450, "{}", reports.len());
    let targets = reports
        .iter()
        .skip(2)
        .map(|(_, report)| report.targets.len());
    assert_eq!(targets.min(), Some(TARGETS_MAX));
}

/// Guards against a fleet that grows beyond the limit and hears of its targets only at the next refresh.
#[test]
fn load_of_targets_is_reported_when_the_fleet_has_grown() {
    let addr = SocketAddr::from(([10, 0, 0, 1], 7100));
    let mut tracker = small_fleet();
    tracker.record_request(name_hash("s"), at(0));
    tracker.record_send(name_hash("t"), at(0));
    assert!(tracker.next_report(1, addr, at(0)).is_some());
    tracker.record_send(name_hash("t"), at(300));
    assert!(tracker.next_report(1, addr, at(450)).is_none());
    tracker.set_reports_targets(true);
    let report = tracker.next_report(1, addr, at(600)).unwrap();
    assert_eq!(report.targets[0].in_flight, 2);
}
