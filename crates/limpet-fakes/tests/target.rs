//! Guards against a fake target whose counts, crashes or connection limit are wrong: other tests would
//! then miss the faults that they look for.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use limpet_fakes::target::{
    FakeTarget,
    FakeTargetStats,
    Fault,
    ReceivedRequest,
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

/// Longest wait until the target closes a connection.
const CONNECTION_END_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends one request on a new connection and returns everything received.
async fn exchange(addr: SocketAddr, method_and_path: &str, headers: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let length = body.len();
    let text = format!(
        "{method_and_path} HTTP/1.1\r\nhost: t\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut response = String::new();
    // A crash resets the connection; the result is what was received before.
    let reading =
        tokio::time::timeout(CONNECTION_END_TIMEOUT, stream.read_to_string(&mut response));
    let _ = reading.await.expect("the connection was not closed");
    response
}

async fn send_order(addr: SocketAddr, request_id: &str, body: &str) -> String {
    let headers = format!("x-request-id: {request_id}\r\nx-attempt: 1\r\nx-ticket: t1\r\n");
    exchange(addr, "POST /v1/order", &headers, body).await
}

#[tokio::test]
async fn refused_orders_do_not_count_as_runs() {
    let target = FakeTarget::start(TargetSpec::new("a")).await.unwrap();
    assert!(
        send_order(target.addr(), "r1", "x")
            .await
            .starts_with("HTTP/1.1 200")
    );
    target.inject(Fault::Shed(1));
    let refusal = send_order(target.addr(), "r2", "x").await;
    assert!(refusal.starts_with("HTTP/1.1 503") && refusal.contains("x-not-run: true"));
    send_order(target.addr(), "r1", "x").await;
    assert_eq!(
        (target.count_order_runs("r1"), target.count_order_runs("r2")),
        (2, 0)
    );
    assert_eq!(target.received_requests()[0].ticket.as_deref(), Some("t1"));
    target.stop().await;
}

#[tokio::test]
async fn an_overloaded_cold_target_crashes_and_restarts_with_another_incarnation() {
    let spec = TargetSpec::new("a").with_cold_start(1, 100);
    let target = FakeTarget::start(spec.with_service_time_us(100_000))
        .await
        .unwrap();
    let addr = target.addr();
    let (first, second) = tokio::join!(send_order(addr, "r1", "x"), send_order(addr, "r2", "x"));
    assert!(first.is_empty() && second.is_empty(), "{first} {second}");
    let stats = target.stats();
    assert_eq!((stats.crashes, stats.peak_cold_running), (1, 2));
    let incarnation_line = |response: &str| {
        let line = response
            .lines()
            .find(|l| l.starts_with("x-target-incarnation"));
        line.unwrap().to_owned()
    };
    while TcpStream::connect(addr).await.is_err() {
        tokio::task::yield_now().await;
    }
    let line_before = incarnation_line(&send_order(addr, "r3", "x").await);
    target.inject(Fault::Crash);
    target.wait_until(|t| t.stats().connections == 0).await;
    while TcpStream::connect(addr).await.is_err() {
        tokio::task::yield_now().await;
    }
    assert_ne!(
        incarnation_line(&send_order(addr, "r4", "x").await),
        line_before
    );
    target.stop().await;
}

#[tokio::test]
async fn connections_above_the_limit_are_closed() {
    let mut spec = TargetSpec::new("a");
    spec.connections_max = 1;
    let target = FakeTarget::start(spec).await.unwrap();
    let _first = TcpStream::connect(target.addr()).await.unwrap();
    target.wait_until(|t| t.stats().connections == 1).await;
    assert_eq!(send_order(target.addr(), "r1", "x").await, "");
    assert_eq!(target.stats().peak_connections, 1);
    target.stop().await;
}

#[tokio::test]
async fn the_control_endpoint_injects_faults_and_returns_received_requests() {
    let target = FakeTarget::start(TargetSpec::new("a")).await.unwrap();
    let addr = target.addr();
    let targets = Arc::new(vec![target]);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let control = listener.local_addr().unwrap();
    let serving = tokio::spawn(serve_control(listener, Arc::clone(&targets)));
    let injected = exchange(control, "POST /fault/a", "", r#"{"shed":1}"#).await;
    assert!(injected.starts_with("HTTP/1.1 200"), "{injected}");
    assert!(
        send_order(addr, "r1", "x")
            .await
            .starts_with("HTTP/1.1 503")
    );
    let response_body = |response: String| response.split("\r\n\r\n").nth(1).unwrap().to_owned();
    let received = response_body(exchange(control, "GET /events/a", "", "").await);
    let received: Vec<ReceivedRequest> = serde_json::from_str(&received).unwrap();
    assert_eq!(received.len(), 1);
    let stats = response_body(exchange(control, "GET /stats/a", "", "").await);
    let stats: FakeTargetStats = serde_json::from_str(&stats).unwrap();
    assert_eq!(stats.accepted, 1);
    for (method_and_path, fault) in [
        ("POST /fault/b", "\"silence\""),
        ("POST /fault/a", "\"none\""),
    ] {
        let refused = exchange(control, method_and_path, "", fault).await;
        assert!(refused.starts_with("HTTP/1.1 400"), "{refused}");
    }
    serving.abort();
    let _ = serving.await;
}
