//! Guards against more connections than the budget, one connection for two attempts at a time, and
//! replacements of suspected connections in quick succession.

use std::time::Duration;

use limpet_decide::pool::{
    Checkout,
    ConnectionId,
    ConnectionPool,
    REPLACEMENT_INTERVAL,
    connection_budget,
    suspicion_timeout, //
};
use proptest::prelude::*;

fn has_connection_budget((connections_max, expected): (u32, u32)) {
    assert_eq!(connection_budget(connections_max), expected);
}

limpet_testkit::cases! {
    has_connection_budget:
    a_third_is_rounded_down => (25, 8),
    three_connections_give_one => (3, 1),
    one_connection_gives_one => (1, 1),
}

#[test]
fn the_suspicion_timeout_has_a_minimum() {
    assert_eq!(
        suspicion_timeout(Duration::from_millis(1)),
        Duration::from_millis(100)
    );
    assert_eq!(
        suspicion_timeout(Duration::from_millis(50)),
        Duration::from_millis(200)
    );
}

#[test]
fn only_a_busy_connection_is_suspected_and_one_is_replaced_per_interval() {
    let mut pool = ConnectionPool::new(30);
    let ids: Vec<ConnectionId> = (0..3)
        .map(|_| match pool.checkout() {
            Checkout::Open(id) => id,
            other => panic!("{other:?}"),
        })
        .collect();
    let start = Duration::from_secs(1);
    assert!(pool.suspect(ids[0], start).is_some());
    assert_eq!(pool.suspect(ids[0], start + REPLACEMENT_INTERVAL), None);
    assert_eq!(pool.suspect(ids[1], start), None, "too early");
    assert!(pool.suspect(ids[2], start + REPLACEMENT_INTERVAL).is_some());
}

/// Operation on the pool; each `usize` selects one of the connections opened so far.
#[derive(Clone, Debug)]
enum Step {
    Checkout,
    Preconnect,
    MarkOpen(usize),
    CheckIn(usize, bool),
    Remove(usize),
    Suspect(usize),
    Wait(u64),
    SetConnectionsMax(u32),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Checkout),
        1 => Just(Step::Preconnect),
        2 => (0..64usize).prop_map(Step::MarkOpen),
        3 => (0..64usize, any::<bool>()).prop_map(|(i, is_reusable)| Step::CheckIn(i, is_reusable)),
        1 => (0..64usize).prop_map(Step::Remove),
        3 => (0..64usize).prop_map(Step::Suspect),
        2 => (0..150u64).prop_map(Step::Wait),
        1 => (1..40u32).prop_map(Step::SetConnectionsMax),
    ]
}

proptest! {
    #[test]
    fn budget_and_replacement_rate_hold(
        connections_max in 1..40u32,
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut pool = ConnectionPool::new(connections_max);
        let mut budget = connection_budget(connections_max) as usize;
        let mut opened_ids: Vec<ConnectionId> = Vec::new();
        let mut checked_out: Vec<ConnectionId> = Vec::new();
        let mut now = Duration::ZERO;
        let mut replaced_at: Option<Duration> = None;
        for step in steps {
            let len_before = pool.len();
            let id_at = |i: usize| opened_ids.get(i % opened_ids.len().max(1)).copied();
            let mut opened = None;
            match step {
                Step::Checkout => match pool.checkout() {
                    Checkout::Reuse(id) => {
                        prop_assert!(
                            !checked_out.contains(&id),
                            "one connection for two attempts at a time"
                        );
                        checked_out.push(id);
                    }
                    Checkout::Open(id) => {
                        checked_out.push(id);
                        opened = Some(id);
                    }
                    Checkout::Wait => prop_assert!(pool.len() >= budget),
                },
                Step::Preconnect => opened = pool.preconnect(4),
                Step::MarkOpen(i) => if let Some(id) = id_at(i) { pool.mark_open(id) },
                Step::CheckIn(i, is_reusable) =>
                    if let Some(id) = id_at(i).filter(|id| checked_out.contains(id)) {
                        pool.check_in(id, is_reusable);
                        checked_out.retain(|other| *other != id);
                    },
                Step::Remove(i) => if let Some(id) = id_at(i) {
                    pool.remove(id);
                    checked_out.retain(|other| *other != id);
                },
                Step::Suspect(i) => if let Some(id) = id_at(i) {
                    opened = pool.suspect(id, now);
                    if opened.is_some() {
                        prop_assert!(checked_out.contains(&id), "an idle connection was replaced");
                        prop_assert!(
                            replaced_at.is_none_or(|at| now >= at + REPLACEMENT_INTERVAL)
                        );
                        replaced_at = Some(now);
                    }
                },
                Step::Wait(wait_ms) => now += Duration::from_millis(wait_ms),
                Step::SetConnectionsMax(max) => {
                    pool.set_connections_max(max);
                    budget = connection_budget(max) as usize;
                }
            }
            if let Some(id) = opened {
                prop_assert!(!opened_ids.contains(&id), "an identifier was used twice");
                opened_ids.push(id);
                prop_assert!(pool.len() <= budget, "over the budget");
            }
            prop_assert!(pool.len() <= budget.max(len_before));
        }
    }
}
