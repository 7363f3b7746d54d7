//! Gateway with large answers, and callers that do not read them.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use limpet_types::deployment::{
    Destination,
    Idempotency, //
};
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpSocket,
        TcpStream, //
    },
};

use super::{
    Behaviour,
    Deployment,
    FakeTarget,
    PEER_PORT,
    RunningGateway,
    config,
    route,
    scatter_gather_route,
    settings,
    target_record,
    unused_loopback_ip, //
};

/// Idle timeout of the gateway for callers.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Answer of a single target; larger than what the buffers of the operating system hold.
pub(crate) const LARGE_ANSWER_BYTES: usize = 7 << 20;
/// Part of a merged answer; two parts are larger than those buffers.
pub(crate) const LARGE_PART_BYTES: usize = 3 << 20;
/// Part of an answer that needs no memory until it is merged.
const SMALL_PART_BYTES: usize = 16 << 10;
/// Number of such parts; the answer occupies more than the small body sizes of all parts but one.
const SMALL_PARTS: usize = 8;
/// Size of the answer of all small parts.
pub(crate) const SMALL_PARTS_ANSWER_BYTES: usize = SMALL_PARTS * SMALL_PART_BYTES;
/// Size of the receive buffer of a caller that reads slowly.
const SMALL_RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// Starts a gateway with a route `/large/` to one target, `/merged/` to two shards, `/small-parts/` to several and `/small/`.
pub(crate) async fn start_large_answer_gateway(
    body_memory_bytes: usize,
) -> (RunningGateway, Vec<FakeTarget>) {
    let deployment = Deployment::new();
    let small_parts: Vec<String> = (0..SMALL_PARTS)
        .map(|part| format!("small-part-{part}"))
        .collect();
    let mut services = vec!["large", "part-a", "part-b", "small"];
    services.extend(small_parts.iter().map(String::as_str));
    let mut merged = scatter_gather_route("/merged/", &services[1..3], 1.0);
    if let Destination::ScatterGather(gather) = &mut merged.destination {
        gather.records_max = 2 * LARGE_PART_BYTES / 16;
    }
    let mut merged_small = scatter_gather_route("/small-parts/", &services[4..], 1.0);
    if let Destination::ScatterGather(gather) = &mut merged_small.destination {
        gather.records_max = SMALL_PARTS_ANSWER_BYTES / 16;
    }
    let mut routes = vec![
        route("/large/", Idempotency::Idempotent, "large"),
        merged,
        merged_small,
        route("/small/", Idempotency::Idempotent, "small"),
    ];
    for route in &mut routes {
        route.attempts_max = 1;
    }
    let mut config = config(1, routes, &services);
    config.limits.idle_timeout = IDLE_TIMEOUT;
    deployment.publish_config(config);
    let mut targets = Vec::new();
    for service in services {
        let size_bytes = match service {
            "large" => LARGE_ANSWER_BYTES,
            "small" => 16,
            "part-a" | "part-b" => LARGE_PART_BYTES,
            _ => SMALL_PART_BYTES,
        };
        let body: &'static [u8] = Box::leak(vec![b'a'; size_bytes].into());
        let target = FakeTarget::always(Behaviour::Answer(200, body, Duration::ZERO)).await;
        deployment.publish_target(service, target_record(service, target.addr));
        targets.push(target);
    }
    let mut settings = settings(&unused_loopback_ip(), PEER_PORT).await;
    settings.body_memory_bytes = body_memory_bytes;
    let gateway = RunningGateway::start_with(settings, &deployment).await;
    gateway.wait_ready().await;
    (gateway, targets)
}

/// Sends a request on a connection with a small receive buffer and reads nothing.
pub(crate) async fn send_without_reading(addr: SocketAddr, path: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket
        .set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES)
        .unwrap();
    let mut stream = socket.connect(addr).await.unwrap();
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: shop.example\r\nt-id: r\r\nt-key: key-a\r\nt-deadline: 2000\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}
