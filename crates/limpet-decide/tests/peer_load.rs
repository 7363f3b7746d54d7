//! Load reports: what a process reports, and what it makes of the reports of others.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use limpet_decide::peer_load::{
    LOAD_REPORT_PERIOD,
    LoadTracker,
    MeanInFlight,
    PeerLoads,
    SERVICES_MAX,
    TARGETS_MAX,
    name_hash, //
};
use limpet_types::message::{
    GatherLoad,
    LoadReport,
    TargetUse, //
};

fn addr(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 7100))
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the report of a process that sends `per_s` requests per second to the service `s` and the target `t`.
fn report(index: u8, per_s: u32, now: Duration) -> LoadReport {
    let mut tracker = LoadTracker::new();
    for request in 0..per_s * 10 {
        let sent_at = now.saturating_sub(Duration::from_secs(10))
            + Duration::from_secs(10) * request / (per_s * 10);
        tracker.record_request(name_hash("s"), sent_at);
        tracker.record_send(name_hash("t"), sent_at);
        tracker.record_end(name_hash("t"), sent_at);
    }
    tracker
        .next_report(u64::from(index), addr(index), now)
        .unwrap()
}

/// Guards against rates that are off by the time constant of the decay.
#[test]
fn reported_rate_is_the_rate_of_requests() {
    let report = report(1, 20, at(10_000));
    let per_s = f64::from(report.services[0].requests_per_10_s) / 10.0;
    assert!((18.0..22.0).contains(&per_s), "{per_s}");
}

/// Guards against a report that an idle process sends again and again.
#[test]
fn idle_process_reports_its_last_load_once_more_and_then_nothing() {
    let mut tracker = LoadTracker::new();
    assert!(tracker.next_report(1, addr(1), at(0)).is_none());
    tracker.set_gathers(GatherLoad {
        running: 1,
        ..GatherLoad::default()
    });
    assert!(tracker.next_report(1, addr(1), at(1000)).is_some());
    tracker.set_gathers(GatherLoad::default());
    assert!(
        tracker.next_report(1, addr(1), at(1001)).is_none(),
        "not due"
    );
    assert!(
        tracker
            .next_report(1, addr(1), at(1000) + LOAD_REPORT_PERIOD)
            .is_some()
    );
    assert!(
        tracker
            .next_report(1, addr(1), at(1000) + LOAD_REPORT_PERIOD * 2)
            .is_none()
    );
}

/// Guards against datagrams that grow with the number of targets, and against a full target that is left out.
#[test]
fn report_is_bounded_and_holds_the_rejecting_target() {
    let mut tracker = LoadTracker::new();
    for index in 0..500 {
        let name = format!("{index}");
        for _ in 0..10 {
            tracker.record_request(name_hash(&name), at(0));
            tracker.record_send(name_hash(&name), at(0));
        }
    }
    tracker.record_send(name_hash("full"), at(0));
    tracker.record_rejection(name_hash("full"), at(0));
    let report = tracker.next_report(1, addr(1), at(10)).unwrap();
    assert_eq!(report.services.len(), SERVICES_MAX);
    assert_eq!(report.targets.len(), TARGETS_MAX);
    assert_eq!(report.targets[0].target, name_hash("full"));
    // Falls from 255 with the time since the only request: by 0.5% in the 10 ms before the report.
    assert_eq!(report.targets[0].rejected_255ths, 254);
}

/// Guards against a late datagram that replaces a newer one, and against a restarted process that stays unheard.
#[test]
fn late_reports_are_ignored_and_those_of_a_new_start_are_not() {
    let mut loads = PeerLoads::new();
    let older = report(1, 10, at(10_000));
    let newer = LoadReport {
        sequence: older.sequence + 1,
        ..older.clone()
    };
    assert!(loads.record(newer, at(10_000)));
    assert!(!loads.record(older.clone(), at(10_100)));
    let restarted = LoadReport { node: 9, ..older };
    assert!(loads.record(restarted, at(10_200)));
}

/// Guards against reports that keep their full weight, or any weight, after their sender fell silent.
#[test]
fn reports_lose_weight_and_are_forgotten() {
    let mut loads = PeerLoads::new();
    loads.record(report(1, 20, at(10_000)), at(10_000));
    let load_at = |now| loads.target_loads(now).get(&name_hash("t")).copied();
    let fresh = load_at(at(10_000)).unwrap().requests_per_s;
    let older = load_at(at(11_000)).unwrap().requests_per_s;
    assert!((older / fresh - 0.5).abs() < 0.01);
    assert!(load_at(at(13_000)).is_none());
    assert!(loads.gather_load(addr(1), at(13_000)).is_none());
    assert_eq!(loads.remove_outdated(at(13_000)), [addr(1)]);
}

