//! Guards against admitting requests under an outdated configuration, and against refusing requests in
//! an outage of the configuration service.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use limpet_decide::freshness::{
    FreshnessTracker,
    PeerEvidence, //
};
use limpet_types::message::ConfigServiceReachability::{
    self,
    Reachable,
    Unknown,
    Unreachable, //
};
use proptest::prelude::*;

const FRESHNESS_LIMIT: Duration = Duration::from_secs(4);

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn peer(peer_number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], peer_number))
}

fn reply(
    revision: u64,
    reachability: ConfigServiceReachability,
    age_ms: Option<u64>,
) -> PeerEvidence {
    PeerEvidence {
        revision,
        reachability,
        freshness_age: age_ms.map(at),
    }
}

/// Returns a state with revision 5 in force, the last read at 10 s and two live peers.
fn freshness() -> FreshnessTracker {
    let mut freshness = FreshnessTracker::new(FRESHNESS_LIMIT);
    freshness.set_revision(5, FRESHNESS_LIMIT);
    freshness.set_live_peers(vec![peer(1), peer(2)]);
    freshness.record_read(at(10_000));
    freshness
}

fn record_peer_evidence(f: &mut FreshnessTracker, peer_number: u16, revision: u64, age_ms: u64) {
    f.record_reply(
        peer(peer_number),
        at(12_000),
        reply(revision, Reachable, Some(age_ms)),
    );
}

fn record_outage(
    f: &mut FreshnessTracker,
    first: ConfigServiceReachability,
    second: ConfigServiceReachability,
) {
    f.record_read_failure(at(13_000));
    f.record_reply(peer(1), at(13_000), reply(5, first, None));
    f.record_reply(peer(2), at(12_000), reply(5, second, None));
}

type Step = fn(&mut FreshnessTracker);

limpet_testkit::cases! {
    is_fresh_until:
    a_read_counts_from_when_it_was_sent => (|_| {}, 14_000),
    a_peers_evidence_counts_with_its_age => (|f| record_peer_evidence(f, 1, 5, 500), 15_500),
    older_peer_evidence_changes_nothing => (|f| record_peer_evidence(f, 1, 5, 3_000), 14_000),
    a_lower_revision_is_no_evidence => (|f| record_peer_evidence(f, 1, 4, 0), 14_000),
    a_higher_revision_is_no_evidence => (|f| record_peer_evidence(f, 1, 6, 0), 14_000),
    a_peer_not_listed_as_live_is_evidence => (|f| record_peer_evidence(f, 9, 5, 0), 16_000),
    evidence_from_before_boot_is_ignored => (|f| record_peer_evidence(f, 1, 5, 20_000), 14_000),
    an_outage_confirmed_by_all_extends_freshness =>
        (|f| record_outage(f, Unreachable, Unreachable), 16_000),
    an_outage_unknown_to_one_peer_does_not_extend_freshness =>
        (|f| record_outage(f, Unreachable, Unknown), 14_000),
    an_outage_denied_by_one_peer_does_not_extend_freshness =>
        (|f| record_outage(f, Unreachable, Reachable), 14_000),
    an_outage_with_one_peer_gone_extends_freshness => (|f| {
        record_outage(f, Unreachable, Unknown);
        f.record_connection_refused(peer(2), at(13_000));
    }, 17_000),
    a_later_reply_overrides_a_refused_connection => (|f| {
        record_outage(f, Unreachable, Unknown);
        f.record_connection_refused(peer(2), at(11_000));
    }, 14_000),
    an_outage_with_a_silent_live_peer_does_not_extend_freshness => (|f| {
        f.record_read_failure(at(13_000));
        f.record_reply(peer(1), at(13_000), reply(5, Unreachable, None));
    }, 14_000),
    a_silent_peer_removed_from_the_list_is_ignored => (|f| {
        f.record_read_failure(at(13_000));
        f.record_reply(peer(1), at(12_000), reply(5, Unreachable, None));
        f.set_live_peers(vec![peer(1)]);
    }, 16_000),
    an_outage_without_a_failed_read_here_does_not_extend_freshness => (|f| {
        f.record_reply(peer(1), at(13_000), reply(5, Unreachable, None));
        f.record_reply(peer(2), at(13_000), reply(5, Unreachable, None));
    }, 14_000),
    an_outage_with_a_newer_revision_at_a_peer_does_not_extend_freshness => (|f| {
        record_outage(f, Unreachable, Unreachable);
        f.record_reply(peer(2), at(13_000), reply(6, Unreachable, None));
    }, 14_000),
    an_outage_with_a_new_live_peer_does_not_extend_freshness => (|f| {
        record_outage(f, Unreachable, Unreachable);
        f.set_live_peers(vec![peer(1), peer(2), peer(3)]);
    }, 14_000),
}

