//! Work for metrics and load reports that queries cause, and that both still show the queries.

mod support;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use limpet_gateway::gateway;
use limpet_types::{
    codec,
    deployment::{
        Idempotency,
        Route, //
    },
    message::LoadReport,
};
use metrics_exporter_prometheus::PrometheusBuilder;
use support::{
    Behaviour,
    CountingRecorder,
    Deployment,
    FakeTarget,
    PEER_PORT,
    RunningGateway,
    config,
    decode_load_report,
    get,
    header_names,
    regular_report,
    route,
    scatter_gather_route,
    settings,
    target_record,
    unused_loopback_ip, //
};
use tokio::{
    net::UdpSocket,
    sync::watch,
    task::JoinSet,
    time::{
        sleep,
        timeout, //
    },
};

const QUERY_COUNT: usize = 20;
/// Gauges of a group of services.
const GROUP_GAUGES: [&str; 3] = [
    "limpet_queries_waiting",
    "limpet_concurrency_limit",
    "limpet_expected_wait_seconds",
];

/// Returns a deployment with one target of the service `s`.
fn deployment(route: Route, target: &FakeTarget) -> Deployment {
    let deployment = Deployment::new();
    deployment.publish_config(config(1, vec![route], &["s"]));
    deployment.publish_target("t", target_record("s", target.addr));
    deployment
}

/// Guards against gauges that each start and each end of a query sets.
#[tokio::test]
async fn queries_set_no_gauges() {
    let recorder = CountingRecorder::default();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let target = FakeTarget::always(Behaviour::Answer(200, b"good", Duration::ZERO)).await;
    let deployment = deployment(route("/one/", Idempotency::Idempotent, "s"), &target);
    let gateway = RunningGateway::start(&deployment).await;
    for _ in 0..QUERY_COUNT {
        assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 200);
    }
    assert_eq!(recorder.changes("limpet_requests_total"), QUERY_COUNT);
    let set_count: usize = GROUP_GAUGES.iter().map(|name| recorder.changes(name)).sum();
    assert_eq!(set_count, 0, "gauges set for {QUERY_COUNT} queries");
}

/// Guards against gauges that show an earlier state, or nothing, since queries do not set them.
#[tokio::test]
async fn metrics_page_shows_the_queries_that_run_and_wait() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let reply_delay = Duration::from_millis(400);
    let target = FakeTarget::always(Behaviour::Answer(200, b"good", reply_delay)).await;
    let mut route = route("/one/", Idempotency::AtMostOnce, "s");
    route.latency_goal = Duration::from_secs(4);
    let deployment = deployment(route, &target);
    let mut settings = settings(&unused_loopback_ip(), PEER_PORT).await;
    // Two queries run at a time.
    settings.capacity_cores = 0.05;
    let (caller_addr, admin_addr) = (settings.caller_addr, settings.admin_addr);
    let (_seed_sender, seed_updates) = watch::channel(Vec::new());
    let mut tasks = JoinSet::new();
    let gateway = gateway::run(
        settings,
        header_names(),
        deployment.source(&Arc::default()),
        Some(recorder.handle()),
        seed_updates,
        std::future::pending(),
    );
    tasks.spawn(async move { gateway.await.unwrap() });
    let served = async {
        while tokio::net::TcpStream::connect(caller_addr).await.is_err()
            || get(caller_addr, "/one/a").await.status != 200
        {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(Duration::from_secs(10), served)
        .await
        .expect("no answer");
    for _ in 0..5 {
        tasks.spawn(async move {
            get(caller_addr, "/one/a").await;
        });
    }
    let page = || async {
        let page = get(admin_addr, "/metrics").await;
        String::from_utf8(page.body.to_vec()).unwrap()
    };
    sleep(Duration::from_millis(200)).await;
    let text = page().await;
    for line in [
        "limpet_queries_waiting{group=\"s\"} 3",
        "limpet_concurrency_limit{group=\"s\"} 2",
        "limpet_expected_wait_seconds{group=\"s\"} 0.",
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
    sleep(Duration::from_millis(1400)).await;
    let text = page().await;
    assert!(text.contains("limpet_queries_waiting{group=\"s\"} 0"));
}

/// Guards against load reports without the queries that run, since these no longer announce themselves.
#[tokio::test]
async fn running_gathers_are_reported() {
    let reply_delay = Duration::from_millis(1500);
    let target = FakeTarget::always(Behaviour::Answer(200, b"good", reply_delay)).await;
    let mut route = scatter_gather_route("/all/", &["s"], 1.0);
    route.latency_goal = Duration::from_secs(4);
    let deployment = deployment(route, &target);
    let gateway = RunningGateway::start(&deployment).await;
    let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    introduce(&peer, gateway.peer_addr).await;
    let caller_addr = gateway.caller_addr;
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        get(caller_addr, "/all/a").await;
    });
    let mut buffer = vec![0; 16 << 10];
    let mut receive = async |wanted: fn(&LoadReport) -> bool| {
        loop {
            let size = peer.recv(&mut buffer).await.unwrap();
            let report = decode_load_report(&buffer[..size]);
            if report.is_some_and(|report| wanted(&report)) {
                return;
            }
        }
    };
    let running = receive(|report| report.gathers.running == 1 && report.gathers.limit > 0);
    timeout(Duration::from_millis(1400), running)
        .await
        .expect("running gather not reported");
    let ended = receive(|report| report.gathers.running == 0);
    timeout(Duration::from_millis(2500), ended)
        .await
        .expect("end of the gather not reported");
}

/// Makes the process at `to` know the process with the socket `peer`.
async fn introduce(peer: &UdpSocket, to: SocketAddr) {
    let report = regular_report(7, peer.local_addr().unwrap());
    let report = codec::encode(&report).unwrap();
    peer.send_to(&report, to).await.unwrap();
}
