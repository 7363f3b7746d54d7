//! Callers that read their answers slowly or not at all.

mod support;

use std::time::Duration;

use limpet_types::{
    codec,
    message::{
        GatherRequest,
        PeerRequest, //
    },
};
use support::{
    IDLE_TIMEOUT,
    LARGE_ANSWER_BYTES,
    LARGE_PART_BYTES,
    SMALL_PARTS_ANSWER_BYTES,
    get,
    send_without_reading,
    start_large_answer_gateway, //
};
use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

/// Reads until the end of the connection or `size_max_bytes`, with a pause after each piece; returns the number of bytes.
async fn read_slowly(stream: &mut TcpStream, size_max_bytes: usize, pause: Duration) -> usize {
    let mut size_bytes = 0;
    let mut piece = vec![0; 128 << 10];
    while size_bytes < size_max_bytes {
        match stream.read(&mut piece).await {
            Ok(0) | Err(_) => break,
            Ok(read_bytes) => size_bytes += read_bytes,
        }
        sleep(pause).await;
    }
    size_bytes
}

/// Guards against a caller that reads nothing and keeps its connection and the memory of its answer for good.
async fn reader_of_nothing_is_disconnected(path: &str) {
    // Memory for one such answer.
    let (gateway, _targets) = start_large_answer_gateway(11 << 20).await;
    let addr = gateway.caller_addr;
    let mut stalled = send_without_reading(addr, path).await;
    sleep(IDLE_TIMEOUT / 2).await;
    assert_eq!(
        get(addr, path).await.status,
        502,
        "the answer is not counted"
    );
    sleep(IDLE_TIMEOUT * 2).await;
    assert_eq!(
        get(addr, path).await.status,
        200,
        "the memory is not released"
    );
    let read_bytes = read_slowly(&mut stalled, usize::MAX, Duration::ZERO).await;
    assert!(read_bytes < 2 * LARGE_PART_BYTES, "{read_bytes} bytes");
}

limpet_testkit::async_cases! {
    reader_of_nothing_is_disconnected:
    reader_of_nothing_of_a_reply => "/large/a",
    reader_of_nothing_of_a_merged_answer => "/merged/a",
}

/// Guards against a merged answer that is dropped, although its query has run and it is ready, because slow readers hold the
/// memory for bodies.
#[tokio::test]
async fn ready_answer_is_delivered_while_slow_readers_hold_the_memory() {
    // The large answer leaves less than the merged one needs.
    let memory_bytes = LARGE_ANSWER_BYTES + SMALL_PARTS_ANSWER_BYTES / 4;
    let (gateway, _targets) = start_large_answer_gateway(memory_bytes).await;
    let addr = gateway.caller_addr;
    let stalled = send_without_reading(addr, "/large/a").await;
    sleep(IDLE_TIMEOUT / 4).await;
    assert_eq!(get(addr, "/large/a").await.status, 502, "memory is left");
    let answer = get(addr, "/small-parts/a").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body.len(), SMALL_PARTS_ANSWER_BYTES);
    // It was counted until it was read, and no longer.
    sleep(IDLE_TIMEOUT * 2).await;
    assert_eq!(get(addr, "/large/a").await.status, 200, "not released");
    drop(stalled);
}

/// Guards against a limit for the time until the next request that cuts an answer which is still being read.
#[tokio::test]
async fn slow_and_steady_reader_gets_the_whole_answer() {
    let (gateway, _targets) = start_large_answer_gateway(11 << 20).await;
    let started = Instant::now();
    let mut stream = send_without_reading(gateway.caller_addr, "/large/a").await;
    let pause = Duration::from_millis(3);
    let read_bytes = read_slowly(&mut stream, LARGE_ANSWER_BYTES, pause).await;
    assert!(read_bytes >= LARGE_ANSWER_BYTES, "{read_bytes} bytes");
    assert!(started.elapsed() > IDLE_TIMEOUT * 2, "not slow enough");
}

/// Guards against replies of an aggregator that a suspended process does not read, and that count towards nothing.
#[tokio::test]
async fn reply_that_another_process_does_not_read_is_counted() {
    // Memory for one such answer.
    let (gateway, _targets) = start_large_answer_gateway(11 << 20).await;
    let stream = TcpStream::connect(gateway.peer_addr).await.unwrap();
    let (mut sender, connection) = h2::client::handshake(stream).await.unwrap();
    let driver = tokio::spawn(connection);
    let (response, mut body) = sender.send_request(http::Request::new(()), false).unwrap();
    let request = PeerRequest::Gather(Box::new(GatherRequest {
        config_version: 1,
        route: "/merged/".into(),
        method: "GET".into(),
        uri: "/merged/a".into(),
        headers: vec![("t-id".into(), b"r".to_vec())],
        body: Vec::new(),
        request_id: b"r".to_vec(),
        fingerprint: 1,
        waited: Duration::ZERO,
        time_left: Duration::from_secs(2),
    }));
    let request = codec::encode(&request).unwrap();
    body.send_data(request.into(), true).unwrap();
    // Not reading keeps the flow-control window closed.
    let unread = response.await.unwrap();
    sleep(Duration::from_millis(300)).await;
    let addr = gateway.caller_addr;
    assert_eq!(get(addr, "/merged/a").await.status, 502, "not counted");
    drop((unread, body, sender));
    driver.abort();
    sleep(Duration::from_millis(100)).await;
    assert_eq!(get(addr, "/merged/a").await.status, 200, "not released");
}

/// Guards against clients of the admin port that read nothing and together hold any number of answers.
#[tokio::test]
async fn admin_connections_are_limited() {
    const ADMIN_CONNECTIONS_MAX: usize = 64;
    let (gateway, _targets) = start_large_answer_gateway(1 << 20).await;
    let addr = gateway.admin_addr;
    let mut connections = Vec::new();
    for _ in 0..ADMIN_CONNECTIONS_MAX {
        connections.push(TcpStream::connect(addr).await.unwrap());
    }
    sleep(Duration::from_millis(100)).await;
    let mut status = tokio::spawn(async move { get(addr, "/status").await.status });
    let early = timeout(Duration::from_millis(200), &mut status).await;
    assert!(early.is_err(), "one connection too many is served");
    assert!(gateway.is_ready().await);
    connections.pop();
    let status = timeout(Duration::from_secs(5), status).await;
    assert_eq!(status.unwrap().unwrap(), 200);
}
