//! Guards against rights that are freed or extended twice, claims of a former term, lost parts of a
//! burst and limits that stay in force after they were lowered.

use std::time::Duration;

use limpet_decide::{
    grant::{
        Coordinator,
        GroupRules,
        MOVES_PER_S,
        OWNERSHIP_TTL,
        OwnedTargets,
        OwnershipClaims,
        OwnershipTable,
        RateLimit,
        TOKEN_TTL,
        TokenBucket,
        split_limit, //
    },
    lease::{
        LEASE_TTL,
        Lease,
        Voter,
        quorum, //
    },
    placement,
    tokens::{
        PrefetchPolicy,
        TokenPool, //
    },
};
use limpet_types::{
    NodeId, TargetAddr,
    hash::LEASE_GROUP_COUNT,
    message::{
        GrantReply,
        GrantRequest,
        TokenDemand,
        TokenUsage,
        VoteRequest, //
    },
};
use proptest::prelude::*;

const T0: Duration = Duration::from_secs(2000);

fn at(ms: u64) -> Duration {
    T0 + Duration::from_millis(ms)
}

fn node(number: u8) -> NodeId {
    NodeId::new(([10, 0, 0, number], 7101).into(), u64::from(number))
}

fn target(port: u16) -> TargetAddr {
    ([10, 1, 0, 1], port).into()
}

fn limit(rate_per_s: f64, burst: u32) -> RateLimit {
    RateLimit { rate_per_s, burst }
}

/// Returns a bucket whose level is its burst at 0 ms.
fn full(limit: RateLimit) -> TokenBucket {
    let start = T0 - Duration::from_secs(1000);
    let filling = RateLimit {
        rate_per_s: 1.0,
        ..limit
    };
    let mut bucket = TokenBucket::new(start);
    bucket.advance(filling, start);
    bucket.advance(filling, T0);
    bucket.advance(limit, T0);
    bucket
}

fn report(sequence: u64, spent: u32, returned: u32) -> TokenUsage {
    TokenUsage {
        sequence,
        spent,
        returned,
    }
}

proptest! {
    #[test]
    fn the_parts_of_a_limit_add_up(team in "[a-z]{1,8}", burst in 0u32..50, rate in 0.0f64..1e4) {
        let part = |group| split_limit(&team, limit(rate, burst), group);
        let bursts: u32 = (0..LEASE_GROUP_COUNT).map(|g| part(g).burst).sum();
        let rates: f64 = (0..LEASE_GROUP_COUNT).map(|g| part(g).rate_per_s).sum();
        prop_assert_eq!(bursts, burst);
        let expected = if burst == 0 { 0.0 } else { rate };
        prop_assert!((rates - expected).abs() < 1e-6);
        for group in 0..LEASE_GROUP_COUNT {
            prop_assert!(part(group).burst > 0 || part(group).rate_per_s == 0.0);
        }
    }
}

#[test]
fn a_repeated_report_frees_tokens_once() {
    let mut bucket = full(limit(0.0, 10));
    assert_eq!(bucket.grant(node(1), 1, 6, at(1000)), 6);
    bucket.record_usage(node(1), &report(1, 2, 1));
    bucket.record_usage(node(1), &report(1, 2, 1));
    assert_eq!(bucket.outstanding(), 3);
    assert_eq!(bucket.grant(node(1), 2, 10, at(1000)), 5);
}

#[test]
fn a_report_on_an_expired_grant_does_not_free_a_later_one() {
    let mut bucket = full(limit(10.0, 10));
    bucket.grant(node(1), 1, 5, at(100));
    bucket.advance(limit(10.0, 10), at(150));
    bucket.grant(node(1), 2, 5, at(1000));
    bucket.record_usage(node(1), &report(1, 5, 0));
    assert_eq!(bucket.outstanding(), 5);
}

#[test]
fn tokens_that_are_out_hold_back_the_refill_until_their_own_end() {
    let mut bucket = full(limit(10.0, 10));
    assert_eq!(bucket.grant(node(1), 1, 10, at(1000)), 10);
    // Spent just before their end and not reported; only 100 ms of refill may follow.
    bucket.advance(limit(10.0, 10), at(1100));
    assert_eq!(bucket.grant(node(2), 1, 10, at(2000)), 1);
}

