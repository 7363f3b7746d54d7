//! Choice between the targets of a fleet, with what this process and others know of them.

mod support;

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use limpet_decide::peer_load::{
    ReportedTargetLoad,
    name_hash, //
};
use limpet_gateway::{
    deployment_state::DeploymentState,
    target::{
        Fleet,
        Target,
        TargetCriteria, //
    },
};
use limpet_types::deployment::{
    Change,
    StateUpdate,
    VersionedChange, //
};
use support::{
    LAPSE_LIMITS,
    target_record, //
};

/// Number of processes of a fleet in which each sees a small part of the load.
const LARGE_FLEET: usize = 86;
const SMALL_FLEET: usize = 8;
const IDS: [&str; 4] = ["a", "b", "c", "d"];

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a fleet with the first `count` targets, and the state that it was synchronized with.
fn fleet_with(count: usize) -> (Fleet, DeploymentState) {
    let mut state = DeploymentState::new(LAPSE_LIMITS);
    let mut fleet = Fleet::new();
    add_targets(&mut fleet, &mut state, &IDS[..count], at(0));
    (fleet, state)
}

/// Adds ready targets to the state and the fleet.
fn add_targets(fleet: &mut Fleet, state: &mut DeploymentState, ids: &[&str], now: Duration) {
    let change = |(index, id): (usize, &&str)| VersionedChange {
        revision: state.revision() + 1 + index as u64,
        change: Change::Target(
            (*id).into(),
            Arc::new(target_record("s", "127.0.0.1:1".parse().unwrap())),
        ),
    };
    let changes: Vec<VersionedChange> = ids.iter().enumerate().map(change).collect();
    let update = StateUpdate {
        is_full_state: false,
        revision: state.revision() + ids.len() as u64,
        changes,
        age: Duration::ZERO,
    };
    state.apply(&update, now, now);
    fleet.sync(state, now);
}

const fn criteria(process_count: usize) -> TargetCriteria<'static> {
    TargetCriteria {
        service: "s",
        zone: "zone-a",
        tried_targets: &[],
        connections_max: 85,
        cold_send_interval: None,
        needs_free_slot: false,
        process_count,
        aggregator_count: None,
    }
}

/// Returns the share of each target in 2,000 choices.
fn shares(fleet: &mut Fleet, process_count: usize, now: Duration) -> HashMap<Box<str>, f64> {
    let mut shares: HashMap<Box<str>, f64> = HashMap::new();
    for _ in 0..2000 {
        let target = fleet.pick(&criteria(process_count), now).unwrap();
        *shares.entry((*target.id).into()).or_default() += 1.0 / 2000.0;
    }
    shares
}

fn share(shares: &HashMap<Box<str>, f64>, id: &str) -> f64 {
    shares.get(id).copied().unwrap_or_default()
}

/// Returns reported loads of equal targets, except for `a`.
fn reported_loads(a: ReportedTargetLoad) -> HashMap<u32, ReportedTargetLoad> {
    let others = ReportedTargetLoad {
        recent_requests: 10.0,
        ..ReportedTargetLoad::default()
    };
    let loads = IDS.iter().map(|id| (name_hash(id), others));
    let mut loads: HashMap<u32, ReportedTargetLoad> = loads.collect();
    loads.insert(name_hash("a"), a);
    loads
}

/// Load that other processes report of the target `a`, the size of the fleet, and the bounds of its share.
type ReportedCase = (ReportedTargetLoad, usize, std::ops::Range<f64>);

/// Guards against reported load that isn't used in a large fleet, or is used in a small one.
fn reported_load_counts((load, process_count, expected): ReportedCase) {
    let (mut fleet, _state) = fleet_with(4);
    fleet.set_reported_loads(&reported_loads(load), at(0));
    let share = share(&shares(&mut fleet, process_count, at(10)), "a");
    assert!(expected.contains(&share), "{share}");
}

fn busy() -> ReportedTargetLoad {
    ReportedTargetLoad {
        recent_requests: 14.0,
        ..ReportedTargetLoad::default()
    }
}

fn rejecting() -> ReportedTargetLoad {
    ReportedTargetLoad {
        recent_requests: 10.0,
        rejected_share: 0.5,
        ..ReportedTargetLoad::default()
    }
}

limpet_testkit::cases! {
    reported_load_counts:
    busy_target_of_a_large_fleet => (busy(), LARGE_FLEET, 0.0..0.1),
    rejecting_target_of_a_large_fleet => (rejecting(), LARGE_FLEET, 0.0..0.05),
    busy_target_of_a_small_fleet => (busy(), SMALL_FLEET, 0.2..0.3),
    rejecting_target_of_a_small_fleet => (rejecting(), SMALL_FLEET, 0.2..0.3),
}

