//! State of the deployment: newer changes replace older ones, in whatever order and from wherever they come.

mod support;

use std::{
    sync::Arc,
    time::Duration, //
};

use limpet_gateway::deployment_state::DeploymentState;
use limpet_types::deployment::{
    Change,
    StateUpdate,
    VersionedChange, //
};
use support::{
    LAPSE_LIMITS,
    config,
    target_record, //
};

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn target_added(revision: u64, id: &str) -> VersionedChange {
    let record = target_record("s", "127.0.0.1:1".parse().unwrap());
    VersionedChange {
        revision,
        change: Change::Target(id.into(), Arc::new(record)),
    }
}

fn target_removed(revision: u64, id: &str) -> VersionedChange {
    VersionedChange {
        revision,
        change: Change::TargetRemoved(id.into()),
    }
}

fn config_changed(revision: u64, version: u64) -> VersionedChange {
    VersionedChange {
        revision,
        change: Change::Config(Arc::new(config(version, Vec::new(), &[]))),
    }
}

fn update(is_full_state: bool, revision: u64, changes: Vec<VersionedChange>) -> StateUpdate {
    StateUpdate {
        is_full_state,
        revision,
        changes,
        age: Duration::ZERO,
    }
}

fn target_ids(state: &DeploymentState) -> Vec<&str> {
    state.targets().map(|(id, _)| &**id).collect()
}

fn config_version(state: &DeploymentState) -> u64 {
    state.config().unwrap().version
}

/// Guards against a config that reverts after a late or repeated update.
#[test]
fn older_updates_change_nothing() {
    let mut state = DeploymentState::new(LAPSE_LIMITS);
    state.apply(
        &update(true, 9, vec![config_changed(8, 5), target_added(9, "a")]),
        at(0),
        at(0),
    );
    state.apply(&update(true, 4, vec![config_changed(4, 3)]), at(1), at(1));
    state.apply(
        &update(false, 9, vec![config_changed(7, 4), target_removed(3, "a")]),
        at(2),
        at(2),
    );
    assert_eq!(config_version(&state), 5);
    assert_eq!(target_ids(&state), ["a"]);
    assert_eq!(state.revision(), 9);
}

/// Guards against a config that is written again with a lower version.
#[test]
fn lower_version_at_a_newer_revision_is_ignored() {
    let mut state = DeploymentState::new(LAPSE_LIMITS);
    state.apply(&update(true, 2, vec![config_changed(2, 7)]), at(0), at(0));
    let effect = state.apply(&update(false, 3, vec![config_changed(3, 6)]), at(1), at(1));
    assert!(!effect.has_new_config);
    assert_eq!(config_version(&state), 7);
}

/// Guards against requests to a target whose record was removed.
#[test]
fn target_is_removed_at_once_without_an_outage() {
    let mut state = DeploymentState::new(LAPSE_LIMITS);
    state.apply(
        &update(true, 2, vec![target_added(1, "a"), target_added(2, "b")]),
        at(0),
        at(0),
    );
    state.apply(
        &update(false, 3, vec![target_removed(3, "a")]),
        at(1),
        at(1),
    );
    assert_eq!(target_ids(&state), ["b"]);
    state.apply(&update(true, 4, vec![target_added(4, "c")]), at(2), at(2));
    assert_eq!(target_ids(&state), ["c"]);
}

/// Returns a state that knew the targets `a` and `b` at the start, and to which the source did not answer a call sent
/// at `failed_at`.
fn state_with_failed_source(failed_at: Duration) -> DeploymentState {
    let mut state = DeploymentState::new(LAPSE_LIMITS);
    let targets = vec![target_added(1, "a"), target_added(2, "b")];
    state.apply(&update(true, 2, targets), at(0), at(0));
    state.record_source_failure(failed_at);
    state
}

/// Removes the targets `a` and `b` by an update as of `now`.
fn remove_targets(state: &mut DeploymentState, now: Duration) {
    let removals = vec![target_removed(3, "a"), target_removed(4, "b")];
    state.apply(&update(false, 4, removals), now, now);
}

/// Guards against a service without targets until the records that lapsed in an outage are written again.
#[test]
fn lapsed_target_stays_for_the_grace_period_after_an_outage() {
    let mut state = state_with_failed_source(at(9500));
    remove_targets(&mut state, at(10_000));
    assert_eq!(target_ids(&state), ["a", "b"]);
    state.apply(
        &update(false, 5, vec![target_added(5, "b")]),
        at(11_000),
        at(11_000),
    );
    assert_eq!(state.next_lapse_end(), Some(at(12_000)));
    assert!(!state.remove_lapsed_targets(at(11_999)));
    assert!(state.remove_lapsed_targets(at(12_000)));
    assert_eq!(
        target_ids(&state),
        ["b"],
        "a target whose record did not return in time is removed"
    );
    assert!(!state.remove_lapsed_targets(at(19_000)));
}

