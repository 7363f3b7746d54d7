//! Guards against grants that are released or extended twice, claims of an earlier term, lease group
//! limits that do not add up to the limit of the team, and lowered limits that are not applied.
//!
//! Covers also voters, quorums and the preferred relays of targets.

use std::time::Duration;

use limpet_decide::{
    grant::{
        Coordinator,
        GroupRules,
        MOVES_PER_S,
        OWNERSHIP_TTL,
        OwnedTargets,
        OwnershipRequest,
        OwnershipTable,
        RateLimit,
        TOKEN_TTL,
        TokenBucket,
        group_limit, //
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

const START: Duration = Duration::from_secs(2000);

fn at(ms: u64) -> Duration {
    START + Duration::from_millis(ms)
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

/// Returns a bucket that is full at `START`.
fn full_bucket(limit: RateLimit) -> TokenBucket {
    let start = START - Duration::from_secs(1000);
    let filling = RateLimit {
        rate_per_s: 1.0,
        ..limit
    };
    let mut bucket = TokenBucket::new(start);
    bucket.advance(filling, start);
    bucket.advance(filling, START);
    bucket.advance(limit, START);
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
    fn group_limits_add_up_to_the_limit(
        team in "[a-z]{1,8}",
        burst in 0u32..50,
        rate in 0.0f64..1e4,
    ) {
        let limit_of_group = |group| group_limit(&team, limit(rate, burst), group);
        let burst_sum: u32 = (0..LEASE_GROUP_COUNT).map(|g| limit_of_group(g).burst).sum();
        let rate_sum: f64 = (0..LEASE_GROUP_COUNT).map(|g| limit_of_group(g).rate_per_s).sum();
        prop_assert_eq!(burst_sum, burst);
        let expected = if burst == 0 { 0.0 } else { rate };
        prop_assert!((rate_sum - expected).abs() < 1e-6);
        for group in 0..LEASE_GROUP_COUNT {
            prop_assert!(limit_of_group(group).burst > 0 || limit_of_group(group).rate_per_s == 0.0);
        }
    }
}

#[test]
fn a_repeated_report_frees_tokens_once() {
    let mut bucket = full_bucket(limit(0.0, 10));
    assert_eq!(bucket.grant(node(1), 1, 6, at(1000)), 6);
    bucket.record_usage(node(1), &report(1, 2, 1));
    bucket.record_usage(node(1), &report(1, 2, 1));
    assert_eq!(bucket.outstanding_tokens(), 3);
    assert_eq!(bucket.grant(node(1), 2, 10, at(1000)), 5);
}

#[test]
fn a_report_on_an_expired_grant_does_not_free_a_later_one() {
    let mut bucket = full_bucket(limit(10.0, 10));
    bucket.grant(node(1), 1, 5, at(100));
    bucket.advance(limit(10.0, 10), at(150));
    bucket.grant(node(1), 2, 5, at(1000));
    bucket.record_usage(node(1), &report(1, 5, 0));
    assert_eq!(bucket.outstanding_tokens(), 5);
}

#[test]
fn outstanding_tokens_limit_the_refill_until_they_expire() {
    let mut bucket = full_bucket(limit(10.0, 10));
    assert_eq!(bucket.grant(node(1), 1, 10, at(1000)), 10);
    // The holder may have spent the tokens just before they expired, so the bucket contains only
    // the refill of the 100 ms since then.
    bucket.advance(limit(10.0, 10), at(1100));
    assert_eq!(bucket.grant(node(2), 1, 10, at(2000)), 1);
}

#[test]
fn a_lowered_burst_applies_when_earlier_grants_have_expired() {
    let mut bucket = full_bucket(limit(100.0, 20));
    assert_eq!(bucket.grant(node(1), 1, 20, at(1000)), 20);
    let lowered_limit = limit(100.0, 5);
    bucket.advance(lowered_limit, at(500));
    assert_eq!(bucket.grant(node(2), 1, 20, at(1500)), 0);
    bucket.advance(lowered_limit, at(1000));
    bucket.advance(lowered_limit, at(9000));
    assert_eq!(bucket.grant(node(2), 2, 20, at(10_000)), 5);
}

fn lease(until_ms: u64) -> Lease {
    Lease {
        term: 7,
        elected_at: START,
        expires_at: at(until_ms),
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

fn token_count(reply: &GrantReply) -> u32 {
    reply.tokens.iter().map(|grant| grant.tokens).sum()
}

#[test]
fn a_repeated_request_gets_its_first_reply_and_an_older_request_no_grant() {
    let mut coordinator = Coordinator::new(node(9), 0, lease(100_000));
    coordinator.handle(&request(1, 0), &rules(), false, at(0));
    let first = coordinator.handle(&request(2, 4), &rules(), false, at(500));
    let again = coordinator.handle(&request(2, 4), &rules(), false, at(510));
    assert_eq!((token_count(&first), &first), (4, &again));
    assert_eq!(
        token_count(&coordinator.handle(&request(1, 4), &rules(), false, at(520))),
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
        token_count(&coordinator.handle(&request(3, 1), &rules(), true, at(1600))),
        0
    );
    assert!(
        !coordinator
            .handle(&request(4, 1), &rules(), false, at(1800))
            .is_coordinator
    );
}

#[test]
fn a_claim_is_accepted_under_the_current_term_only() {
    let mut table = OwnershipTable::new(START, 1);
    let now = at(10);
    assert_eq!(table.claim(target(1), node(1), false, now), None);
    assert_eq!(table.request(target(1), node(2), None, now), None);
    assert_eq!(table.claim(target(1), node(1), true, now), Some(node(1)));
    assert_eq!(table.claim(target(1), node(2), true, now), Some(node(1)));
}

#[test]
fn moves_are_rate_limited_and_wait_for_the_end_of_the_former_ownership() {
    let mut table = OwnershipTable::new(START, 1);
    let start = START + OWNERSHIP_TTL;
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
    let moved_count = claims.filter(|owner| *owner == Some(node(2))).count();
    assert_eq!(moved_count, MOVES_PER_S as usize);
    let end = start + OWNERSHIP_TTL;
    assert_eq!(
        table.request(target(0), node(2), Some(node(2)), end),
        Some(node(2))
    );
}

fn reply_with_ownership(sequence: u64) -> GrantReply {
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
fn ownership_counts_from_the_request_and_a_late_reply_does_not_undo_a_release() {
    let mut owned_targets = OwnedTargets::new(node(1));
    let ownership_request = OwnershipRequest {
        wanted: vec![target(1)],
        ..OwnershipRequest::default()
    };
    owned_targets.apply(
        &ownership_request,
        &reply_with_ownership(1),
        at(0),
        at(3500),
    );
    assert_eq!(owned_targets.owned().next(), Some((target(1), at(3600))));
    owned_targets.release_all();
    owned_targets.apply(
        &ownership_request,
        &reply_with_ownership(2),
        at(3500),
        at(3550),
    );
    assert_eq!(owned_targets.owned().count(), 0);
    // A process that was suspended gets the reply after the ownership has expired.
    let mut owned_after_resume = OwnedTargets::new(node(1));
    owned_after_resume.apply(
        &ownership_request,
        &reply_with_ownership(1),
        at(0),
        at(3700),
    );
    assert_eq!(owned_after_resume.owned().count(), 0);
}

#[test]
fn a_pool_spends_granted_tokens_until_they_expire() {
    let mut pool = TokenPool::new().with_policy(PrefetchPolicy::default());
    pool.set_teams(["north"].into_iter());
    assert!(!pool.try_acquire("north", at(0)));
    // One lease group is asked at once; the other groups are asked later while the request waits.
    let requested: Vec<u16> = (0..LEASE_GROUP_COUNT)
        .filter(|g| pool.has_urgent_demand(*g, at(0)))
        .collect();
    assert_eq!(requested.len(), 1);
    assert!((0..LEASE_GROUP_COUNT).all(|group| pool.has_urgent_demand(group, at(40))));
    let demands = pool.build_demands(requested[0], Some(7), |_| limit(1000.0, 40), at(0));
    assert_eq!(demands[0].wanted, 1);
    assert!(!pool.has_urgent_demand(requested[0], at(40)));
    let mut coordinator = Coordinator::new(node(9), 0, lease(100_000));
    coordinator.handle(&request(1, 0), &rules(), false, at(0));
    let reply = coordinator.handle(&request(2, 2), &rules(), false, at(100));
    assert!(pool.apply(&reply, at(100), at(110)));
    assert!(pool.try_acquire("north", at(110)));
    assert!(!pool.try_acquire("north", at(1000)));
}

fn vote_request(candidate: u8, round: u64, ttl: Duration) -> VoteRequest {
    VoteRequest {
        group: 0,
        candidate: node(candidate),
        round,
        ttl,
    }
}

#[test]
fn a_voter_abstains_after_its_start_and_keeps_its_promise() {
    let mut voter = Voter::new(node(5), START);
    let start = START + LEASE_TTL;
    // The voter still abstains 1 ms before one full lease has passed since its start.
    assert!(
        !voter
            .vote(
                &vote_request(1, 1, LEASE_TTL),
                Some(5),
                start - at(1) + START
            )
            .granted
    );
    assert!(
        !voter
            .vote(&vote_request(1, 1, LEASE_TTL), None, start)
            .granted
    );
    assert!(
        voter
            .vote(&vote_request(1, 2, LEASE_TTL), Some(5), start)
            .granted
    );
    assert!(
        !voter
            .vote(&vote_request(2, 9, LEASE_TTL), Some(5), start)
            .granted
    );
    // A delayed request to release the vote of an earlier round changes nothing.
    voter.vote(&vote_request(1, 1, Duration::ZERO), Some(5), start);
    assert_eq!(voter.promised_to(0, start), Some(node(1)));
    // The request of another relay changes nothing either.
    voter.vote(&vote_request(2, 9, Duration::ZERO), Some(5), start);
    assert_eq!(voter.promised_to(0, start), Some(node(1)));
    voter.vote(&vote_request(1, 3, Duration::ZERO), Some(5), start);
    assert!(
        voter
            .vote(&vote_request(2, 1, LEASE_TTL), Some(5), start)
            .granted
    );
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
fn replicas_of_a_shard_prefer_different_relays_and_few_move_when_a_relay_leaves() {
    let relays: Vec<NodeId> = (1..=8).map(node).collect();
    let owner_of = |shard: u32, i, relays: &[NodeId]| {
        placement::preferred_relay("stock", &shard.to_string(), i, relays).unwrap()
    };
    let mut moved_count = 0;
    for shard in 0..200 {
        let owners: Vec<NodeId> = (0..3).map(|i| owner_of(shard, i, &relays)).collect();
        assert!(owners[0] != owners[1] && owners[1] != owners[2] && owners[0] != owners[2]);
        moved_count += u32::from(owners[0] != owner_of(shard, 0, &relays[..7]));
    }
    assert!(
        (10..60).contains(&moved_count),
        "{moved_count} of 200 targets moved"
    );
}
