//! Guards against work sent without the right to send it, and against work cut by a drain.

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
    STUCK, //
};

enum Lost {
    Ownership,
    Ending,
    Zone,
    Leaving,
    Freshness,
    Phase,
}

fn refuses((lost, code): (Lost, RefusalCode)) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let harness = Harness::start(vec![TargetSpec::new("a")], 1).await;
        harness.recover(0).await;
        let target = &harness.targets[0];
        let seen = target.events().len();
        let board = &harness.context.board;
        match lost {
            Lost::Ownership => board
                .ownership_deadlines
                .store(Arc::new(OwnershipDeadlines::default())),
            Lost::Ending => harness.own_all(Duration::from_secs(1)),
            Lost::Zone => harness.configure(ZoneState::Disabled, TargetState::Live),
            Lost::Leaving => harness.configure(ZoneState::Enabled, TargetState::Leaving),
            Lost::Freshness => board.config_fresh_until_us.store(1, Ordering::Release),
            Lost::Phase => {
                board.phase.send_replace(Phase::Draining);
            }
        }
        for _ in 0..5 {
            let reply = harness.send(harness.request(0, "q")).await;
            let refusal = reply.outcome.unwrap_err();
            assert_eq!(refusal.code, code);
            assert!(refusal.not_run);
        }
        assert_eq!(target.events().len(), seen, "the target got new work");
        harness.stop().await;
    });
}

limpet_testkit::cases! {
    refuses:
    lost_ownership => (Lost::Ownership, RefusalCode::NotOwner),
    ownership_that_ends_before_the_deadline => (Lost::Ending, RefusalCode::NotOwner),
    zone_out => (Lost::Zone, RefusalCode::ZoneOut),
    leaving_target => (Lost::Leaving, RefusalCode::TargetLeaving),
    stale_configuration => (Lost::Freshness, RefusalCode::ConfigStale),
    draining_relay => (Lost::Phase, RefusalCode::Draining),
}

#[tokio::test]
async fn queued_attempts_are_not_sent_after_ownership_is_lost() {
    let spec = TargetSpec::new("a").with_service_time_us(50_000);
    let harness = Harness::start(vec![spec], 1).await;
    let target = &harness.targets[0];
    harness.recover(0).await;
    let seen = target.events().len();
    let requests: Vec<_> = (0..2).map(|_| harness.request(0, "q")).collect();
    let sending = join_all(requests.into_iter().map(|request| harness.send(request)));
    let losing = async {
        target.wait_until(|t| t.events().len() > seen).await;
        let owned = Arc::new(OwnershipDeadlines::default());
        harness.context.board.ownership_deadlines.store(owned);
        target.wait_until(|t| t.stats().connections == 0).await;
        target.events().len()
    };
    let (replies, at_loss) = tokio::join!(sending, tokio::time::timeout(STUCK, losing));
    let at_loss = at_loss.expect("connections stayed open after the loss");
    assert!(replies.iter().all(|reply| reply.outcome.is_err()));
    assert_eq!(target.events().len(), at_loss);
    let sent = target.events().len() - seen;
    let unsent = replies
        .iter()
        .filter(|reply| matches!(&reply.outcome, Err(refusal) if refusal.not_run));
    assert_eq!(
        unsent.count() + sent,
        2,
        "a refusal does not match the target"
    );
    harness.stop().await;
}

#[tokio::test]
async fn a_drain_cuts_nothing_and_refuses_new_work() {
    let spec = TargetSpec::new("a").with_service_time_us(20_000);
    let harness = Harness::start(vec![spec], 1).await;
    let target = &harness.targets[0];
    harness.recover(0).await;
    let seen = target.events().len();
    let requests: Vec<_> = (0..2).map(|_| harness.request(0, "q")).collect();
    let sending = join_all(requests.into_iter().map(|request| harness.send(request)));
    let draining = async {
        target.wait_until(|t| t.events().len() > seen).await;
        harness.context.board.phase.send_replace(Phase::Draining);
        let late = harness.send(harness.request(0, "late")).await;
        relay::drain(&harness.context).await;
        late
    };
    let (replies, late) = tokio::join!(sending, draining);
    assert!(replies.iter().all(|reply| reply.outcome.is_ok()));
    let refusal = late.outcome.unwrap_err();
    assert_eq!(refusal.code, RefusalCode::Draining);
    assert!(refusal.not_run);
    harness.stop().await;
}

#[tokio::test]
async fn a_drain_waits_for_what_the_target_may_still_run() {
    let mut spec = TargetSpec::new("a").with_service_time_us(5_000_000);
    spec.cancel_lag_ms = 100;
    let harness = Harness::start(vec![spec], 1).await;
    let target = &harness.targets[0];
    let mut request = harness.request(0, "q");
    request.time_left = Duration::from_millis(200);
    let board = &harness.context.board;
    let deadline = board.now() + request.time_left;
    tokio::select! {
        _ = harness.send(request) => panic!("the target takes seconds"),
        () = target.wait_until(|t| !t.events().is_empty()) => {}
    }
    board.phase.send_replace(Phase::Draining);
    relay::drain(&harness.context).await;
    assert!(
        board.now() >= deadline,
        "ownership would be released too early"
    );
    harness.stop().await;
}
