//! Guards against a request that costs target after target, and against innocent ones locked out.

use std::time::Duration;

use futures::future::join_all;
use limpet_decide::quarantine::Restriction;
use limpet_fakes::target::TargetSpec;
use limpet_types::RefusalCode;

use crate::harness::{
    Harness,
    STUCK,
    id_text, //
};

#[tokio::test]
async fn a_poison_request_costs_at_most_two_targets_of_a_relay() {
    let specs = (0..5).map(|i| TargetSpec::new(&format!("t{i}")).with_poison("poison"));
    let harness = Harness::start(specs.collect(), 1).await;
    for target in 0..5 {
        harness.recover(target).await;
    }
    let first = harness.request(0, "poison");
    let fingerprint = first.fingerprint;
    harness.send(first).await;
    let board = &harness.context.board;
    let restriction = board.strikes().restriction(fingerprint, board.now());
    // The entry resends as soon as it has the reply.
    assert_eq!(
        restriction,
        Restriction::Isolated,
        "no strike before the reply"
    );
    let mut last = None;
    for round in 0..10 {
        let reply = harness.send(harness.request(round % 5, "poison")).await;
        last = reply.outcome.err();
    }
    let crashes: u32 = harness.targets.iter().map(|t| t.stats().crashes).sum();
    assert_eq!(crashes, 2, "bound of one shared and one solo crash");
    let last = last.expect("poison has no response");
    assert_eq!(last.code, RefusalCode::RequestQuarantined);
    assert!(last.not_run);
    harness.stop().await;
}

#[tokio::test]
async fn an_innocent_request_in_flight_at_a_crash_runs_again() {
    let specs = (0..2).map(|i| {
        TargetSpec::new(&format!("t{i}"))
            .with_poison("poison")
            .with_service_time_us(20_000)
    });
    let harness = Harness::start(specs.collect(), 2).await;
    for target in 0..2 {
        harness.recover(target).await;
    }
    let target = &harness.targets[0];
    let innocent = harness.request(0, "innocent");
    let id = id_text(&innocent);
    let poison = async {
        target
            .wait_until(|t| t.events().iter().any(|e| *e.request == *id))
            .await;
        harness.send(harness.request(0, "poison")).await
    };
    let (innocent, _) = tokio::join!(harness.send(innocent), poison);
    assert!(innocent.outcome.is_err(), "it ran on the crashed target");
    assert_eq!(target.stats().crashes, 1);
    let again = harness.send(harness.request(1, "innocent")).await;
    assert!(again.outcome.is_ok(), "{:?}", again.outcome);
    harness.stop().await;
}

#[tokio::test]
async fn a_request_with_a_strike_runs_alone_on_its_target() {
    let spec = TargetSpec::new("a")
        .with_slots(4)
        .with_service_time_us(5_000);
    let harness = Harness::start(vec![spec], 1).await;
    let target = &harness.targets[0];
    let ramp = async {
        while target.stats().peak_running < 4 {
            let requests = (0..8).map(|_| harness.request(0, "other"));
            join_all(requests.map(|request| harness.send(request))).await;
        }
    };
    tokio::time::timeout(STUCK, ramp).await.unwrap();
    let mut requests: Vec<_> = (0..12).map(|_| harness.request(0, "other")).collect();
    requests[4] = harness.request(0, "struck");
    let (id, fingerprint) = (id_text(&requests[4]), requests[4].fingerprint);
    let board = &harness.context.board;
    let in_flight = [fingerprint, 1];
    board.strikes().record_crash(1, &in_flight, board.now());
    let seen = target.events().len();
    let sending = requests.into_iter().map(|request| harness.send(request));
    let replies = join_all(sending).await;
    assert!(replies.iter().all(|reply| reply.outcome.is_ok()));
    let events = target.events().split_off(seen);
    let struck = events.iter().find(|e| *e.request == *id).unwrap();
    assert_eq!(struck.running, 1, "something else ran when it started");
    let (start_us, end_us) = (struck.start_us, struck.end_us.unwrap());
    let during =
        |e: &&limpet_fakes::target::RequestEvent| start_us < e.start_us && e.start_us < end_us;
    assert_eq!(events.iter().filter(during).count(), 0, "others joined it");
    let restriction = board
        .strikes()
        .restriction(fingerprint, board.now() + Duration::from_millis(1));
    assert_eq!(
        restriction,
        Restriction::None,
        "its solo success did not clear it"
    );
    harness.stop().await;
}