fn is_fresh_until((step, expected_ms): (Step, u64)) {
    let mut freshness = freshness();
    step(&mut freshness);
    assert_eq!(freshness.fresh_until(), Some(at(expected_ms)));
}

limpet_testkit::cases! {
    may_start_at_11_s:
    a_read_alone_is_not_enough => (|_| {}, false),
    a_read_and_one_silent_peer => (|f| f.record_connection_refused(peer(1), at(10_000)), false),
    a_read_and_contact_with_all_peers => (|f| {
        f.record_connection_refused(peer(1), at(10_000));
        f.record_reply(peer(2), at(10_000), reply(0, Unknown, None));
    }, true),
    recent_peer_evidence => (|f| record_peer_evidence(f, 2, 5, 1_500), true),
    peer_evidence_that_is_too_old => (|f| record_peer_evidence(f, 2, 5, 5_000), false),
    an_empty_list => (|f| f.set_live_peers(Vec::new()), true),
}

fn may_start_at_11_s((step, expected): (Step, bool)) {
    let mut freshness = freshness();
    step(&mut freshness);
    assert_eq!(freshness.may_start_serving(at(11_000)), expected);
}

fn starting_in_outage(first_age_ms: Option<u64>, second: PeerEvidence) -> FreshnessTracker {
    let mut freshness = FreshnessTracker::new(FRESHNESS_LIMIT);
    freshness.set_revision(5, FRESHNESS_LIMIT);
    freshness.set_live_peers(vec![peer(1), peer(2)]);
    freshness.record_read_failure(at(59_000));
    freshness.record_reply(peer(1), at(59_000), reply(5, Unreachable, first_age_ms));
    freshness.record_reply(peer(2), at(59_000), second);
    freshness
}

const STARTING_PEER: PeerEvidence = PeerEvidence {
    revision: 5,
    reachability: Unreachable,
    freshness_age: None,
};

type StartCase = fn() -> FreshnessTracker;

// Evidence that is 50 s old shows that the peer served before the outage and still does.
limpet_testkit::cases! {
    may_start_in_an_outage_at_60_s:
    one_peer_served_before_the_outage => (|| starting_in_outage(Some(50_000), STARTING_PEER), true),
    two_starting_processes_do_not_confirm_each_other =>
        (|| starting_in_outage(None, STARTING_PEER), false),
    the_serving_peer_has_an_older_revision => (|| {
        starting_in_outage(
            None,
            PeerEvidence { revision: 4, freshness_age: Some(at(50_000)), ..STARTING_PEER },
        )
    }, false),
    another_peer_has_a_newer_revision => (|| {
        starting_in_outage(Some(50_000), PeerEvidence { revision: 6, ..STARTING_PEER })
    }, false),
    another_peer_can_read_the_service => (|| {
        starting_in_outage(Some(50_000), PeerEvidence { reachability: Reachable, ..STARTING_PEER })
    }, false),
    another_peer_is_silent => (|| {
        let mut freshness = starting_in_outage(Some(50_000), STARTING_PEER);
        freshness.set_live_peers(vec![peer(1), peer(2), peer(3)]);
        freshness
    }, false),
    the_serving_peer_is_gone => (|| {
        let mut freshness = starting_in_outage(Some(50_000), STARTING_PEER);
        freshness.record_connection_refused(peer(1), at(59_500));
        freshness
    }, false),
    the_list_is_empty => (|| {
        let mut freshness = starting_in_outage(Some(50_000), STARTING_PEER);
        freshness.set_live_peers(Vec::new());
        freshness
    }, false),
    this_process_has_no_failed_read => (|| {
        let mut freshness = FreshnessTracker::new(FRESHNESS_LIMIT);
        freshness.set_revision(5, FRESHNESS_LIMIT);
        freshness.set_live_peers(vec![peer(1)]);
        freshness.record_reply(peer(1), at(59_000), reply(5, Unreachable, Some(50_000)));
        freshness
    }, false),
}

