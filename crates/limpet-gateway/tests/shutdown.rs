//! Graceful shutdown of a gateway.

mod support;

use std::time::Duration;

use http::Method;
use limpet_types::deployment::Idempotency;
use support::{
    Behaviour,
    Deployment,
    FakeTarget,
    RunningGateway,
    call,
    config,
    post,
    route,
    target_record, //
};
use tokio::time::sleep;

/// Starts a gateway with one target that answers after `delay`.
async fn start_gateway(delay: Duration) -> (RunningGateway, FakeTarget) {
    let target = FakeTarget::always(Behaviour::Answer(200, b"good", delay)).await;
    let deployment = Deployment::new();
    let mut config = config(
        1,
        vec![route("/one/", Idempotency::AtMostOnce, "s")],
        &["s"],
    );
    config.routes[0].timeout = Duration::from_secs(10);
    deployment.publish_config(config);
    deployment.publish_target("t", target_record("s", target.addr));
    (RunningGateway::start(&deployment).await, target)
}

/// Guards against aborting a request in flight, and against refusing one that arrives before the load
/// balancer notices the shutdown.
#[tokio::test]
async fn shutdown_aborts_no_request() {
    let (mut gateway, target) = start_gateway(Duration::from_millis(1200)).await;
    let addr = gateway.caller_addr;
    let running_request = tokio::spawn(async move { post(addr, "/one/a", b"order").await });
    while target.received_requests().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    gateway.begin_stop();
    sleep(Duration::from_millis(200)).await;
    assert!(
        !gateway.is_ready().await,
        "a gateway that shuts down must not be ready"
    );
    let late_request = tokio::spawn(async move { post(addr, "/one/b", b"order").await });
    let replies = [running_request.await.unwrap(), late_request.await.unwrap()];
    for reply in replies {
        assert_eq!(reply.status, 200);
        assert_eq!(reply.header("connection"), "close");
    }
    gateway.wait_stopped().await;
}

/// Guards against closing a connection without an answer when the shutdown timeout is over.
#[tokio::test]
async fn request_that_outlasts_the_shutdown_is_answered() {
    let (mut gateway, target) = start_gateway(Duration::from_secs(20)).await;
    let addr = gateway.caller_addr;
    let headers = [("t-key", "key-a"), ("t-deadline", "10000")];
    let running_request =
        tokio::spawn(async move { call(addr, Method::POST, "/one/a", &headers, b"order").await });
    while target.received_requests().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    gateway.begin_stop();
    let reply = running_request.await.unwrap();
    assert_eq!(reply.status, 502, "the request may have run");
    assert_eq!(reply.header("connection"), "close");
    gateway.wait_stopped().await;
}

/// Guards against a shutdown that takes longer than the platform waits.
#[tokio::test]
async fn shutdown_ends_within_its_timeout() {
    let (mut gateway, target) = start_gateway(Duration::from_secs(20)).await;
    let addr = gateway.caller_addr;
    let hanging_request = tokio::spawn(async move { post(addr, "/one/a", b"order").await });
    while target.received_requests().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    gateway.begin_stop();
    // The shutdown timeout in the settings of these tests.
    tokio::time::timeout(Duration::from_secs(2), gateway.wait_stopped())
        .await
        .unwrap();
    hanging_request.abort();
}
