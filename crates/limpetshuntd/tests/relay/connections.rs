//! Guards against silent connections kept in use, crossed or cut responses, and repeated orders.

use std::time::Duration;

use limpet_fakes::target::{
    FakeTarget,
    Fault,
    TargetSpec, //
};
use limpet_peer::PeerClient;
use limpet_types::{
    RefusalCode,
    message::{
        AttemptKind,
        PeerRequest, //
    },
};
use limpetshuntd::peer_requests;
use tokio::net::TcpListener;

use crate::harness::{
    Harness,
    STUCK,
    id_text, //
};

async fn warm() -> Harness {
    let harness = Harness::start(vec![TargetSpec::new("a")], 1).await;
    harness.recover(0).await;
    harness
}

fn is_sent(target: &FakeTarget, request: &str) -> bool {
    target.events().iter().any(|e| &*e.request == request)
}

#[tokio::test]
async fn a_silent_connection_is_replaced_and_its_order_is_not_sent_again() {
    let harness = warm().await;
    let target = &harness.targets[0];
    target.inject(Fault::Silence);
    let accepted = target.stats().accepted;
    let mut order = harness.request(0, "order");
    order.kind = AttemptKind::Order;
    order.time_left = Duration::from_millis(1_000);
    let id = id_text(&order);
    let board = &harness.context.board;
    let deadline = board.now() + order.time_left;
    let replaced = async {
        target.wait_until(|t| t.stats().accepted > accepted).await;
        board.now()
    };
    let (reply, replaced) =
        tokio::join!(harness.send(order), tokio::time::timeout(STUCK, replaced));
    let replaced = replaced.expect("the silent connection was not replaced");
    assert!(replaced < deadline, "replaced only after its attempt ended");
    let refusal = reply.outcome.unwrap_err();
    assert_eq!(refusal.code, RefusalCode::OutcomeUnknown);
    assert!(!refusal.not_run, "it was sent, so it may have run");
    assert_eq!(target.order_runs(&id), 0, "it was sent on a new connection");
    assert!(harness.recover(0).await.outcome.is_ok());
    harness.stop().await;
}

#[tokio::test]
async fn a_crossed_response_is_never_passed_on() {
    let harness = warm().await;
    harness.targets[0].inject(Fault::WrongEcho(1));
    let reply = harness.send(harness.request(0, "q")).await;
    let refusal = reply.outcome.unwrap_err();
    assert_eq!(refusal.code, RefusalCode::TargetFailed);
    assert!(!refusal.not_run);
    assert!(harness.recover(0).await.outcome.is_ok());
    harness.stop().await;
}

#[tokio::test]
async fn a_cut_response_is_never_passed_on_as_whole() {
    let harness = warm().await;
    harness.targets[0].inject(Fault::ShortBody(1));
    let reply = harness.send(harness.request(0, "q")).await;
    let refusal = reply.outcome.unwrap_err();
    assert_eq!(refusal.code, RefusalCode::TargetFailed);
    assert!(!refusal.not_run);
    harness.stop().await;
}

#[tokio::test]
async fn an_order_is_refused_as_not_run_only_if_it_did_not_run() {
    let harness = warm().await;
    let target = &harness.targets[0];
    let faults = [
        Fault::Shed(1),
        Fault::ShortBody(1),
        Fault::Crash,
        Fault::WrongEcho(1),
        Fault::Drain,
        Fault::Undrain,
        Fault::Silence,
    ];
    let mut unknown = 0;
    let mut not_run = 0;
    for round in 0..4 {
        for fault in faults {
            target.inject(fault);
            for _ in 0..2 {
                let mut order = harness.request(0, &format!("order {round}"));
                order.kind = AttemptKind::Order;
                order.time_left = Duration::from_millis(150);
                let id = id_text(&order);
                let reply = harness.send(order).await;
                let runs = target.order_runs(&id);
                match reply.outcome {
                    Ok(_) => assert_eq!(runs, 1),
                    Err(refusal) if refusal.not_run => {
                        not_run += 1;
                        assert_eq!(runs, 0, "{refusal} after {fault:?}");
                    }
                    Err(refusal) => {
                        unknown += 1;
                        assert_eq!(refusal.code, RefusalCode::OutcomeUnknown);
                        assert!(runs <= 1, "sent twice after {fault:?}");
                    }
                }
            }
        }
    }
    assert!(unknown > 0 && not_run > 0, "{unknown} {not_run}");
    harness.stop().await;
}

#[tokio::test]
async fn a_cancelled_attempt_closes_its_connection() {
    let spec = TargetSpec::new("a").with_service_time_us(1_000_000);
    let harness = Harness::start(vec![spec], 1).await;
    let target = &harness.targets[0];
    let request = harness.request(0, "q");
    let id = id_text(&request);
    tokio::select! {
        _ = harness.send(request) => panic!("the target takes a second"),
        () = target.wait_until(|t| is_sent(t, &id)) => {}
    }
    let before = target.stats().connections;
    let closed = target.wait_until(|t| t.stats().connections < before || t.stats().accepted > 2);
    tokio::time::timeout(STUCK, closed)
        .await
        .expect("the connection stayed open");
    let event = target.events().remove(0);
    assert_eq!(event.end_us, None, "the target was left to finish");
    harness.stop().await;
}

#[tokio::test]
async fn a_reset_stream_cancels_the_attempt_at_the_target() {
    let spec = TargetSpec::new("a").with_service_time_us(1_000_000);
    let harness = Harness::start(vec![spec], 1).await;
    let target = &harness.targets[0];
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let serving = harness.context.clone();
    let server = limpet_peer::serve(listener, move |request| {
        peer_requests::dispatch(serving.clone(), request)
    });
    let entry = PeerClient::new();
    let request = harness.request(0, "q");
    let id = id_text(&request);
    let request = PeerRequest::Attempt(request);
    let addr = server.local_addr().unwrap();
    tokio::select! {
        _ = entry.call(addr, &request, STUCK) => panic!("the target takes a second"),
        () = target.wait_until(|t| is_sent(t, &id)) => {}
    }
    let before = target.stats().connections;
    let closed = target.wait_until(|t| t.stats().connections < before || t.stats().accepted > 2);
    tokio::time::timeout(STUCK, closed)
        .await
        .expect("the connection stayed open");
    assert_eq!(
        target.events()[0].end_us,
        None,
        "the target was left to finish"
    );
    entry.close().await;
    server.stop().await;
    harness.stop().await;
}