#[test]
fn a_lowered_burst_holds_when_earlier_grants_have_expired() {
    let mut bucket = full(limit(100.0, 20));
    assert_eq!(bucket.grant(node(1), 1, 20, at(1000)), 20);
    let low = limit(100.0, 5);
    bucket.advance(low, at(500));
    assert_eq!(bucket.grant(node(2), 1, 20, at(1500)), 0);
    bucket.advance(low, at(1000));
    bucket.advance(low, at(9000));
    assert_eq!(bucket.grant(node(2), 2, 20, at(10_000)), 5);
}

fn lease(until_ms: u64) -> Lease {
    Lease {
        term: 7,
        elected_at: T0,
        until: at(until_ms),
    }
}

fn rules() -> GroupRules {
    GroupRules {
        limits: [("north".into(), limit(1000.0, 10))].into_iter().collect(),
        ..GroupRules::default()
    }
}

fn request(sequence: u64, wanted: u32) -> GrantRequest {
    GrantRequest {
        group: 0,
        holder: node(1),
        sequence,
        tokens: vec![TokenDemand {
            team: "north".into(),
            wanted,
            reports: Vec::new(),
        }],
        term: Some(7),
        wanted: Vec::new(),
        claimed: Vec::new(),
        released: Vec::new(),
        directory_version: 0,
    }
}

fn tokens(reply: &GrantReply) -> u32 {
    reply.tokens.iter().map(|grant| grant.tokens).sum()
}

#[test]
fn a_repeated_request_gets_its_first_reply_and_an_older_one_nothing() {
    let mut coordinator = Coordinator::new(node(9), 0, lease(100_000));
    coordinator.handle(&request(1, 0), &rules(), false, at(0));
    let first = coordinator.handle(&request(2, 4), &rules(), false, at(500));
    let again = coordinator.handle(&request(2, 4), &rules(), false, at(510));
    assert_eq!((tokens(&first), &first), (4, &again));
    assert_eq!(
        tokens(&coordinator.handle(&request(1, 4), &rules(), false, at(520))),
        0
    );
    assert_eq!(coordinator.outstanding_tokens(&rules(), at(520)), 4);
}

#[test]
fn tokens_end_with_the_lease_and_none_are_granted_after_it_or_while_resigning() {
    let mut coordinator = Coordinator::new(node(9), 0, lease(1800));
    coordinator.handle(&request(1, 0), &rules(), false, at(0));
    let reply = coordinator.handle(&request(2, 1), &rules(), false, at(1500));
    assert_eq!(reply.token_ttl, Duration::from_millis(300));
    assert!(reply.token_ttl < TOKEN_TTL);
    assert_eq!(
        tokens(&coordinator.handle(&request(3, 1), &rules(), true, at(1600))),
        0
    );
    assert!(
        !coordinator
            .handle(&request(4, 1), &rules(), false, at(1800))
            .is_coordinator
    );
}

#[test]
fn a_claim_counts_only_under_the_current_term() {
    let mut table = OwnershipTable::new(T0, 1);
    let now = at(10);
    assert_eq!(table.claim(target(1), node(1), false, now), None);
    assert_eq!(table.request(target(1), node(2), None, now), None);
    assert_eq!(table.claim(target(1), node(1), true, now), Some(node(1)));
    assert_eq!(table.claim(target(1), node(2), true, now), Some(node(1)));
}

#[test]
fn moves_are_limited_and_end_the_former_ownership_first() {
    let mut table = OwnershipTable::new(T0, 1);
    let start = T0 + OWNERSHIP_TTL;
    table.advance(start);
    let ports = 0..3 * MOVES_PER_S as u16;
    for port in ports.clone() {
        assert_eq!(
            table.request(target(port), node(1), None, start),
            Some(node(1))
        );
    }
    for port in ports.clone() {
        let owner = table.request(target(port), node(2), Some(node(2)), start);
        assert_eq!(owner, Some(node(1)));
    }
    let claims = ports.map(|port| table.claim(target(port), node(1), true, start));
    let moving = claims.filter(|owner| *owner == Some(node(2))).count();
    assert_eq!(moving, MOVES_PER_S as usize);
    let end = start + OWNERSHIP_TTL;
    assert_eq!(
        table.request(target(0), node(2), Some(node(2)), end),
        Some(node(2))
    );
}

fn owner_reply(sequence: u64) -> GrantReply {
    let mut coordinator = Coordinator::new(node(9), 0, lease(100_000));
    let mut reply = coordinator.handle(&request(sequence, 0), &rules(), false, at(0));
    let (target, owner) = (target(1), Some(node(1)));
    reply
        .targets
        .push(limpet_types::message::OwnershipDecision {
            target,
            owner,
            is_moving: false,
        });
    reply
}

