//! Guards against a fake target that hides faults which other tests look for.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use limpet_fakes::target::{
    FakeTarget,
    Fault,
    RequestEvent,
    Stats,
    TargetSpec,
    serve_control, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};

/// Longest wait for the end of a connection.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Sends one request on a new connection and returns everything received.
async fn exchange(addr: SocketAddr, line: &str, headers: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let length = body.len();
    let text = format!(
        "{line} HTTP/1.1\r\nhost: t\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    // A crash resets the connection; the answer is what was received before.
    let reading = tokio::time::timeout(TIMEOUT, stream.read_to_string(&mut answer));
    let _ = reading.await.expect("the connection was not closed");
    answer
}

async fn order(addr: SocketAddr, request: &str, body: &str) -> String {
    let headers = format!("x-request-id: {request}\r\nx-attempt: 1\r\nx-ticket: t1\r\n");
    exchange(addr, "POST /v1/order", &headers, body).await
}

#[tokio::test]
async fn order_runs_do_not_include_refused_orders() {
    let target = FakeTarget::start(TargetSpec::new("a")).await.unwrap();
    assert!(
        order(target.addr(), "r1", "x")
            .await
            .starts_with("HTTP/1.1 200")
    );
    target.inject(Fault::Shed(1));
    let shed = order(target.addr(), "r2", "x").await;
    assert!(shed.starts_with("HTTP/1.1 503") && shed.contains("x-not-run: true"));
    order(target.addr(), "r1", "x").await;
    assert_eq!((target.order_runs("r1"), target.order_runs("r2")), (2, 0));
    assert_eq!(target.events()[0].ticket.as_deref(), Some("t1"));
    target.stop().await;
}

#[tokio::test]
async fn an_overloaded_cold_target_crashes_and_restarts_with_another_incarnation() {
    let spec = TargetSpec::new("a").with_cold_start(1, 100);
    let target = FakeTarget::start(spec.with_service_time_us(100_000))
        .await
        .unwrap();
    let addr = target.addr();
    let (first, second) = tokio::join!(order(addr, "r1", "x"), order(addr, "r2", "x"));
    assert!(first.is_empty() && second.is_empty(), "{first} {second}");
    let stats = target.stats();
    assert_eq!((stats.crashes, stats.peak_cold_running), (1, 2));
    let incarnation = |answer: &str| {
        let line = answer
            .lines()
            .find(|l| l.starts_with("x-target-incarnation"));
        line.unwrap().to_owned()
    };
    while TcpStream::connect(addr).await.is_err() {
        tokio::task::yield_now().await;
    }
    let before = incarnation(&order(addr, "r3", "x").await);
    target.inject(Fault::Crash);
    target.wait_until(|t| t.stats().connections == 0).await;
    while TcpStream::connect(addr).await.is_err() {
        tokio::task::yield_now().await;
    }
    assert_ne!(incarnation(&order(addr, "r4", "x").await), before);
    target.stop().await;
}

#[tokio::test]
async fn connections_above_the_limit_are_closed() {
    let mut spec = TargetSpec::new("a");
    spec.connections_max = 1;
    let target = FakeTarget::start(spec).await.unwrap();
    let _first = TcpStream::connect(target.addr()).await.unwrap();
    target.wait_until(|t| t.stats().connections == 1).await;
    assert_eq!(order(target.addr(), "r1", "x").await, "");
    assert_eq!(target.stats().peak_connections, 1);
    target.stop().await;
}

#[tokio::test]
async fn the_control_endpoint_injects_faults_and_returns_events() {
    let target = FakeTarget::start(TargetSpec::new("a")).await.unwrap();
    let addr = target.addr();
    let targets = Arc::new(vec![target]);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let control = listener.local_addr().unwrap();
    let serving = tokio::spawn(serve_control(listener, Arc::clone(&targets)));
    let injected = exchange(control, "POST /fault/a", "", r#"{"shed":1}"#).await;
    assert!(injected.starts_with("HTTP/1.1 200"), "{injected}");
    assert!(order(addr, "r1", "x").await.starts_with("HTTP/1.1 503"));
    let body = |answer: String| answer.split("\r\n\r\n").nth(1).unwrap().to_owned();
    let events = body(exchange(control, "GET /events/a", "", "").await);
    let events: Vec<RequestEvent> = serde_json::from_str(&events).unwrap();
    assert_eq!(events.len(), 1);
    let stats = body(exchange(control, "GET /stats/a", "", "").await);
    let stats: Stats = serde_json::from_str(&stats).unwrap();
    assert_eq!(stats.accepted, 1);
    for (line, fault) in [
        ("POST /fault/b", "\"silence\""),
        ("POST /fault/a", "\"none\""),
    ] {
        let refused = exchange(control, line, "", fault).await;
        assert!(refused.starts_with("HTTP/1.1 400"), "{refused}");
    }
    serving.abort();
    let _ = serving.await;
}
