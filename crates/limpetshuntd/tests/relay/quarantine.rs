//! Guards against a request that crashes one target after another, and against the quarantine of
//! requests that were only in flight at the time.

use std::time::Duration;

use futures::future::join_all;
use limpet_decide::quarantine::Restriction;
use limpet_fakes::target::TargetSpec;
use limpet_types::RefusalCode;

use crate::harness::{
    Harness,
    STUCK_TIMEOUT,
    format_request_id, //
};

#[tokio::test]
async fn a_poison_request_crashes_at_most_two_targets_of_a_relay() {
    let specs = (0..5).map(|i| TargetSpec::new(&format!("t{i}")).with_poison("poison"));
    let harness = Harness::start(specs.collect(), 1).await;
    for target_index in 0..5 {
        harness.run_until_success(target_index).await;
    }
    let first_request = harness.request(0, "poison");
    let fingerprint = first_request.fingerprint;
    harness.send(first_request).await;
    let board = &harness.context.board;
    let restriction = board.strikes().restriction(fingerprint, board.now());
    // The entry may retry as soon as it has the reply.
    assert_eq!(
        restriction,
        Restriction::Isolated,
        "the request had no strike when the reply arrived"
    );
    let mut last_refusal = None;
    for round in 0..10 {
        let reply = harness.send(harness.request(round % 5, "poison")).await;
        last_refusal = reply.outcome.err();
    }
    let crash_count: u32 = harness
        .targets
        .iter()
        .map(|target| target.stats().crashes)
        .sum();
    assert_eq!(
        crash_count, 2,
        "the bound is one crash beside other requests and one in isolation"
    );
    let last_refusal = last_refusal.expect("the poison request succeeded");
    assert_eq!(last_refusal.code, RefusalCode::RequestQuarantined);
    assert!(last_refusal.not_run);
    harness.stop().await;
}

#[tokio::test]
async fn a_request_that_was_only_in_flight_at_a_crash_runs_again() {
    let specs = (0..2).map(|i| {
        TargetSpec::new(&format!("t{i}"))
            .with_poison("poison")
            .with_service_time_us(20_000)
    });
    let harness = Harness::start(specs.collect(), 2).await;
    for target_index in 0..2 {
        harness.run_until_success(target_index).await;
    }
    let target = &harness.targets[0];
    let bystander = harness.request(0, "innocent");
    let id = format_request_id(&bystander);
    let poison = async {
        target
            .wait_until(|target| {
                target
                    .received_requests()
                    .iter()
                    .any(|received| *received.request == *id)
            })
            .await;
        harness.send(harness.request(0, "poison")).await
    };
    let (bystander_reply, _) = tokio::join!(harness.send(bystander), poison);
    assert!(
        bystander_reply.outcome.is_err(),
        "it succeeded on the crashed target"
    );
    assert_eq!(target.stats().crashes, 1);
    let retry_reply = harness.send(harness.request(1, "innocent")).await;
    assert!(retry_reply.outcome.is_ok(), "{:?}", retry_reply.outcome);
    harness.stop().await;
}

#[tokio::test]
async fn a_request_with_a_strike_runs_in_isolation() {
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
    tokio::time::timeout(STUCK_TIMEOUT, ramp).await.unwrap();
    let mut requests: Vec<_> = (0..12).map(|_| harness.request(0, "other")).collect();
    requests[4] = harness.request(0, "struck");
    let (id, fingerprint) = (format_request_id(&requests[4]), requests[4].fingerprint);
    let board = &harness.context.board;
    let fingerprints_in_flight = [fingerprint, 1];
    board
        .strikes()
        .record_crash(1, &fingerprints_in_flight, board.now());
    let received_count_before = target.received_requests().len();
    let sending = requests.into_iter().map(|request| harness.send(request));
    let replies = join_all(sending).await;
    assert!(replies.iter().all(|reply| reply.outcome.is_ok()));
    let received_requests = target.received_requests().split_off(received_count_before);
    let request_with_strike = received_requests
        .iter()
        .find(|received| *received.request == *id)
        .unwrap();
    assert_eq!(
        request_with_strike.running, 1,
        "another request ran when it started"
    );
    let (start_us, end_us) = (
        request_with_strike.start_us,
        request_with_strike.end_us.unwrap(),
    );
    let starts_during = |received: &&limpet_fakes::target::ReceivedRequest| {
        start_us < received.start_us && received.start_us < end_us
    };
    assert_eq!(
        received_requests.iter().filter(starts_during).count(),
        0,
        "another request started while it ran"
    );
    let restriction = board
        .strikes()
        .restriction(fingerprint, board.now() + Duration::from_millis(1));
    assert_eq!(
        restriction,
        Restriction::None,
        "its success in isolation did not remove the strike"
    );
    harness.stop().await;
}