/// Guards against requests to a target that just rejected one as full, in a fleet of any size.
fn rejection_is_remembered(process_count: usize) {
    let (mut fleet, _state) = fleet_with(2);
    let target = fleet.get("a").unwrap();
    target.load().record_rejection(0.5, at(100));
    assert!(share(&shares(&mut fleet, process_count, at(149)), "a") == 0.0);
    assert_eq!(fleet.shortest_backoff("s", at(120)), Some(at(30)));
    assert!(share(&shares(&mut fleet, process_count, at(151)), "a") > 0.3);
    assert_eq!(fleet.shortest_backoff("s", at(151)), None);

    // The request has tried the only target that accepts requests.
    target.load().record_rejection(0.5, at(200));
    let after_b = TargetCriteria {
        tried_targets: &["b".into()],
        ..criteria(process_count)
    };
    assert!(fleet.pick(&after_b, at(210)).is_some());
}

/// Guards against a request that is not woken at the end of a backoff while the only other target has no room.
#[test]
fn waiting_request_is_woken_at_the_end_of_a_backoff() {
    let (fleet, _state) = fleet_with(2);
    let target = fleet.get("a").unwrap();
    target.load().record_rejection(0.5, at(100));
    let criteria = criteria(LARGE_FLEET);
    assert!(fleet.has_other_target(&criteria, at(110)));
    assert_eq!(fleet.next_allowed_at(&criteria, at(110)), Some(at(150)));
    assert_eq!(fleet.next_allowed_at(&criteria, at(151)), None);
    // The end of a pause comes first: the backoff doesn't hold if no other target accepts requests.
    target.notices().record_pause(at(20), at(110));
    assert_eq!(fleet.next_allowed_at(&criteria, at(110)), Some(at(130)));
}

/// Guards against a request that was rejected and then waits for a cold target that it may not use.
#[test]
fn cold_target_that_may_get_nothing_is_no_other_target() {
    let (fleet, _state) = fleet_with(2);
    let cold = fleet.get("b").unwrap();
    cold.cold_rate_limiter().set_cold(at(5000), at(0));
    let nothing = |_: &Target| None;
    let after_a = TargetCriteria {
        tried_targets: &["a".into()],
        cold_send_interval: Some(&nothing),
        ..criteria(LARGE_FLEET)
    };
    assert!(!fleet.has_other_target(&after_a, at(100)));
    assert_eq!(fleet.next_allowed_at(&after_a, at(100)), Some(at(5000)));
    assert!(fleet.has_other_target(&after_a, at(5001)));
}

limpet_testkit::cases! {
    rejection_is_remembered:
    rejection_in_a_large_fleet => LARGE_FLEET,
    rejection_in_a_small_fleet => SMALL_FLEET,
}

/// Guards against processes that all turn to a target that has just appeared.
#[test]
fn new_target_of_a_running_fleet_starts_slowly() {
    let (mut fleet, mut state) = fleet_with(3);
    add_targets(&mut fleet, &mut state, &["d"], at(5000));
    let loads = reported_loads(ReportedTargetLoad {
        recent_requests: 10.0,
        ..ReportedTargetLoad::default()
    });
    fleet.set_reported_loads(&loads, at(5000));
    assert!(share(&shares(&mut fleet, LARGE_FLEET, at(5000)), "d") < 0.1);
    assert!(share(&shares(&mut fleet, LARGE_FLEET, at(7000)), "d") > 0.2);
    let targets_at_start = shares(&mut fleet_with(4).0, LARGE_FLEET, at(0));
    assert!(share(&targets_at_start, "a") > 0.15);
}

/// Guards against a spread that leaves out what other processes send.
#[test]
fn spread_is_that_of_own_and_reported_requests() {
    let (fleet, _state) = fleet_with(4);
    let spread = |fleet: &Fleet| fleet.load_spreads(at(0)).next().map(|(_, spread)| spread);
    assert_eq!(spread(&fleet), Some(0.0));
    fleet.set_reported_loads(&reported_loads(busy()), at(0));
    assert!((spread(&fleet).unwrap() - 14.0 * 4.0 / 44.0).abs() < 1e-9);
    fleet.get("a").unwrap().load().record_send(None, at(0));
    assert!((spread(&fleet).unwrap() - 15.0 * 4.0 / 45.0).abs() < 1e-9);
}
