//! Planned stops.

mod support;

use std::time::Duration;

use http::Method;
use limpet_types::deployment::Idempotency;
use support::{
    Behaviour,
    Deployment,
    RunningGateway,
    StandInTarget,
    call,
    post,
    record,
    route,
    text, //
};
use tokio::time::sleep;

async fn serve(delay: Duration) -> (RunningGateway, StandInTarget) {
    let target = StandInTarget::always(Behaviour::Answer(200, b"good", delay)).await;
    let deployment = Deployment::new();
    let mut text = text(
        1,
        vec![route("/one/", Idempotency::AtMostOnce, "s")],
        &["s"],
    );
    text.routes[0].timeout = Duration::from_secs(10);
    deployment.publish_text(text);
    deployment.publish_target("t", record("s", target.addr));
    (RunningGateway::start(&deployment).await, target)
}

/// Guards against cutting a request that is in flight, and against refusing one that came before the
/// balancer noticed the stop.
#[tokio::test]
async fn stop_cuts_no_request() {
    let (mut gateway, target) = serve(Duration::from_millis(1200)).await;
    let addr = gateway.caller_addr;
    let running = tokio::spawn(async move { post(addr, "/one/a", b"order").await });
    while target.arrivals().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    gateway.begin_stop();
    sleep(Duration::from_millis(200)).await;
    assert!(
        !gateway.is_ready().await,
        "a gateway that stops is not ready"
    );
    let late = tokio::spawn(async move { post(addr, "/one/b", b"order").await });
    let replies = [running.await.unwrap(), late.await.unwrap()];
    for reply in replies {
        assert_eq!(reply.status, 200);
        assert_eq!(reply.header("connection"), "close");
    }
    gateway.ended().await;
}

/// Guards against ending a connection without an answer when the time to stop is over.
#[tokio::test]
async fn request_that_outlasts_the_stop_is_answered() {
    let (mut gateway, target) = serve(Duration::from_secs(20)).await;
    let addr = gateway.caller_addr;
    let headers = [("t-key", "key-a"), ("t-deadline", "10000")];
    let running =
        tokio::spawn(async move { call(addr, Method::POST, "/one/a", &headers, b"order").await });
    while target.arrivals().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    gateway.begin_stop();
    let reply = running.await.unwrap();
    assert_eq!(reply.status, 502, "it may have run");
    assert_eq!(reply.header("connection"), "close");
    gateway.ended().await;
}

/// Guards against a stop that takes longer than the platform waits.
#[tokio::test]
async fn stop_ends_within_its_limit() {
    let (mut gateway, target) = serve(Duration::from_secs(20)).await;
    let addr = gateway.caller_addr;
    let hanging = tokio::spawn(async move { post(addr, "/one/a", b"order").await });
    while target.arrivals().is_empty() {
        sleep(Duration::from_millis(5)).await;
    }
    gateway.begin_stop();
    // The limit of the settings in these tests.
    tokio::time::timeout(Duration::from_secs(2), gateway.ended())
        .await
        .unwrap();
    hanging.abort();
}
