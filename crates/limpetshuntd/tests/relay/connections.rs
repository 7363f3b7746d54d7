//! Guards against silent connections that stay in use, responses of other attempts, truncated
//! responses and repeated orders.

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
    STUCK_TIMEOUT,
    format_request_id, //
};

/// Starts a relay with one target that has answered an attempt.
async fn start_with_warm_target() -> Harness {
    let harness = Harness::start(vec![TargetSpec::new("a")], 1).await;
    harness.run_until_success(0).await;
    harness
}

/// Returns whether the target received an attempt with this request id.
fn has_received(target: &FakeTarget, request_id: &str) -> bool {
    target
        .received_requests()
        .iter()
        .any(|received| &*received.request == request_id)
}

#[tokio::test]
async fn a_silent_connection_is_replaced_and_its_order_is_not_sent_again() {
    let harness = start_with_warm_target().await;
    let target = &harness.targets[0];
    target.inject(Fault::Silence);
    let accepted_count_before = target.stats().accepted;
    let mut order = harness.request(0, "order");
    order.kind = AttemptKind::Order;
    order.time_left = Duration::from_millis(1_000);
    let id = format_request_id(&order);
    let board = &harness.context.board;
    let deadline = board.now() + order.time_left;
    let replacement = async {
        target
            .wait_until(|target| target.stats().accepted > accepted_count_before)
            .await;
        board.now()
    };
    let (reply, replaced_at) = tokio::join!(
        harness.send(order),
        tokio::time::timeout(STUCK_TIMEOUT, replacement)
    );
    let replaced_at = replaced_at.expect("the silent connection was not replaced");
    assert!(
        replaced_at < deadline,
        "it was replaced only after the deadline of its attempt"
    );
    let refusal = reply.outcome.unwrap_err();
    assert_eq!(refusal.code, RefusalCode::OutcomeUnknown);
    assert!(!refusal.not_run, "the order was sent, so it may have run");
    assert_eq!(
        target.count_order_runs(&id),
        0,
        "the order was sent again on a new connection"
    );
    assert!(harness.run_until_success(0).await.outcome.is_ok());
    harness.stop().await;
}

#[tokio::test]
async fn a_response_to_another_attempt_is_not_passed_on() {
    let harness = start_with_warm_target().await;
    harness.targets[0].inject(Fault::WrongEcho(1));
    let reply = harness.send(harness.request(0, "q")).await;
    let refusal = reply.outcome.unwrap_err();
    assert_eq!(refusal.code, RefusalCode::TargetFailed);
    assert!(!refusal.not_run);
    assert!(harness.run_until_success(0).await.outcome.is_ok());
    harness.stop().await;
}

#[tokio::test]
async fn a_truncated_response_is_not_passed_on() {
    let harness = start_with_warm_target().await;
    harness.targets[0].inject(Fault::ShortBody(1));
    let reply = harness.send(harness.request(0, "q")).await;
    let refusal = reply.outcome.unwrap_err();
    assert_eq!(refusal.code, RefusalCode::TargetFailed);
    assert!(!refusal.not_run);
    harness.stop().await;
}

#[tokio::test]
async fn an_order_is_reported_as_not_run_only_if_it_did_not_run() {
    let harness = start_with_warm_target().await;
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
    let mut unknown_count = 0;
    let mut not_run_count = 0;
    for round in 0..4 {
        for fault in faults {
            target.inject(fault);
            for _ in 0..2 {
                let mut order = harness.request(0, &format!("order {round}"));
                order.kind = AttemptKind::Order;
                order.time_left = Duration::from_millis(150);
                let id = format_request_id(&order);
                let reply = harness.send(order).await;
                let run_count = target.count_order_runs(&id);
                match reply.outcome {
                    Ok(_) => assert_eq!(run_count, 1),
                    Err(refusal) if refusal.not_run => {
                        not_run_count += 1;
                        assert_eq!(run_count, 0, "{refusal} after {fault:?}");
                    }
                    Err(refusal) => {
                        unknown_count += 1;
                        assert_eq!(refusal.code, RefusalCode::OutcomeUnknown);
                        assert!(run_count <= 1, "the order ran twice after {fault:?}");
                    }
                }
            }
        }
    }
    assert!(
        unknown_count > 0 && not_run_count > 0,
        "{unknown_count} unknown, {not_run_count} not run"
    );
    harness.stop().await;
}

#[tokio::test]
async fn a_cancelled_attempt_closes_its_connection() {
    let spec = TargetSpec::new("a").with_service_time_us(1_000_000);
    let harness = Harness::start(vec![spec], 1).await;
    let target = &harness.targets[0];
    let request = harness.request(0, "q");
    let id = format_request_id(&request);
    tokio::select! {
        _ = harness.send(request) => panic!("the attempt ended before its cancellation"),
        () = target.wait_until(|target| has_received(target, &id)) => {}
    }
    let connection_count_before = target.stats().connections;
    // A third accepted connection shows that one of the two for the slots was closed and replaced.
    let closed = target.wait_until(|target| {
        target.stats().connections < connection_count_before || target.stats().accepted > 2
    });
    tokio::time::timeout(STUCK_TIMEOUT, closed)
        .await
        .expect("the connection stayed open");
    let received = target.received_requests().remove(0);
    assert_eq!(
        received.end_us, None,
        "the target ran the attempt to its end"
    );
    harness.stop().await;
}

#[tokio::test]
async fn a_reset_stream_cancels_the_attempt_at_the_target() {
    let spec = TargetSpec::new("a").with_service_time_us(1_000_000);
    let harness = Harness::start(vec![spec], 1).await;
    let target = &harness.targets[0];
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server_context = harness.context.clone();
    let server = limpet_peer::serve(listener, move |request| {
        peer_requests::dispatch(server_context.clone(), request)
    });
    let entry = PeerClient::new();
    let request = harness.request(0, "q");
    let id = format_request_id(&request);
    let request = PeerRequest::Attempt(request);
    let addr = server.local_addr().unwrap();
    tokio::select! {
        _ = entry.call(addr, &request, STUCK_TIMEOUT) => panic!("the attempt ended before its cancellation"),
        () = target.wait_until(|target| has_received(target, &id)) => {}
    }
    let connection_count_before = target.stats().connections;
    // A third accepted connection shows that one of the two for the slots was closed and replaced.
    let closed = target.wait_until(|target| {
        target.stats().connections < connection_count_before || target.stats().accepted > 2
    });
    tokio::time::timeout(STUCK_TIMEOUT, closed)
        .await
        .expect("the connection stayed open");
    assert_eq!(
        target.received_requests()[0].end_us,
        None,
        "the target ran the attempt to its end"
    );
    entry.close().await;
    server.stop().await;
    harness.stop().await;
}
