//! Guards against attempts that are sent although ownership, configuration or phase forbid it, and
//! against attempts that a drain cuts off.

use std::{
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::Duration,
};

use futures::future::join_all;
use limpet_config::{
    TargetState,
    ZoneState, //
};
use limpet_fakes::target::TargetSpec;
use limpet_types::{
    Phase,
    RefusalCode, //
};
use limpetshuntd::{
    blackboard::OwnershipDeadlines,
    relay, //
};

use crate::harness::{
    Harness,
    STUCK_TIMEOUT, //
};

/// A condition for sending attempts that no longer holds.
enum LostPermission {
    Ownership,
    OwnershipEndsSoon,
    ZoneDisabled,
    TargetLeaving,
    ConfigFreshness,
    Draining,
}

/// Checks that no attempt reaches the target once the condition no longer holds, and that each attempt is
/// refused as not run.
fn assert_attempts_refused_after((lost_permission, code): (LostPermission, RefusalCode)) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let harness = Harness::start(vec![TargetSpec::new("a")], 1).await;
        harness.run_until_success(0).await;
        let target = &harness.targets[0];
        let received_count_before = target.received_requests().len();
        let board = &harness.context.board;
        match lost_permission {
            LostPermission::Ownership => board
                .ownership_deadlines
                .store(Arc::new(OwnershipDeadlines::default())),
            LostPermission::OwnershipEndsSoon => harness.own_all_targets(Duration::from_secs(1)),
            LostPermission::ZoneDisabled => {
                harness.install_config(ZoneState::Disabled, TargetState::Live)
            }
            LostPermission::TargetLeaving => {
                harness.install_config(ZoneState::Enabled, TargetState::Leaving)
            }
            LostPermission::ConfigFreshness => {
                board.config_fresh_until_us.store(1, Ordering::Release)
            }
            LostPermission::Draining => {
                board.phase.send_replace(Phase::Draining);
            }
        }
        for _ in 0..5 {
            let reply = harness.send(harness.request(0, "q")).await;
            let refusal = reply.outcome.unwrap_err();
            assert_eq!(refusal.code, code);
            assert!(refusal.not_run);
        }
        assert_eq!(
            target.received_requests().len(),
            received_count_before,
            "the target received a new attempt"
        );
        harness.stop().await;
    });
}

limpet_testkit::cases! {
    assert_attempts_refused_after:
    lost_ownership => (LostPermission::Ownership, RefusalCode::NotOwner),
    ownership_that_ends_before_the_deadline => (LostPermission::OwnershipEndsSoon, RefusalCode::NotOwner),
    zone_out => (LostPermission::ZoneDisabled, RefusalCode::ZoneOut),
    leaving_target => (LostPermission::TargetLeaving, RefusalCode::TargetLeaving),
    stale_configuration => (LostPermission::ConfigFreshness, RefusalCode::ConfigStale),
    draining_relay => (LostPermission::Draining, RefusalCode::Draining),
}

#[tokio::test]
async fn queued_attempts_are_not_sent_after_ownership_is_lost() {
    let spec = TargetSpec::new("a").with_service_time_us(50_000);
    let harness = Harness::start(vec![spec], 1).await;
    let target = &harness.targets[0];
    harness.run_until_success(0).await;
    let received_count_before = target.received_requests().len();
    let requests: Vec<_> = (0..2).map(|_| harness.request(0, "q")).collect();
    let sending = join_all(requests.into_iter().map(|request| harness.send(request)));
    let lose_ownership = async {
        target
            .wait_until(|target| target.received_requests().len() > received_count_before)
            .await;
        let no_ownership = Arc::new(OwnershipDeadlines::default());
        harness
            .context
            .board
            .ownership_deadlines
            .store(no_ownership);
        target
            .wait_until(|target| target.stats().connections == 0)
            .await;
        target.received_requests().len()
    };
    let (replies, received_count_at_loss) =
        tokio::join!(sending, tokio::time::timeout(STUCK_TIMEOUT, lose_ownership));
    let received_count_at_loss =
        received_count_at_loss.expect("connections stayed open after ownership was lost");
    assert!(replies.iter().all(|reply| reply.outcome.is_err()));
    assert_eq!(target.received_requests().len(), received_count_at_loss);
    let sent_count = target.received_requests().len() - received_count_before;
    let unsent_replies = replies
        .iter()
        .filter(|reply| matches!(&reply.outcome, Err(refusal) if refusal.not_run));
    assert_eq!(
        unsent_replies.count() + sent_count,
        2,
        "a refusal contradicts what the target received"
    );
    harness.stop().await;
}

#[tokio::test]
async fn a_drain_finishes_accepted_attempts_and_refuses_new_ones() {
    let spec = TargetSpec::new("a").with_service_time_us(20_000);
    let harness = Harness::start(vec![spec], 1).await;
    let target = &harness.targets[0];
    harness.run_until_success(0).await;
    let received_count_before = target.received_requests().len();
    let requests: Vec<_> = (0..2).map(|_| harness.request(0, "q")).collect();
    let sending = join_all(requests.into_iter().map(|request| harness.send(request)));
    let drain = async {
        target
            .wait_until(|target| target.received_requests().len() > received_count_before)
            .await;
        harness.context.board.phase.send_replace(Phase::Draining);
        let reply_during_drain = harness.send(harness.request(0, "late")).await;
        relay::drain(&harness.context).await;
        reply_during_drain
    };
    let (replies, reply_during_drain) = tokio::join!(sending, drain);
    assert!(replies.iter().all(|reply| reply.outcome.is_ok()));
    let refusal = reply_during_drain.outcome.unwrap_err();
    assert_eq!(refusal.code, RefusalCode::Draining);
    assert!(refusal.not_run);
    harness.stop().await;
}

#[tokio::test]
async fn a_drain_waits_for_cancelled_attempts_that_the_target_may_still_run() {
    let mut spec = TargetSpec::new("a").with_service_time_us(5_000_000);
    spec.cancel_lag_ms = 100;
    let harness = Harness::start(vec![spec], 1).await;
    let target = &harness.targets[0];
    let mut request = harness.request(0, "q");
    request.time_left = Duration::from_millis(200);
    let board = &harness.context.board;
    let deadline = board.now() + request.time_left;
    tokio::select! {
        _ = harness.send(request) => panic!("the attempt ended before its cancellation"),
        () = target.wait_until(|target| !target.received_requests().is_empty()) => {}
    }
    board.phase.send_replace(Phase::Draining);
    relay::drain(&harness.context).await;
    assert!(
        board.now() >= deadline,
        "the drain ended while the target could still run the attempt"
    );
    harness.stop().await;
}
