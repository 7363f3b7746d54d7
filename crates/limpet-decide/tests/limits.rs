//! Guards against requests that wait for a token and are refused although one comes in time, and
//! against a team that two sets of groups grant at once.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_decide::{
    grant::{
        Coordinator,
        GroupRules,
        LimitHistory,
        RateLimit,
        split_limit, //
    },
    lease::Lease,
    tokens::TokenPool, //
};
use limpet_types::{
    GroupId,
    NodeId,
    hash::LEASE_GROUP_COUNT,
    message::GrantRequest, //
};
use proptest::prelude::*;

fn at(ms: u64) -> Duration {
    Duration::from_millis(2_000_000 + ms)
}

fn node(number: u8) -> NodeId {
    NodeId::new(([10, 0, 0, number], 7101).into(), u64::from(number))
}

fn limit(rate_per_s: f64, burst: u32) -> RateLimit {
    RateLimit { rate_per_s, burst }
}

fn lease(until_ms: u64) -> Lease {
    Lease {
        term: 7,
        elected_at: at(0),
        until: at(until_ms),
    }
}

fn request(group: GroupId, sequence: u64) -> GrantRequest {
    GrantRequest {
        group,
        holder: node(1),
        sequence,
        tokens: Vec::new(),
        term: Some(7),
        wanted: Vec::new(),
        claimed: Vec::new(),
        released: Vec::new(),
        directory_version: 0,
    }
}

#[test]
fn a_group_without_tokens_is_asked_again_when_it_should_have_one() {
    // A waiting request was refused although the next token came within its wait.
    let whole = limit(50.0, 8);
    let group = (0..LEASE_GROUP_COUNT).find(|g| split_limit("north", whole, *g).burst > 0);
    let group = group.unwrap();
    let rules = GroupRules {
        limits: [("north".into(), split_limit("north", whole, group))].into(),
        ..GroupRules::default()
    };
    let mut coordinator = Coordinator::new(node(9), group, lease(100_000));
    coordinator.handle(&request(group, 1), &rules, false, at(0));
    let mut shares = TokenPool::new();
    shares.set_teams(["north"].into_iter());
    shares.build_demands(group, Some(7), |_| whole, at(0));
    assert!(!shares.try_acquire("north", at(0)));
    // Groups without a part of the limit could never grant a token.
    for other in (0..LEASE_GROUP_COUNT).filter(|other| *other != group) {
        assert!(!shares.has_urgent_demand(other, at(40)));
    }
    let mut ask = |sequence, ms| {
        let mut asked = request(group, sequence);
        asked.tokens = shares.build_demands(group, Some(7), |_| whole, at(ms));
        let reply = coordinator.handle(&asked, &rules, false, at(ms));
        let is_granted = shares.apply(&reply, at(ms), at(ms));
        let is_short = |later: u64| shares.has_urgent_demand(group, at(ms + later));
        (is_granted, is_short(1), is_short(35))
    };
    assert_eq!(ask(2, 0), (false, false, true));
    assert_eq!(ask(3, 35), (true, false, false));
}

proptest! {
    #[test]
    fn groups_that_learn_of_a_limit_at_different_times_stay_within_one_of_the_two(
        team in "[a-z]{1,8}",
        old in (1.0f64..1e3, 4u32..60),
        new in (1.0f64..1e3, 4u32..60),
        knows in any::<[bool; LEASE_GROUP_COUNT as usize]>(),
        since_ms in 0u64..5_000,
    ) {
        // A team whose groups change was granted its limit by the former and by the new ones.
        let part = |whole: (f64, u32), group| split_limit(&team, limit(whole.0, whole.1), group);
        let mut sum = (0.0, 0);
        for group in 0..LEASE_GROUP_COUNT {
            let limits = |whole| HashMap::from([(team.as_str().into(), part(whole, group))]);
            let mut history = LimitHistory::default();
            history.install(limits(old), true, at(0));
            if knows[usize::from(group)] {
                history.install(limits(new), false, at(10_000));
            }
            let (now, _) = history.effective_limits(Duration::from_secs(4), at(10_000 + since_ms));
            sum.0 += now[team.as_str()].rate_per_s;
            sum.1 += now[team.as_str()].burst;
            let (later, next) = history.effective_limits(Duration::from_secs(4), at(20_000));
            prop_assert!(next.is_none());
            let whole = if knows[usize::from(group)] { new } else { old };
            prop_assert_eq!(later[team.as_str()], part(whole, group));
        }
        prop_assert!(sum.0 <= old.0.max(new.0) + 1e-6 && sum.1 <= old.1.max(new.1));
    }
}
