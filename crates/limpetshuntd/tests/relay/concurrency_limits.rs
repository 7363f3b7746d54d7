//! Guards against more attempts at a time on a cold target than its cold limit, and on a warm one than
//! its slots.

use std::time::Duration;

use futures::future::join_all;
use limpet_fakes::target::{
    FakeTarget,
    Fault,
    TargetSpec, //
};

use crate::harness::{
    Harness,
    STUCK_TIMEOUT,
    format_request_id, //
};

#[tokio::test]
async fn a_cold_target_never_gets_more_than_its_limit() {
    let spec = TargetSpec::new("a").with_slots(8).with_cold_start(2, 20);
    let harness = Harness::start(vec![spec], 2).await;
    for _ in 0..20 {
        let requests = (0..30).map(|_| harness.request(0, "q"));
        join_all(requests.map(|request| harness.send(request))).await;
    }
    let stats = harness.targets[0].stats();
    assert_eq!(stats.peak_cold_running, 2, "{stats:?}");
    assert_eq!(stats.crashes, 0, "the target crashed");
    harness.stop().await;
}

#[tokio::test]
async fn a_target_that_turns_cold_gets_only_its_cold_limit_after_those_in_flight() {
    let mut spec = TargetSpec::new("a")
        .with_slots(8)
        .with_service_time_us(3_000);
    spec.cold_requests_max = 8;
    let harness = Harness::start(vec![spec], 1).await;
    let target = &harness.targets[0];
    harness.run_until_success(0).await;
    let load = async {
        // The limit doubles once per ramp window, so it reaches the 8 slots after three windows.
        while target.stats().peak_running < 8 {
            let requests = (0..16).map(|_| harness.request(0, "q"));
            join_all(requests.map(|request| harness.send(request))).await;
        }
        target.inject(Fault::TurnCold);
        for _ in 0..10 {
            let requests = (0..16).map(|_| harness.request(0, "q"));
            join_all(requests.map(|request| harness.send(request))).await;
        }
    };
    tokio::time::timeout(STUCK_TIMEOUT, load).await.unwrap();
    let received_requests = target.received_requests();
    let cold_runs: Vec<_> = received_requests
        .iter()
        .filter(|received| received.cold && received.has_run())
        .collect();
    let first_end_us = cold_runs
        .iter()
        .filter_map(|received| received.end_us)
        .min()
        .unwrap();
    // Attempts that start within 2 ms of the first cold response may have been sent before that response
    // arrived.
    let runs_after_cold_response = cold_runs
        .iter()
        .filter(|received| received.start_us > first_end_us + 2_000);
    let peak_running_after_cold_response = runs_after_cold_response
        .map(|received| received.running)
        .max()
        .unwrap();
    let peak_cold_running = cold_runs
        .iter()
        .map(|received| received.running)
        .max()
        .unwrap();
    assert!(
        peak_cold_running <= 8,
        "more requests than slots: {peak_cold_running}"
    );
    assert_eq!(
        peak_running_after_cold_response, 1,
        "the cold limit was exceeded after the first cold response"
    );
    harness.stop().await;
}

#[tokio::test]
async fn a_cancelled_attempt_keeps_its_slot_on_a_cold_target() {
    let mut spec = TargetSpec::new("a").with_slots(4).with_cold_start(1, 1_000);
    spec.cancel_lag_ms = 40;
    let harness = Harness::start(vec![spec], 1).await;
    let target = &harness.targets[0];
    let mut cancelled_count = 0;
    for _ in 0..20 {
        let mut request = harness.request(0, "q");
        request.time_left = Duration::from_millis(60);
        let id = format_request_id(&request);
        let has_received = |target: &FakeTarget| {
            target
                .received_requests()
                .iter()
                .any(|received| *received.request == *id)
        };
        tokio::select! {
            biased;
            () = target.wait_until(has_received) => cancelled_count += 1,
            _ = harness.send(request) => {}
        }
        let mut next = harness.request(0, "q");
        next.time_left = Duration::from_millis(300);
        harness.send(next).await;
    }
    assert!(
        cancelled_count > 0,
        "no attempt was cancelled at the target"
    );
    let stats = target.stats();
    assert_eq!(
        (stats.crashes, stats.peak_cold_running),
        (0, 1),
        "{stats:?}"
    );
    harness.stop().await;
}

#[tokio::test]
async fn a_warm_target_never_gets_more_than_its_slots() {
    let spec = TargetSpec::new("a").with_slots(3);
    let harness = Harness::start(vec![spec], 1).await;
    let target = &harness.targets[0];
    while target.stats().peak_running < 3 {
        let requests = (0..12).map(|_| harness.request(0, "q"));
        let replies = join_all(requests.map(|request| harness.send(request))).await;
        assert!(replies.iter().any(|reply| reply.outcome.is_ok()));
    }
    let is_shed = |reply: &limpet_types::message::AttemptReply| {
        matches!(
            &reply.outcome,
            Err(refusal) if refusal.code == limpet_types::RefusalCode::TargetShed
        )
    };
    for _ in 0..20 {
        let requests = (0..12).map(|_| harness.request(0, "q"));
        let replies = join_all(requests.map(|request| harness.send(request))).await;
        assert!(!replies.iter().any(is_shed), "the target shed an attempt");
    }
    assert_eq!(target.stats().peak_running, 3);
    // One owner may open a third of the 25 connections that the target accepts.
    assert!(target.stats().peak_connections <= 8);
    harness.stop().await;
}
