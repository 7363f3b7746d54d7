//! Guards against requests that are refused although a token becomes available while they wait, and
//! against two sets of lease groups that grant tokens of one team at the same time.

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
        group_limit, //
    },
    lease::Lease,
    tokens::TokenPool, //
};
use limpet_types::{
    LeaseGroupId,
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
        expires_at: at(until_ms),
    }
}

fn request(group: LeaseGroupId, sequence: u64) -> GrantRequest {
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
fn a_group_without_tokens_is_asked_again_after_its_refill() {
    // The group's bucket refills by a token while the request waits, so the group must be asked a second
    // time. Without that, the request was once refused although the token came within its wait.
    let team_limit = limit(50.0, 8);
    let group = (0..LEASE_GROUP_COUNT).find(|g| group_limit("north", team_limit, *g).burst > 0);
    let group = group.unwrap();
    let rules = GroupRules {
        limits: [("north".into(), group_limit("north", team_limit, group))].into(),
        ..GroupRules::default()
    };
    let mut coordinator = Coordinator::new(node(9), group, lease(100_000));
    coordinator.handle(&request(group, 1), &rules, false, at(0));
    let mut pool = TokenPool::new();
    pool.set_teams(["north"].into_iter());
    pool.build_demands(group, Some(7), |_| team_limit, at(0));
    assert!(!pool.try_acquire("north", at(0)));
    // Lease groups without a part of the team's limit can never grant a token.
    for other in (0..LEASE_GROUP_COUNT).filter(|other| *other != group) {
        assert!(!pool.has_urgent_demand(other, at(40)));
    }
    // Returns whether a token was granted, and whether the group is to be asked 1 ms and 35 ms later.
    let mut exchange = |sequence, ms| {
        let mut demand_request = request(group, sequence);
        demand_request.tokens = pool.build_demands(group, Some(7), |_| team_limit, at(ms));
        let reply = coordinator.handle(&demand_request, &rules, false, at(ms));
        let is_granted = pool.apply(&reply, at(ms), at(ms));
        let has_demand_after = |delay_ms: u64| pool.has_urgent_demand(group, at(ms + delay_ms));
        (is_granted, has_demand_after(1), has_demand_after(35))
    };
    assert_eq!(exchange(2, 0), (false, false, true));
    assert_eq!(exchange(3, 35), (true, false, false));
}

proptest! {
    #[test]
    fn groups_that_learn_of_a_limit_at_different_times_stay_within_the_larger_limit(
        team in "[a-z]{1,8}",
        old in (1.0f64..1e3, 4u32..60),
        new in (1.0f64..1e3, 4u32..60),
        has_learned in any::<[bool; LEASE_GROUP_COUNT as usize]>(),
        since_change_ms in 0u64..5_000,
    ) {
        // When the lease groups that grant a team's tokens change, some coordinators still grant under the
        // old limit. The old and the new groups once granted the team its limit at the same time. The sums
        // of the rates and of the bursts of all groups must not exceed the larger of both limits.
        let limit_of_group =
            |total: (f64, u32), group| group_limit(&team, limit(total.0, total.1), group);
        let mut sum = (0.0, 0);
        for group in 0..LEASE_GROUP_COUNT {
            let limits =
                |total| HashMap::from([(team.as_str().into(), limit_of_group(total, group))]);
            let mut history = LimitHistory::default();
            history.install(limits(old), true, at(0));
            if has_learned[usize::from(group)] {
                history.install(limits(new), false, at(10_000));
            }
            let (current_limits, _) =
                history.effective_limits(Duration::from_secs(4), at(10_000 + since_change_ms));
            sum.0 += current_limits[team.as_str()].rate_per_s;
            sum.1 += current_limits[team.as_str()].burst;
            let (after_hold, next_change_at) = history.effective_limits(Duration::from_secs(4), at(20_000));
            prop_assert!(next_change_at.is_none());
            let team_limit = if has_learned[usize::from(group)] { new } else { old };
            prop_assert_eq!(after_hold[team.as_str()], limit_of_group(team_limit, group));
        }
        prop_assert!(sum.0 <= old.0.max(new.0) + 1e-6 && sum.1 <= old.1.max(new.1));
    }
}
