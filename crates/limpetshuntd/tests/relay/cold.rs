//! Guards against more load on a cold target than it bears.

use std::time::Duration;

use futures::future::join_all;
use limpet_fakes::target::{
    FakeTarget,
    Fault,
    TargetSpec, //
};

use crate::harness::{
    Harness,
    STUCK,
    id_text, //
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
    assert_eq!(stats.crashes, 0, "the target fell over");
    harness.stop().await;
}

#[tokio::test]
async fn a_target_that_turns_cold_gets_nothing_beyond_what_was_in_flight() {
    let mut spec = TargetSpec::new("a")
        .with_slots(8)
        .with_service_time_us(3_000);
    spec.cold_requests_max = 8;
    let harness = Harness::start(vec![spec], 1).await;
    let target = &harness.targets[0];
    harness.recover(0).await;
    let load = async {
        // Long enough for the ramp to reach every slot, which takes three windows.
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
    tokio::time::timeout(STUCK, load).await.unwrap();
    let events = target.events();
    let cold: Vec<_> = events.iter().filter(|e| e.cold && e.has_run()).collect();
    let first_end = cold.iter().filter_map(|e| e.end_us).min().unwrap();
    // Attempts that were on their way when the first cold response left are allowed for by 2 ms.
    let later = cold.iter().filter(|e| e.start_us > first_end + 2_000);
    let peak_later = later.map(|e| e.running).max().unwrap();
    let peak_cold = cold.iter().map(|e| e.running).max().unwrap();
    assert!(peak_cold <= 8, "more than the slots: {peak_cold}");
    assert_eq!(peak_later, 1, "the limit was exceeded after the evidence");
    harness.stop().await;
}

#[tokio::test]
async fn a_cancelled_attempt_keeps_its_place_on_a_cold_target() {
    let mut spec = TargetSpec::new("a").with_slots(4).with_cold_start(1, 1_000);
    spec.cancel_lag_ms = 40;
    let harness = Harness::start(vec![spec], 1).await;
    let target = &harness.targets[0];
    let mut cancelled = 0;
    for _ in 0..20 {
        let mut request = harness.request(0, "q");
        request.time_left = Duration::from_millis(60);
        let id = id_text(&request);
        let is_seen = |t: &FakeTarget| t.events().iter().any(|e| *e.request == *id);
        tokio::select! {
            biased;
            () = target.wait_until(is_seen) => cancelled += 1,
            _ = harness.send(request) => {}
        }
        let mut next = harness.request(0, "q");
        next.time_left = Duration::from_millis(300);
        harness.send(next).await;
    }
    assert!(cancelled > 0, "nothing was cancelled at the target");
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
    let is_shed = |reply: &limpet_types::message::AttemptReply| matches!(&reply.outcome, Err(r) if r.code == limpet_types::RefusalCode::TargetShed);
    for _ in 0..20 {
        let requests = (0..12).map(|_| harness.request(0, "q"));
        let replies = join_all(requests.map(|request| harness.send(request))).await;
        assert!(!replies.iter().any(is_shed), "the target had to shed");
    }
    assert_eq!(target.stats().peak_running, 3);
    // A third of 25 connections.
    assert!(target.stats().peak_connections <= 8);
    harness.stop().await;
}
