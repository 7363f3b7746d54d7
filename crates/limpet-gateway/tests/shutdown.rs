//! Graceful shutdown of a gateway.

mod support;

use std::{
    sync::Arc,
    time::Duration, //
};

use http::Method;
use limpet_gateway::{
    SharedState,
    frontend, //
};
use limpet_types::deployment::Idempotency;
use support::{
    Behaviour,
    Deployment,
    FakeTarget,
    PEER_PORT,
    RunningGateway,
    call,
    config,
    header_names,
    post,
    route,
    settings,
    target_record,
    unused_loopback_ip, //
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
    time::{
        Instant,
        sleep, //
    },
};

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

/// Guards against connections that were established before the listener closes, and are reset by that.
#[tokio::test]
async fn connections_that_wait_to_be_accepted_are_answered() {
    let settings = settings(&unused_loopback_ip(), PEER_PORT).await;
    let listener = TcpListener::bind(settings.caller_addr).await.unwrap();
    let addr = settings.caller_addr;
    let shared = Arc::new(SharedState::new(settings, header_names()));
    let server = frontend::serve(listener, shared).unwrap();
    // Blocking calls: the server, which shares the thread, accepts none of these before it is told to stop.
    let mut streams: Vec<std::net::TcpStream> = (0..30)
        .map(|_| std::net::TcpStream::connect(addr).unwrap())
        .collect();
    for stream in &mut streams {
        let request = b"GET /one/a HTTP/1.1\r\nhost: shop.example\r\nt-id: request-1\r\n\r\n";
        std::io::Write::write_all(stream, request).unwrap();
    }
    let now = Instant::now();
    server
        .stop(
            now + Duration::from_millis(1900),
            now + Duration::from_secs(2),
        )
        .await;
    for (index, mut stream) in streams.into_iter().enumerate() {
        let mut answer = String::new();
        std::io::Read::read_to_string(&mut stream, &mut answer)
            .unwrap_or_else(|error| panic!("connection {index}: {error}"));
        // The process has no config.
        assert!(
            answer.starts_with("HTTP/1.1 503"),
            "connection {index}: {answer:?}"
        );
    }
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

/// Sends a request that must not be repeated in two pieces, the second one `second_piece_delay` after the begin of a
/// shutdown of two seconds, or never; checks that it is refused and not passed on.
async fn late_body_is_refused(second_piece_delay: Option<Duration>) {
    let (mut gateway, target) = start_gateway(Duration::from_secs(20)).await;
    let mut stream = TcpStream::connect(gateway.caller_addr).await.unwrap();
    let first_piece =
        b"POST /one/a HTTP/1.1\r\nhost: shop.example\r\nt-id: request-1\r\nt-key: key-a\r\n\
        t-deadline: 9000\r\ncontent-length: 5\r\n\r\nor";
    stream.write_all(first_piece).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    gateway.begin_stop();
    if let Some(delay) = second_piece_delay {
        sleep(delay).await;
        stream.write_all(b"der").await.unwrap();
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
    assert!(
        target.received_requests().is_empty(),
        "the refused request was passed on"
    );
    gateway.wait_stopped().await;
}

// Guards against a request that becomes complete late in a shutdown and is started only to be cancelled, and against one
// that is answered as if it might have run although its body never came.
limpet_testkit::async_cases! {
    late_body_is_refused:
    body_that_ends_late_in_a_shutdown => Some(Duration::from_millis(1450)),
    body_that_does_not_end_in_a_shutdown => None,
}
