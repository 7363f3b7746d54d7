//! Work that the stored load reports cause, counted in visits of a report, and that the results need no more of it.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use limpet_decide::peer_load::{
    PeerLoads,
    name_hash, //
};
use limpet_types::message::{
    GatherLoad,
    LoadReport,
    ServiceUse,
    TargetUse, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;

/// Other processes of a large fleet.
const PEER_COUNT: u8 = 85;
const SERVICE_COUNT: usize = 36;
/// Time after which a report without changes is sent again.
const REFRESH_MS: u64 = 1200;
const ROUND_MS: u64 = 150;

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn addr(index: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index], 7100))
}

fn service(index: usize) -> u32 {
    name_hash(&format!("s{index}"))
}

fn report(index: u8, sequence: u32, services: Vec<ServiceUse>) -> LoadReport {
    LoadReport {
        node: 1,
        addr: addr(index),
        sequence,
        gathers: GatherLoad::default(),
        services,
        targets: vec![TargetUse {
            target: name_hash("t"),
            in_flight: 1,
            requests_per_10_s: 3,
            rejected_255ths: 0,
            mean_in_flight_1000ths: 0,
        }],
    }
}

/// Lets all other processes report once in [`REFRESH_MS`], evenly spread, for ten seconds, and calls `each_round` in each
/// round of the exchange.
fn run_rounds(loads: &mut PeerLoads, mut each_round: impl FnMut(&mut PeerLoads, Duration)) {
    let services: Vec<ServiceUse> = (0..SERVICE_COUNT)
        .map(|index| ServiceUse {
            service: service(index),
            requests_per_10_s: 5,
        })
        .collect();
    for now_ms in 0..10_000 {
        for index in 0..PEER_COUNT {
            let offset_ms = u64::from(index) * REFRESH_MS / u64::from(PEER_COUNT);
            if now_ms % REFRESH_MS == offset_ms {
                let sequence = (now_ms / REFRESH_MS) as u32 + 1;
                loads.record(report(index, sequence, services.clone()), at(now_ms));
            }
        }
        if now_ms % ROUND_MS == 0 {
            each_round(loads, at(now_ms));
        }
    }
}

/// Guards against a look at every report in each round. A process that sends nothing visited 5,317 reports for sums and
/// 10,634 for those that are too old in the same time; now it visits 340.
#[test]
fn idle_process_visits_few_reports() {
    let mut loads = PeerLoads::new();
    run_rounds(&mut loads, |loads, now| {
        assert!(loads.remove_outdated(now).is_empty());
    });
    assert_eq!(loads.len(), usize::from(PEER_COUNT));
    assert!(loads.visited_count() <= 600, "{}", loads.visited_count());
}

/// Guards against a look at every report for the part of each service, which an aggregator needs in each round:
/// 191,412 visits in the same time.
#[test]
fn shares_of_services_visit_no_reports() {
    let mut loads = PeerLoads::new();
    run_rounds(&mut loads, |loads, now| {
        loads.remove_outdated(now);
        let visited_count = loads.visited_count();
        for index in 0..SERVICE_COUNT {
            loads.service_share(service(index), 1.0, now);
        }
        assert_eq!(loads.visited_count(), visited_count);
    });
    let share = loads.service_share(service(0), 0.5, at(10_000)).unwrap();
    assert!((share - 1.0 / 86.0).abs() < 1e-9, "{share}");
}

/// Guards against a false report that names a service twice to take a larger part of the others' requests.
#[test]
fn service_counts_once_in_a_report() {
    let mut loads = PeerLoads::new();
    let entry = |requests_per_10_s| ServiceUse {
        service: service(0),
        requests_per_10_s,
    };
    loads.record(report(1, 1, vec![entry(10), entry(500), entry(10)]), at(0));
    assert_eq!(loads.service_share(service(0), 1.0, at(0)), Some(0.5));
}

/// Reports and times of their arrival, from which the parts are worked out anew each time.
#[derive(Default)]
struct Model {
    by_addr: HashMap<SocketAddr, (LoadReport, Duration)>,
}

impl Model {
    fn service_share(
        &self,
        service: u32,
        own_per_s: f64,
        forget_after: Duration,
        now: Duration,
    ) -> Option<f64> {
        let fresh: Vec<&LoadReport> = self
            .by_addr
            .values()
            .filter(|(_, received_at)| now - *received_at < forget_after)
            .map(|(report, _)| report)
            .collect();
        let of_report = |report: &&LoadReport| {
            let entry = report.services.iter().find(|one| one.service == service);
            entry.map_or(0.0, |entry| f64::from(entry.requests_per_10_s) / 10.0)
        };
        let total_per_s = own_per_s + fresh.iter().map(of_report).sum::<f64>();
        (!fresh.is_empty() && total_per_s > 0.0).then(|| own_per_s / total_per_s)
    }
}

/// Guards against sums that differ from the stored reports after these are replaced, left out, late or forgotten.
fn shares_follow_the_reports(seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut loads, mut model) = (PeerLoads::new(), Model::default());
    let mut forget_after = at(3000);
    let mut now = at(0);
    for step in 0..4000_u32 {
        now += at(rng.random_range(0..200));
        let peer = rng.random_range(0..6);
        match rng.random_range(0..20) {
            0 => {
                loads.remove(addr(peer));
                model.by_addr.remove(&addr(peer));
            }
            1 => {
                loads.remove_outdated(now);
                let is_fresh = |received_at: Duration| now - received_at < forget_after;
                model
                    .by_addr
                    .retain(|_, (_, received_at)| is_fresh(*received_at));
            }
            2 => {
                let interval = at(rng.random_range(0..3000));
                loads.set_report_interval(interval);
                forget_after = at(3000).max(interval.mul_f64(2.5));
            }
            3 => now += at(rng.random_range(0..4000)),
            _ => {
                let mut services = Vec::new();
                for _ in 0..rng.random_range(0..4) {
                    services.push(ServiceUse {
                        service: service(rng.random_range(0..3)),
                        requests_per_10_s: rng.random_range(0..40),
                    });
                }
                // Some reports are late, and are ignored.
                let lateness = rng.random_range(0..3) * rng.random_range(0..10);
                let report = report(peer, step.saturating_sub(lateness), services);
                if loads.record(report.clone(), now) {
                    model.by_addr.insert(addr(peer), (report, now));
                }
            }
        }
        for index in 0..3 {
            for own_per_s in [0.0, 2.0] {
                let share = loads.service_share(service(index), own_per_s, now);
                let expected = model.service_share(service(index), own_per_s, forget_after, now);
                let difference = share.unwrap_or(-1.0) - expected.unwrap_or(-1.0);
                assert!(
                    difference.abs() < 1e-9,
                    "seed {seed}, step {step}: {share:?} instead of {expected:?}"
                );
            }
        }
    }
}

limpet_testkit::cases! {
    shares_follow_the_reports:
    seed_1 => 1,
    seed_2 => 2,
    seed_3 => 3,
    seed_4 => 4,
}