/// Guards against a target in use beyond the bound because the source failed for so short a time that the removal may
/// have been written outside an outage.
#[test]
fn target_is_removed_in_time_after_a_short_failure() {
    let mut state = state_with_failed_source(at(1000));
    remove_targets(&mut state, at(1100));
    let removed_at = state.next_lapse_end().unwrap();
    assert!(removed_at <= LAPSE_LIMITS.age_max, "{removed_at:?}");
    assert!(state.remove_lapsed_targets(removed_at));
    assert!(target_ids(&state).is_empty());
}

/// Guards against a target in use beyond the bound although the source has been available again for a while.
#[test]
fn target_is_removed_at_once_when_the_records_must_have_returned() {
    let mut state = state_with_failed_source(at(9500));
    state.apply(&update(false, 2, Vec::new()), at(10_000), at(10_000));
    remove_targets(&mut state, at(12_000));
    assert!(target_ids(&state).is_empty());
}

/// Guards against a target in use once the process is in contact with the source again and the bounds hold.
#[test]
fn lapsed_target_is_removed_before_the_bounds_hold_again() {
    let mut state = state_with_failed_source(at(9500));
    remove_targets(&mut state, at(12_700));
    assert_eq!(state.next_lapse_end(), Some(at(13_500)));
}

/// Guards against followers that miss a change, whether the change log reaches back or not.
#[test]
fn follower_gets_every_change() {
    let mut state = DeploymentState::new(LAPSE_LIMITS);
    state.apply(
        &update(true, 2, vec![config_changed(1, 1), target_added(2, "a")]),
        at(0),
        at(0),
    );
    state.apply(
        &update(false, 4, vec![target_added(3, "b"), target_removed(4, "a")]),
        at(1),
        at(1),
    );
    for after in 0..=4 {
        let mut follower = DeploymentState::new(LAPSE_LIMITS);
        if after >= 2 {
            follower.apply(
                &update(true, 2, vec![config_changed(1, 1), target_added(2, "a")]),
                at(0),
                at(0),
            );
        }
        let reply = state.update_since(after, at(5));
        assert_eq!(reply.is_full_state, after < 2);
        follower.apply(&reply, at(5), at(5));
        assert_eq!(follower.revision(), 4);
        if after <= 2 {
            assert_eq!(target_ids(&follower), ["b"]);
            assert_eq!(config_version(&follower), 1);
        }
    }
}

/// Guards against a follower that takes an outdated state for a current one.
#[test]
fn age_adds_up_over_processes() {
    let mut state = DeploymentState::new(LAPSE_LIMITS);
    state.apply(
        &update(true, 2, vec![config_changed(1, 1)]),
        at(100),
        at(150),
    );
    let reply = state.update_since(2, at(400));
    assert_eq!(reply.age, at(300));
    let mut follower = DeploymentState::new(LAPSE_LIMITS);
    follower.apply(&reply, at(1000), at(1010));
    assert_eq!(follower.age(at(1100)), Some(at(400)));
}

/// Guards against a process that takes an outdated state for a current one because it started only after that
/// state was last verified.
#[test]
fn state_may_be_older_than_the_process() {
    let mut state = DeploymentState::new(LAPSE_LIMITS);
    let outdated = StateUpdate {
        age: at(30_000),
        ..update(true, 2, vec![config_changed(1, 1)])
    };
    state.apply(&outdated, at(500), at(500));
    assert_eq!(state.age(at(600)), Some(at(30_100)));
    assert_eq!(state.update_since(2, at(700)).age, at(30_200));
}

/// Guards against a process without state that counts as current after it followed another one without state.
#[test]
fn state_of_a_process_without_state_has_no_age() {
    let without_state = DeploymentState::new(LAPSE_LIMITS);
    let mut state = DeploymentState::new(LAPSE_LIMITS);
    state.apply(&without_state.update_since(0, at(300)), at(300), at(300));
    assert_eq!(state.age(at(400)), None);
    state.apply(
        &update(true, 2, vec![config_changed(1, 1)]),
        at(500),
        at(500),
    );
    state.apply(&without_state.update_since(0, at(600)), at(600), at(600));
    assert_eq!(state.age(at(700)), Some(at(200)));
}

/// Guards against an older age of the same state that replaces a younger one.
#[test]
fn youngest_age_of_a_state_counts() {
    let mut state = DeploymentState::new(LAPSE_LIMITS);
    state.apply(
        &update(true, 2, vec![config_changed(1, 1)]),
        at(100),
        at(100),
    );
    let older = StateUpdate {
        age: at(900),
        ..update(false, 2, Vec::new())
    };
    state.apply(&older, at(400), at(400));
    assert_eq!(state.age(at(500)), Some(at(400)));
}

/// Guards against a late update that brings back a target that was removed since.
#[test]
fn late_update_does_not_bring_back_a_removed_target() {
    let mut state = DeploymentState::new(LAPSE_LIMITS);
    state.apply(&update(true, 2, vec![target_added(1, "a")]), at(0), at(0));
    state.apply(
        &update(false, 4, vec![target_removed(4, "a")]),
        at(1),
        at(1),
    );
    let effect = state.apply(&update(false, 3, vec![target_added(3, "a")]), at(2), at(2));
    assert!(!effect.has_target_changes);
    assert!(target_ids(&state).is_empty());
    assert_eq!(state.revision(), 4);
}
