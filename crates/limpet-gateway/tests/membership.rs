//! Which processes are there.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use limpet_gateway::{
    members::{
        Membership,
        MembershipLimits, //
    },
    rate::ProcessCounts,
};

const LIMITS: MembershipLimits = MembershipLimits {
    silent_after: Duration::from_millis(700),
    gone_after: Duration::from_secs(12),
    discovery_time: Duration::ZERO,
    seeds_max: 3,
};

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn addr(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

fn roster_with(others: u8) -> Membership {
    let mut roster = Membership::new(LIMITS, addr(0), &[addr(0), addr(1), addr(2)]);
    for number in 1..=others {
        roster.hear(addr(number), u64::from(number), at(0));
    }
    roster
}

/// Guards against a lone process that takes the whole rate because it has heard nobody yet.
#[test]
fn seeds_count_until_a_process_is_heard() {
    let roster = roster_with(0);
    assert_eq!(
        roster.process_counts(at(0)),
        ProcessCounts {
            total: 3,
            silent: 2
        }
    );
}

/// Guards against taking over the part of a process that may only be cut off.
#[test]
fn silent_process_keeps_its_part() {
    let mut roster = roster_with(3);
    roster.hear(addr(1), 1, at(1000));
    roster.hear(addr(2), 2, at(1000));
    assert!(roster.expire(at(1200)).is_empty());
    assert_eq!(
        roster.process_counts(at(1200)),
        ProcessCounts {
            total: 4,
            silent: 1
        }
    );
}

/// Guards against a part that is lost for good with its process.
#[test]
fn silent_process_is_given_up_by_a_majority() {
    let mut roster = roster_with(3);
    for number in 1..=2 {
        roster.hear(addr(number), u64::from(number), at(12_100));
    }
    assert_eq!(roster.expire(at(12_200)), [3]);
    assert_eq!(
        roster.process_counts(at(12_200)),
        ProcessCounts {
            total: 3,
            silent: 0
        }
    );
}

/// Guards against a process that takes the whole rate because it alone is cut off.
#[test]
fn minority_gives_up_nobody() {
    let mut roster = roster_with(4);
    roster.hear(addr(1), 1, at(60_000));
    assert!(roster.expire(at(60_100)).is_empty());
    assert_eq!(
        roster.process_counts(at(60_100)),
        ProcessCounts {
            total: 5,
            silent: 3
        }
    );
}

/// Guards against counting a restarted process twice.
#[test]
fn restarted_process_replaces_its_former_incarnation() {
    let mut roster = roster_with(2);
    let heard = roster.hear(addr(1), 99, at(100));
    assert!(heard.is_new);
    assert_eq!(heard.replaced, Some(1));
    assert_eq!(roster.process_counts(at(100)).total, 3);
}

/// Guards against processes that never meet because the seeds are stale.
#[test]
fn mentioned_process_is_asked() {
    let mut roster = roster_with(1);
    roster.mention(&[addr(0), addr(1), addr(7)], at(0));
    let addrs = roster.addrs();
    assert!(addrs.contains(&addr(7)));
    assert!(
        !addrs.contains(&addr(0)),
        "a process does not report to itself"
    );
}

/// Guards against waiting for a process that said that it leaves.
#[test]
fn process_that_leaves_is_gone_at_once() {
    let mut roster = roster_with(2);
    assert_eq!(roster.leave(addr(1)), Some(1));
    assert_eq!(roster.process_counts(at(0)).total, 2);
}

/// Guards against a large fleet in which processes count as silent between two reports.
#[test]
fn process_of_a_large_fleet_is_not_silent_between_reports() {
    let mut roster = Membership::new(LIMITS, addr(0), &[]);
    for number in 1..=66 {
        roster.hear(addr(number), u64::from(number), at(0));
    }
    let interval = roster.report_interval();
    assert_eq!(interval, at(750));
    assert_eq!(roster.process_counts(interval * 2).silent, 0);
    assert_eq!(roster.process_counts(interval * 5).silent, 66);
}

/// Guards against processes that each take a large part of the rates before they have met.
#[test]
fn started_process_expects_others_for_a_while() {
    let limits = MembershipLimits {
        discovery_time: at(600),
        ..LIMITS
    };
    let mut roster = Membership::new(limits, addr(0), &[]);
    roster.hear(addr(1), 1, at(100));
    assert_eq!(
        roster.process_counts(at(200)),
        ProcessCounts {
            total: 16,
            silent: 14
        }
    );
    assert_eq!(
        roster.process_counts(at(600)),
        ProcessCounts {
            total: 2,
            silent: 0
        }
    );
}

/// Guards against refusing a team within its rate at a process that joins a running fleet.
#[test]
fn welcomed_process_knows_how_many_there_are() {
    let limits = MembershipLimits {
        discovery_time: at(600),
        ..LIMITS
    };
    let mut roster = Membership::new(limits, addr(0), &[]);
    roster.hear(addr(1), 1, at(100));
    assert!(roster.welcome(3, at(100)));
    assert!(!roster.welcome(9, at(150)), "the first welcome counts");
    assert_eq!(
        roster.process_counts(at(200)),
        ProcessCounts {
            total: 3,
            silent: 1
        }
    );
}