#[test]
fn a_late_reply_extends_nothing_beyond_its_request_and_revives_nothing_released() {
    let mut holder = OwnedTargets::new(node(1));
    let claims = OwnershipClaims {
        wanted: vec![target(1)],
        ..OwnershipClaims::default()
    };
    holder.apply(&claims, &owner_reply(1), at(0), at(3500));
    assert_eq!(holder.owned().next(), Some((target(1), at(3600))));
    holder.release_all();
    holder.apply(&claims, &owner_reply(2), at(3500), at(3550));
    assert_eq!(holder.owned().count(), 0);
    let mut woken = OwnedTargets::new(node(1));
    woken.apply(&claims, &owner_reply(1), at(0), at(3700));
    assert_eq!(woken.owned().count(), 0);
}

#[test]
fn a_share_spends_what_it_was_granted_and_not_after_its_end() {
    let mut shares = TokenPool::new().with_policy(PrefetchPolicy::default());
    shares.set_teams(["north"].into_iter());
    assert!(!shares.try_acquire("north", at(0)));
    // One group is asked at once and the others only when it did not help.
    let short: Vec<u16> = (0..LEASE_GROUP_COUNT)
        .filter(|g| shares.has_urgent_demand(*g, at(0)))
        .collect();
    assert_eq!(short.len(), 1);
    assert!((0..LEASE_GROUP_COUNT).all(|group| shares.has_urgent_demand(group, at(40))));
    let demands = shares.build_demands(short[0], Some(7), |_| limit(1000.0, 40), at(0));
    assert_eq!(demands[0].wanted, 1);
    assert!(!shares.has_urgent_demand(short[0], at(40)));
    let mut coordinator = Coordinator::new(node(9), 0, lease(100_000));
    coordinator.handle(&request(1, 0), &rules(), false, at(0));
    let reply = coordinator.handle(&request(2, 2), &rules(), false, at(100));
    assert!(shares.apply(&reply, at(100), at(110)));
    assert!(shares.try_acquire("north", at(110)));
    assert!(!shares.try_acquire("north", at(1000)));
}

fn vote(candidate: u8, round: u64, ttl: Duration) -> VoteRequest {
    VoteRequest {
        group: 0,
        candidate: node(candidate),
        round,
        ttl,
    }
}

#[test]
fn a_voter_abstains_after_its_start_and_keeps_its_promise() {
    let mut voter = Voter::new(node(5), T0);
    let start = T0 + LEASE_TTL;
    assert!(
        !voter
            .vote(&vote(1, 1, LEASE_TTL), Some(5), start - at(1) + T0)
            .granted
    );
    assert!(!voter.vote(&vote(1, 1, LEASE_TTL), None, start).granted);
    assert!(voter.vote(&vote(1, 2, LEASE_TTL), Some(5), start).granted);
    assert!(!voter.vote(&vote(2, 9, LEASE_TTL), Some(5), start).granted);
    // A delayed request to give back an earlier round frees nothing.
    voter.vote(&vote(1, 1, Duration::ZERO), Some(5), start);
    assert_eq!(voter.promised_to(0, start), Some(node(1)));
    // Nor does another relay's.
    voter.vote(&vote(2, 9, Duration::ZERO), Some(5), start);
    assert_eq!(voter.promised_to(0, start), Some(node(1)));
    voter.vote(&vote(1, 3, Duration::ZERO), Some(5), start);
    assert!(voter.vote(&vote(2, 1, LEASE_TTL), Some(5), start).granted);
}

limpet_testkit::cases! {
    quorum_is_more_than_half:
    of_one => (1, 1),
    of_two => (2, 2),
    of_seven => (7, 4),
    of_eight => (8, 5),
}

fn quorum_is_more_than_half((vms_max, expected): (u32, u32)) {
    assert_eq!(quorum(vms_max), expected);
}

#[test]
fn replicas_of_a_shard_have_different_relays_and_few_move_when_one_leaves() {
    let relays: Vec<NodeId> = (1..=8).map(node).collect();
    let place = |shard: u32, i, relays: &[NodeId]| {
        placement::preferred_relay("stock", &shard.to_string(), i, relays).unwrap()
    };
    let mut moved = 0;
    for shard in 0..200 {
        let owners: Vec<NodeId> = (0..3).map(|i| place(shard, i, &relays)).collect();
        assert!(owners[0] != owners[1] && owners[1] != owners[2] && owners[0] != owners[2]);
        moved += u32::from(owners[0] != place(shard, 0, &relays[..7]));
    }
    assert!((10..60).contains(&moved), "{moved} of 200 moved");
}
