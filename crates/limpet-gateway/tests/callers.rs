//! Callers that disconnect, send slowly or retry after a refusal.

mod support;

use std::time::{
    Duration,
    Instant, //
};

use limpet_types::deployment::{
    Config,
    Idempotency, //
};
use support::{
    Behaviour,
    Deployment,
    FakeTarget,
    RunningGateway,
    config,
    get,
    route,
    scatter_gather_route,
    target_record, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    time::{
        sleep,
        timeout, //
    },
};

/// Time after a disconnect within which the gateway must cancel all work for the caller.
const DISCONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Starts a gateway with the given config and targets, each with the name of its service.
async fn start_gateway(config: Config, targets: &[(&str, &FakeTarget)]) -> RunningGateway {
    let deployment = Deployment::new();
    deployment.publish_config(config);
    for (index, (service, target)) in targets.iter().enumerate() {
        deployment.publish_target(&format!("t{index}"), target_record(service, target.addr));
    }
    RunningGateway::start(&deployment).await
}

/// Returns the head of a request with a body of `length` bytes.
fn request_head(path: &str, length: usize, deadline_ms: u64) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\nt-id: request-1\r\nt-key: key-a\r\n\
         t-deadline: {deadline_ms}\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Sends a request, disconnects while targets process it, and checks that the gateway closes its
/// connections to them in time and sends nothing more.
async fn check_disconnect_cancels_work(
    config: Config,
    path: &str,
    targets: &[(&str, &FakeTarget)],
) {
    let gateway = start_gateway(config, targets).await;
    let mut caller = TcpStream::connect(gateway.caller_addr).await.unwrap();
    caller
        .write_all(request_head(path, 0, 2000).as_bytes())
        .await
        .unwrap();
    for (_, target) in targets {
        while target.received_requests().is_empty() {
            sleep(Duration::from_millis(2)).await;
        }
    }
    drop(caller);
    sleep(DISCONNECT_LIMIT).await;
    let received_count = || {
        targets
            .iter()
            .map(|(_, target)| target.received_requests().len())
            .sum::<usize>()
    };
    let count_before = received_count();
    for (service, target) in targets {
        assert_eq!(
            target.open_connection_count(),
            0,
            "{service} still has an open connection"
        );
    }
    sleep(DISCONNECT_LIMIT).await;
    assert_eq!(
        received_count(),
        count_before,
        "a request was sent for a caller that disconnected"
    );
}

/// Guards against targets that keep working for a caller that disconnected.
#[tokio::test]
async fn disconnect_cancels_the_request() {
    let silent = FakeTarget::always(Behaviour::Silent).await;
    let config = config(
        1,
        vec![route("/one/", Idempotency::AtMostOnce, "s")],
        &["s"],
    );
    check_disconnect_cancels_work(config, "/one/a", &[("s", &silent)]).await;
}

/// Guards against shards that keep working for a caller that disconnected.
#[tokio::test]
async fn disconnect_cancels_a_query_over_shards() {
    let one = FakeTarget::always(Behaviour::Silent).await;
    let other = FakeTarget::always(Behaviour::Silent).await;
    let routes = vec![scatter_gather_route("/all/", &["s1", "s2"], 1.0)];
    let config = config(1, routes, &["s1", "s2"]);
    check_disconnect_cancels_work(config, "/all/a", &[("s1", &one), ("s2", &other)]).await;
}

/// Guards against a caller that occupies a connection with a body that never ends, and against forwarding
/// such a request.
#[tokio::test]
async fn incomplete_body_is_refused_as_not_run() {
    let target = FakeTarget::always(Behaviour::Answer(200, b"good", Duration::ZERO)).await;
    let config = config(
        1,
        vec![route("/one/", Idempotency::AtMostOnce, "s")],
        &["s"],
    );
    let gateway = start_gateway(config, &[("s", &target)]).await;
    let mut caller = TcpStream::connect(gateway.caller_addr).await.unwrap();
    let started = Instant::now();
    caller
        .write_all(request_head("/one/a", 8, 300).as_bytes())
        .await
        .unwrap();
    caller.write_all(b"half").await.unwrap();
    let mut reply = Vec::new();
    let reading = caller.read_to_end(&mut reply);
    timeout(Duration::from_secs(2), reading)
        .await
        .expect("the connection stays open")
        .unwrap();
    assert!(reply.starts_with(b"HTTP/1.1 408"), "{reply:?}");
    assert!(started.elapsed() >= Duration::from_millis(300));
    assert!(target.received_requests().is_empty());
}

/// Returns the `Connection` header of a refusal while this many idle connections of other callers are open.
async fn connection_header_of_refusal(idle_connection_count: usize) -> String {
    let config = config(
        1,
        vec![route("/one/", Idempotency::Idempotent, "s")],
        &["s"],
    );
    let target = FakeTarget::always(Behaviour::Shed).await;
    let gateway = start_gateway(config, &[("s", &target)]).await;
    let mut callers = Vec::new();
    for _ in 0..idle_connection_count {
        callers.push(TcpStream::connect(gateway.caller_addr).await.unwrap());
    }
    // Connections are accepted in order, so the refused caller is counted after the idle ones.
    let reply = get(gateway.caller_addr, "/one/a").await;
    assert_eq!(reply.status, 503);
    reply.header("connection").to_owned()
}

/// Guards against idle connections that pile up while refused callers retry on new ones.
#[tokio::test]
async fn refused_caller_closes_if_many_connections_are_open() {
    assert_eq!(connection_header_of_refusal(40).await, "close");
}

/// Guards against moving a refused caller to a new connection, which may be routed to a VM that is down.
#[tokio::test]
async fn refused_caller_keeps_its_connection_if_few_are_open() {
    assert_eq!(connection_header_of_refusal(2).await, "");
}
