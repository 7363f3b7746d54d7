//! Guards against requests admitted by an old configuration and a needless stop in an outage.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use limpet_decide::freshness::{
    Freshness,
    PeerEvidence, //
};
use limpet_types::message::ConfigServiceReachability::{
    self,
    Reachable,
    Unknown,
    Unreachable, //
};
use proptest::prelude::*;

const LIMIT: Duration = Duration::from_secs(4);

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn answer(
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

/// Revision 5 in force, last read at 10 s, two listed peers.
fn freshness() -> Freshness {
    let mut freshness = Freshness::new(LIMIT);
    freshness.set_revision(5, LIMIT);
    freshness.set_listed_peers(vec![peer(1), peer(2)]);
    freshness.record_read(at(10_000));
    freshness
}

fn hear(f: &mut Freshness, number: u16, revision: u64, age_ms: u64) {
    f.record_reply(
        peer(number),
        at(12_000),
        answer(revision, Reachable, Some(age_ms)),
    );
}

fn outage(f: &mut Freshness, first: ConfigServiceReachability, second: ConfigServiceReachability) {
    f.record_read_failure(at(13_000));
    f.record_reply(peer(1), at(13_000), answer(5, first, None));
    f.record_reply(peer(2), at(12_000), answer(5, second, None));
}

type Step = fn(&mut Freshness);

limpet_testkit::cases! {
    is_fresh_until:
    a_read_counts_from_before_it_was_sent => (|_| {}, 14_000),
    a_peers_age_is_added => (|f| hear(f, 1, 5, 500), 15_500),
    an_older_peer_changes_nothing => (|f| hear(f, 1, 5, 3_000), 14_000),
    a_lower_revision_is_no_evidence => (|f| hear(f, 1, 4, 0), 14_000),
    a_higher_revision_is_no_evidence => (|f| hear(f, 1, 6, 0), 14_000),
    an_unlisted_peer_is_evidence => (|f| hear(f, 9, 5, 0), 16_000),
    an_age_before_boot_is_ignored => (|f| hear(f, 1, 5, 20_000), 14_000),
    an_outage_seen_by_all_goes_on => (|f| outage(f, Unreachable, Unreachable), 16_000),
    an_outage_not_tried_by_one_stops => (|f| outage(f, Unreachable, Unknown), 14_000),
    an_outage_denied_by_one_stops => (|f| outage(f, Unreachable, Reachable), 14_000),
    an_outage_with_a_peer_gone_goes_on => (|f| {
        outage(f, Unreachable, Unknown);
        f.record_connection_refused(peer(2), at(13_000));
    }, 17_000),
    a_peer_that_came_back_counts_again => (|f| {
        outage(f, Unreachable, Unknown);
        f.record_connection_refused(peer(2), at(11_000));
    }, 14_000),
    a_silent_listed_peer_stops => (|f| {
        f.record_read_failure(at(13_000));
        f.record_reply(peer(1), at(13_000), answer(5, Unreachable, None));
    }, 14_000),
    a_silent_peer_taken_off_the_list_does_not => (|f| {
        f.record_read_failure(at(13_000));
        f.record_reply(peer(1), at(12_000), answer(5, Unreachable, None));
        f.set_listed_peers(vec![peer(1)]);
    }, 16_000),
    an_outage_not_tried_here_stops => (|f| {
        f.record_reply(peer(1), at(13_000), answer(5, Unreachable, None));
        f.record_reply(peer(2), at(13_000), answer(5, Unreachable, None));
    }, 14_000),
    a_peer_with_a_newer_text_stops_an_outage => (|f| {
        outage(f, Unreachable, Unreachable);
        f.record_reply(peer(2), at(13_000), answer(6, Unreachable, None));
    }, 14_000),
    a_new_listed_peer_stops_an_outage => (|f| {
        outage(f, Unreachable, Unreachable);
        f.set_listed_peers(vec![peer(1), peer(2), peer(3)]);
    }, 14_000),
}

fn is_fresh_until((step, expected_ms): (Step, u64)) {
    let mut freshness = freshness();
    step(&mut freshness);
    assert_eq!(freshness.fresh_until(), Some(at(expected_ms)));
}

limpet_testkit::cases! {
    may_start_at_11_s:
    read_alone_is_not_enough => (|_| {}, false),
    read_and_one_silent_peer => (|f| f.record_connection_refused(peer(1), at(10_000)), false),
    read_and_all_met => (|f| {
        f.record_connection_refused(peer(1), at(10_000));
        f.record_reply(peer(2), at(10_000), answer(0, Unknown, None));
    }, true),
    a_fresh_peer => (|f| hear(f, 2, 5, 1_500), true),
    a_peer_that_is_too_old => (|f| hear(f, 2, 5, 5_000), false),
    an_empty_list => (|f| f.set_listed_peers(Vec::new()), true),
}

fn may_start_at_11_s((step, expected): (Step, bool)) {
    let mut freshness = freshness();
    step(&mut freshness);
    assert_eq!(freshness.may_start_serving(at(11_000)), expected);
}

fn joins(first_age: Option<u64>, second: PeerEvidence) -> Freshness {
    let mut freshness = Freshness::new(LIMIT);
    freshness.set_revision(5, LIMIT);
    freshness.set_listed_peers(vec![peer(1), peer(2)]);
    freshness.record_read_failure(at(59_000));
    freshness.record_reply(peer(1), at(59_000), answer(5, Unreachable, first_age));
    freshness.record_reply(peer(2), at(59_000), second);
    freshness
}

const STARTING: PeerEvidence = PeerEvidence {
    revision: 5,
    reachability: Unreachable,
    freshness_age: None,
};

type Join = fn() -> Freshness;

// The peer's evidence is 50 s old: it serves under the outage exception.
limpet_testkit::cases! {
    may_join_an_outage_at_60_s:
    one_peer_was_up => (|| joins(Some(50_000), STARTING), true),
    two_starting_processes_do_not_confirm_each_other => (|| joins(None, STARTING), false),
    the_peer_that_was_up_has_an_older_text => (|| {
        joins(None, PeerEvidence { revision: 4, freshness_age: Some(at(50_000)), ..STARTING })
    }, false),
    another_peer_has_a_newer_text => (|| {
        joins(Some(50_000), PeerEvidence { revision: 6, ..STARTING })
    }, false),
    another_peer_reads_the_service => (|| {
        joins(Some(50_000), PeerEvidence { reachability: Reachable, ..STARTING })
    }, false),
    another_peer_is_silent => (|| {
        let mut freshness = joins(Some(50_000), STARTING);
        freshness.set_listed_peers(vec![peer(1), peer(2), peer(3)]);
        freshness
    }, false),
    the_peer_that_was_up_is_gone => (|| {
        let mut freshness = joins(Some(50_000), STARTING);
        freshness.record_connection_refused(peer(1), at(59_500));
        freshness
    }, false),
    the_list_is_empty => (|| {
        let mut freshness = joins(Some(50_000), STARTING);
        freshness.set_listed_peers(Vec::new());
        freshness
    }, false),
    the_service_was_not_tried => (|| {
        let mut freshness = Freshness::new(LIMIT);
        freshness.set_revision(5, LIMIT);
        freshness.set_listed_peers(vec![peer(1)]);
        freshness.record_reply(peer(1), at(59_000), answer(5, Unreachable, Some(50_000)));
        freshness
    }, false),
}

fn may_join_an_outage_at_60_s((join, expected): (Join, bool)) {
    assert_eq!(join().may_start_serving(at(60_000)), expected);
}

#[test]
fn an_outage_is_joined_only_while_its_evidence_lasts() {
    let freshness = joins(Some(50_000), STARTING);
    assert!(freshness.may_start_serving(at(62_999)));
    assert!(!freshness.may_start_serving(at(63_000)));
}

#[test]
fn nothing_is_fresh_without_a_text() {
    let mut freshness = Freshness::new(LIMIT);
    freshness.record_read(at(1_000));
    assert_eq!(freshness.fresh_until(), None);
}

limpet_testkit::cases! {
    tells_of_the_service:
    a_recent_read => (12_000, 11_000, Reachable),
    a_failed_read_and_old_evidence => (12_600, 12_000, Unreachable),
    old_evidence_and_no_later_failure => (12_600, 9_000, Unknown),
    a_failure_that_is_too_old => (16_500, 12_000, Unknown),
}

fn tells_of_the_service((now_ms, failed_ms, expected): (u64, u64, ConfigServiceReachability)) {
    let mut freshness = freshness();
    freshness.record_read_failure(at(failed_ms));
    assert_eq!(freshness.reachability(at(now_ms)), expected);
}

#[test]
fn probes_go_round_all_listed_peers() {
    let mut freshness = freshness();
    assert_eq!(freshness.next_probes(at(1), 1), [peer(1)]);
    assert_eq!(freshness.next_probes(at(2), 1), [peer(2)]);
    assert_eq!(freshness.next_probes(at(3), 1), [peer(1)]);
}

proptest! {
    /// Without an outage, nobody is fresh longer than the limit after the last moment at which the
    /// configuration was certainly current, whatever the order of events.
    #[test]
    fn evidence_never_outlives_its_limit(
        events in proptest::collection::vec((0u64..20_000, 0u64..8_000, 0u16..4, 3u64..7), 1..40),
    ) {
        let mut freshness = Freshness::new(LIMIT);
        freshness.set_revision(5, LIMIT);
        freshness.set_listed_peers(vec![peer(1), peer(2)]);
        let mut current_ms = None;
        for (sent_ms, age_ms, number, revision) in events {
            if number == 0 {
                freshness.record_read(at(sent_ms));
                current_ms = current_ms.max(Some(sent_ms));
            } else {
                let heard = answer(revision, Reachable, Some(age_ms));
                freshness.record_reply(peer(number), at(sent_ms), heard);
                if revision == 5 {
                    current_ms = current_ms.max(sent_ms.checked_sub(age_ms));
                }
            }
            prop_assert_eq!(freshness.fresh_until(), current_ms.map(|ms| at(ms) + LIMIT));
        }
    }
}