/// Guards against parts of a service that add up to more than the whole.
#[test]
fn shares_of_all_processes_add_up_to_one() {
    let now = at(10_000);
    let rates = [5, 20, 40];
    let reports: Vec<LoadReport> = (0_u8..)
        .zip(rates)
        .map(|(i, rate)| report(i, rate, now))
        .collect();
    let mut sum = 0.0;
    for own in &reports {
        let mut loads = PeerLoads::new();
        for other in reports.iter().filter(|other| other.addr != own.addr) {
            loads.record(other.clone(), now);
        }
        let own_per_s = f64::from(own.services[0].requests_per_10_s) / 10.0;
        sum += loads.service_share(name_hash("s"), own_per_s, now).unwrap();
    }
    assert!((sum - 1.0).abs() < 1e-9, "{sum}");
    assert_eq!(
        PeerLoads::new().service_share(name_hash("s"), 1.0, now),
        None
    );
}

/// Guards against a share of rejections that grows with the number of processes that report it.
#[test]
fn rejections_of_several_processes_are_not_added() {
    let mut loads = PeerLoads::new();
    for index in 1..5 {
        let mut report = report(index, 10, at(10_000));
        report.targets = vec![TargetUse {
            target: name_hash("t"),
            in_flight: 1,
            requests_per_10_s: 10,
            rejected_255ths: 128,
            mean_in_flight_1000ths: 0,
        }];
        loads.record(report, at(10_000));
    }
    let load = loads.target_loads(at(10_000))[&name_hash("t")];
    assert!((load.rejected_share - 0.5).abs() < 0.01);
    assert!((load.in_flight - 4.0).abs() < 0.01);
}

/// Guards against a single false report that names a target twice and thereby confirms its own rejections.
#[test]
fn target_counts_once_in_a_report() {
    let mut loads = PeerLoads::new();
    loads.record(report(1, 10, at(10_000)), at(10_000));
    let mut false_report = report(2, 10, at(10_000));
    let entry = TargetUse {
        target: name_hash("t"),
        in_flight: 100,
        requests_per_10_s: 1000,
        rejected_255ths: 255,
        mean_in_flight_1000ths: 0,
    };
    false_report.targets = vec![entry; 2];
    loads.record(false_report, at(10_000));
    let load = loads.target_loads(at(10_000))[&name_hash("t")];
    assert_eq!(load.rejected_share, 0.0);
    assert!(load.in_flight < 10.0, "{load:?}");
    assert!(load.recent_requests < 400.0, "{load:?}");
}

/// Returns the times of the reports in ten seconds of a process whose period is `period_ms`; it sends a request every
/// `request_ms`, from 5,000 ms on.
fn report_times_ms(period_ms: u64, request_ms: u64) -> Vec<u64> {
    let mut tracker = LoadTracker::new();
    tracker.set_report_period(at(period_ms));
    let mut times_ms = Vec::new();
    for now_ms in (0..10_000).step_by(50) {
        if now_ms >= 5000 && now_ms % request_ms == 0 {
            tracker.record_send(name_hash("t"), at(now_ms));
            tracker.record_end(name_hash("t"), at(now_ms));
        }
        if tracker.next_report(1, addr(1), at(now_ms)).is_some() {
            times_ms.push(now_ms);
        }
    }
    times_ms
}

/// Guards against a rare request that others hear of late, and against a load that others forget if a report is lost.
#[test]
fn rare_request_is_reported_at_once_and_repeated() {
    assert_eq!(report_times_ms(800, 5000), [5000, 6200, 7400, 8600, 9800]);
}

/// Guards against more reports than the period allows from a process that sends requests all the time.
#[test]
fn frequent_requests_are_reported_once_in_a_period() {
    let times_ms = report_times_ms(800, 50);
    let in_period: Vec<u64> = times_ms
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .skip(5)
        .collect();
    assert!(times_ms.len() <= 5000 / 800 + 4, "{times_ms:?}");
    assert!(in_period.iter().all(|ms| *ms == 800), "{times_ms:?}");
}

/// Guards against a target that looks fast because its requests have not ended, and against a time that stays after the
/// requests ended.
#[test]
fn time_in_flight_includes_requests_that_have_not_ended() {
    let mut in_flight = MeanInFlight::new();
    in_flight.record_send(at(0));
    assert!((in_flight.mean(at(5000)) - 0.63).abs() < 0.01);
    in_flight.record_end(at(5000));
    assert!((in_flight.mean(at(10_000)) - 0.23).abs() < 0.01);
    assert_eq!(in_flight.count(), 0);
}