fn may_start_in_an_outage_at_60_s((starting, expected): (StartCase, bool)) {
    assert_eq!(starting().may_start_serving(at(60_000)), expected);
}

#[test]
fn a_process_starts_in_an_outage_only_while_its_evidence_lasts() {
    let freshness = starting_in_outage(Some(50_000), STARTING_PEER);
    assert!(freshness.may_start_serving(at(62_999)));
    assert!(!freshness.may_start_serving(at(63_000)));
}

#[test]
fn nothing_is_fresh_without_a_revision_in_force() {
    let mut freshness = FreshnessTracker::new(FRESHNESS_LIMIT);
    freshness.record_read(at(1_000));
    assert_eq!(freshness.fresh_until(), None);
}

limpet_testkit::cases! {
    reports_service_reachability:
    reachable_after_a_recent_read => (12_000, 11_000, Reachable),
    unreachable_after_a_failed_read_and_old_evidence => (12_600, 12_000, Unreachable),
    unknown_with_old_evidence_and_no_later_failure => (12_600, 9_000, Unknown),
    unknown_after_a_failure_that_is_too_old => (16_500, 12_000, Unknown),
}

fn reports_service_reachability(
    (now_ms, read_failed_at_ms, expected): (u64, u64, ConfigServiceReachability),
) {
    let mut freshness = freshness();
    freshness.record_read_failure(at(read_failed_at_ms));
    assert_eq!(freshness.reachability(at(now_ms)), expected);
}

#[test]
fn probes_rotate_over_all_live_peers() {
    let mut freshness = freshness();
    assert_eq!(freshness.next_probes(at(1), 1), [peer(1)]);
    assert_eq!(freshness.next_probes(at(2), 1), [peer(2)]);
    assert_eq!(freshness.next_probes(at(3), 1), [peer(1)]);
}

proptest! {
    /// Without an outage, the configuration counts as current until one freshness limit after the last time
    /// at which it certainly was current, whatever the order of events.
    #[test]
    fn evidence_never_outlives_its_limit(
        events in proptest::collection::vec((0u64..20_000, 0u64..8_000, 0u16..4, 3u64..7), 1..40),
    ) {
        let mut freshness = FreshnessTracker::new(FRESHNESS_LIMIT);
        freshness.set_revision(5, FRESHNESS_LIMIT);
        freshness.set_live_peers(vec![peer(1), peer(2)]);
        let mut evidence_at_ms = None;
        for (sent_ms, age_ms, peer_number, revision) in events {
            if peer_number == 0 {
                freshness.record_read(at(sent_ms));
                evidence_at_ms = evidence_at_ms.max(Some(sent_ms));
            } else {
                let reply_with_evidence = reply(revision, Reachable, Some(age_ms));
                freshness.record_reply(peer(peer_number), at(sent_ms), reply_with_evidence);
                if revision == 5 {
                    evidence_at_ms = evidence_at_ms.max(sent_ms.checked_sub(age_ms));
                }
            }
            prop_assert_eq!(freshness.fresh_until(), evidence_at_ms.map(|ms| at(ms) + FRESHNESS_LIMIT));
        }
    }
}
