//! Membership: discovery of other processes, and detection of silent and gone ones.

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
    report_to_seeds_below: 3,
};

const fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn addr(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

/// Returns a membership that has a report from each of `peer_count` other processes.
fn membership_with(peer_count: u8) -> Membership {
    let mut membership = Membership::new(LIMITS, addr(0), &[addr(0), addr(1), addr(2)]);
    for number in 1..=peer_count {
        membership.record_report(addr(number), u64::from(number), at(0));
    }
    membership
}

/// Guards against a process that uses the whole rate because it knows no other process yet.
#[test]
fn seeds_count_as_silent_until_a_process_reports() {
    let membership = membership_with(0);
    assert_eq!(
        membership.process_counts(at(0)),
        ProcessCounts {
            total: 3,
            silent: 2
        }
    );
}

/// Guards against using the share of a process that may still run beyond a network partition.
#[test]
fn silent_process_keeps_its_share() {
    let mut membership = membership_with(3);
    membership.record_report(addr(1), 1, at(1000));
    membership.record_report(addr(2), 2, at(1000));
    assert!(membership.remove_gone_processes(at(1200)).is_empty());
    assert_eq!(
        membership.process_counts(at(1200)),
        ProcessCounts {
            total: 4,
            silent: 1
        }
    );
}

/// Guards against a share of the rates that stays unused after its process is gone.
#[test]
fn majority_removes_gone_process() {
    let mut membership = membership_with(3);
    for number in 1..=2 {
        membership.record_report(addr(number), u64::from(number), at(12_100));
    }
    assert_eq!(membership.remove_gone_processes(at(12_200)), [3]);
    assert_eq!(
        membership.process_counts(at(12_200)),
        ProcessCounts {
            total: 3,
            silent: 0
        }
    );
}

/// Guards against a process in the minority of a network partition that uses the whole rate.
#[test]
fn minority_removes_no_process() {
    let mut membership = membership_with(4);
    membership.record_report(addr(1), 1, at(60_000));
    assert!(membership.remove_gone_processes(at(60_100)).is_empty());
    assert_eq!(
        membership.process_counts(at(60_100)),
        ProcessCounts {
            total: 5,
            silent: 3
        }
    );
}

/// Guards against counting a restarted process twice.
#[test]
fn restarted_process_replaces_its_predecessor() {
    let mut membership = membership_with(2);
    let effect = membership.record_report(addr(1), 99, at(100));
    assert!(effect.is_new);
    assert_eq!(effect.replaced, Some(1));
    assert_eq!(membership.process_counts(at(100)).total, 3);
}

/// Guards against processes that never discover each other because their seeds are stale.
#[test]
fn reported_address_gets_reports() {
    let mut membership = membership_with(1);
    membership.add_candidates(&[addr(0), addr(1), addr(7)], at(0));
    let addrs = membership.report_addrs();
    assert!(addrs.contains(&addr(7)));
    assert!(
        !addrs.contains(&addr(0)),
        "a process does not report to itself"
    );
}

/// Guards against keeping the share of a process that has announced its stop.
#[test]
fn leaving_process_is_removed_at_once() {
    let mut membership = membership_with(2);
    assert_eq!(membership.remove_process(addr(1)), Some(1));
    assert_eq!(membership.process_counts(at(0)).total, 2);
}

/// Guards against counting processes as silent between two reports where many processes take turns.
#[test]
fn process_is_not_silent_between_rare_reports() {
    let mut membership = Membership::new(LIMITS, addr(0), &[]);
    for number in 1..=66 {
        membership.record_report(addr(number), u64::from(number), at(0));
    }
    let report_interval = membership.report_interval();
    assert_eq!(report_interval, at(750));
    assert_eq!(membership.process_counts(report_interval * 2).silent, 0);
    assert_eq!(membership.process_counts(report_interval * 5).silent, 66);
}

/// Guards against started processes that each use a large share of the rates before they have discovered
/// the others.
#[test]
fn started_process_assumes_others_until_discovery_is_over() {
    let limits = MembershipLimits {
        discovery_time: at(600),
        ..LIMITS
    };
    let mut membership = Membership::new(limits, addr(0), &[]);
    membership.record_report(addr(1), 1, at(100));
    assert_eq!(
        membership.process_counts(at(200)),
        ProcessCounts {
            total: 16,
            silent: 14
        }
    );
    assert_eq!(
        membership.process_counts(at(600)),
        ProcessCounts {
            total: 2,
            silent: 0
        }
    );
}

/// Guards against refusing a team within its rate at a process that joins others.
#[test]
fn welcomed_process_knows_the_number_of_processes() {
    let limits = MembershipLimits {
        discovery_time: at(600),
        ..LIMITS
    };
    let mut membership = Membership::new(limits, addr(0), &[]);
    membership.record_report(addr(1), 1, at(100));
    assert!(membership.accept_welcome(3, at(100)));
    assert!(
        !membership.accept_welcome(9, at(150)),
        "the first welcome counts"
    );
    assert_eq!(
        membership.process_counts(at(200)),
        ProcessCounts {
            total: 3,
            silent: 1
        }
    );
}
