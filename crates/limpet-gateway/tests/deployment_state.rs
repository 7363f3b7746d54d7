//! State of the deployment: what is newer wins, whatever order and way it comes.

mod support;

use std::{
    sync::Arc,
    time::Duration, //
};

use limpet_gateway::deployment_state::DeploymentState;
use limpet_types::deployment::{
    Change,
    Update,
    VersionedChange, //
};
use support::{
    record,
    text, //
};

const GRACE: Duration = Duration::from_secs(2);
const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn target(revision: u64, id: &str) -> VersionedChange {
    let record = record("s", "127.0.0.1:1".parse().unwrap());
    VersionedChange {
        revision,
        change: Change::Target(id.into(), Arc::new(record)),
    }
}

fn gone(revision: u64, id: &str) -> VersionedChange {
    VersionedChange {
        revision,
        change: Change::TargetRemoved(id.into()),
    }
}

fn text_of(revision: u64, version: u64) -> VersionedChange {
    VersionedChange {
        revision,
        change: Change::Config(Arc::new(text(version, Vec::new(), &[]))),
    }
}

fn update(is_full_state: bool, revision: u64, changes: Vec<VersionedChange>) -> Update {
    Update {
        is_full_state,
        revision,
        changes,
        age: Duration::ZERO,
    }
}

fn ids(state: &DeploymentState) -> Vec<&str> {
    state.targets().map(|(id, _)| &**id).collect()
}

fn version(state: &DeploymentState) -> u64 {
    state.text().unwrap().version
}

/// Guards against a configuration that reverts after a late or repeated update.
#[test]
fn older_updates_change_nothing() {
    let mut state = DeploymentState::new(GRACE);
    state.apply(
        &update(true, 9, vec![text_of(8, 5), target(9, "a")]),
        at(0),
        at(0),
    );
    state.apply(&update(true, 4, vec![text_of(4, 3)]), at(1), at(1));
    state.apply(
        &update(false, 9, vec![text_of(7, 4), gone(3, "a")]),
        at(2),
        at(2),
    );
    assert_eq!(version(&state), 5);
    assert_eq!(ids(&state), ["a"]);
    assert_eq!(state.revision(), 9);
}

/// Guards against a text that is written again with a lower version.
#[test]
fn lower_version_at_a_newer_revision_is_ignored() {
    let mut state = DeploymentState::new(GRACE);
    state.apply(&update(true, 2, vec![text_of(2, 7)]), at(0), at(0));
    let applied = state.apply(&update(false, 3, vec![text_of(3, 6)]), at(1), at(1));
    assert!(!applied.text);
    assert_eq!(version(&state), 7);
}

/// Guards against work for a target whose record is gone.
#[test]
fn target_is_gone_at_once_in_steady_state() {
    let mut state = DeploymentState::new(GRACE);
    state.apply(
        &update(true, 2, vec![target(1, "a"), target(2, "b")]),
        at(0),
        at(0),
    );
    state.apply(&update(false, 3, vec![gone(3, "a")]), at(1), at(1));
    assert_eq!(ids(&state), ["b"]);
    state.apply(&update(true, 4, vec![target(4, "c")]), at(2), at(2));
    assert_eq!(ids(&state), ["c"]);
}

/// Guards against an empty fleet while records that lapsed in an outage come back.
#[test]
fn lapsed_target_stays_for_the_grace_after_an_outage() {
    let mut state = DeploymentState::new(GRACE);
    state.apply(
        &update(true, 2, vec![target(1, "a"), target(2, "b")]),
        at(0),
        at(0),
    );
    state.note_trouble(at(1000));
    state.apply(
        &update(false, 4, vec![gone(3, "a"), gone(4, "b")]),
        at(2000),
        at(2000),
    );
    assert_eq!(ids(&state), ["a", "b"]);
    state.apply(&update(false, 5, vec![target(5, "b")]), at(3000), at(3000));
    assert!(!state.expire_lapsed(at(3999)));
    assert!(state.expire_lapsed(at(4000)));
    assert_eq!(
        ids(&state),
        ["b"],
        "what did not come back within the grace is gone"
    );
    assert!(!state.expire_lapsed(at(9000)));
}

/// Guards against followers that miss a change, whether the log reaches back or not.
#[test]
fn follower_gets_every_change() {
    let mut state = DeploymentState::new(GRACE);
    state.apply(
        &update(true, 2, vec![text_of(1, 1), target(2, "a")]),
        at(0),
        at(0),
    );
    state.apply(
        &update(false, 4, vec![target(3, "b"), gone(4, "a")]),
        at(1),
        at(1),
    );
    for after in 0..=4 {
        let mut follower = DeploymentState::new(GRACE);
        if after >= 2 {
            follower.apply(
                &update(true, 2, vec![text_of(1, 1), target(2, "a")]),
                at(0),
                at(0),
            );
        }
        let reply = state.update_since(after, at(5));
        assert_eq!(reply.is_full_state, after < 2);
        follower.apply(&reply, at(5), at(5));
        assert_eq!(follower.revision(), 4);
        if after <= 2 {
            assert_eq!(ids(&follower), ["b"]);
            assert_eq!(version(&follower), 1);
        }
    }
}

/// Guards against a follower that takes an old state for a current one.
#[test]
fn age_is_summed_over_the_hops() {
    let mut state = DeploymentState::new(GRACE);
    state.apply(&update(true, 2, vec![text_of(1, 1)]), at(100), at(150));
    let reply = state.update_since(2, at(400));
    assert_eq!(reply.age, at(300));
    let mut follower = DeploymentState::new(GRACE);
    follower.apply(&reply, at(1000), at(1010));
    assert_eq!(follower.age(at(1100)), Some(at(400)));
}
