//! Work that the load of other processes causes: it is done only when its result is read.

mod support;

use std::{
    io::Write,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use limpet_decide::{
    peer_load::name_hash,
    spread::DIRECT_PROCESSES_MAX, //
};
use limpet_gateway::{SharedState, admin, admin::Endpoints, members::Gossip};
use limpet_types::{
    codec,
    deployment::{
        Change,
        Idempotency,
        StateUpdate,
        VersionedChange, //
    },
    message::{
        GatherLoad,
        LoadReport,
        TargetUse, //
    },
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
    load_datagram,
    regular_report,
    route,
    settings,
    target_record,
    unused_loopback_ip, //
};
use tokio::{
    net::{
        TcpListener,
        UdpSocket, //
    },
    task::JoinSet,
    time::{
        Instant,
        sleep, //
    },
};

const NODE: u64 = 0x1122_3344_5566_7788;
/// Number of other processes of a fleet in which the choice of a target reads the reports.
const LARGE_FLEET: u8 = 85;
/// Number of other processes of a small site.
const SMALL_FLEET: u8 = 6;
/// Time in which a process handles the datagrams that were sent to it.
const HANDLING_TIME: Duration = Duration::from_millis(100);
/// Time of several rounds of the exchange.
const SOME_ROUNDS_TIME: Duration = Duration::from_millis(500);

/// Makes the process at `to` know `peer` and `peer_count - 1` processes that do not exist.
async fn introduce(peer: &UdpSocket, to: SocketAddr, peer_count: u8) {
    let peer_addr = peer.local_addr().unwrap();
    let absent = (1..peer_count).map(|index| SocketAddr::from(([127, 250, 0, index], 9)));
    for addr in absent.chain([peer_addr]) {
        let report = codec::encode(&regular_report(NODE, addr)).unwrap();
        peer.send_to(&report, to).await.unwrap();
    }
    sleep(HANDLING_TIME).await;
}

/// Returns the datagram of a load report that names one target.
fn load_report(addr: SocketAddr, sequence: u32, target: &str, in_flight: u8) -> Vec<u8> {
    let report = LoadReport {
        node: NODE,
        addr,
        sequence,
        gathers: GatherLoad::default(),
        services: Vec::new(),
        targets: vec![TargetUse {
            target: name_hash(target),
            in_flight,
            requests_per_10_s: 30,
            rejected_255ths: 0,
            mean_in_flight_1000ths: u16::from(in_flight) * 1000,
        }],
    };
    load_datagram(&report)
}

/// The exchange of reports of one process without the rest of it, a target `t`, and a socket of another process.
struct Exchange {
    shared: Arc<SharedState>,
    peer: UdpSocket,
    _tasks: JoinSet<()>,
}

impl Exchange {
    /// Starts the exchange in a fleet with `peer_count` other processes.
    async fn start(peer_count: u8) -> Self {
        let settings = settings(&unused_loopback_ip(), PEER_PORT).await;
        let shared = Arc::new(SharedState::new(settings, header_names()));
        let record = target_record("s", SocketAddr::from(([127, 0, 0, 1], 1)));
        let update = StateUpdate {
            is_full_state: false,
            revision: 1,
            changes: vec![VersionedChange {
                revision: 1,
                change: Change::Target("t".into(), Arc::new(record)),
            }],
            age: Duration::ZERO,
        };
        let now = shared.now();
        shared.deployment_state().apply(&update, now, now);
        shared.sync_fleet();
        let gossip = Arc::new(Gossip::bind(Arc::clone(&shared)).await.unwrap());
        let mut tasks = JoinSet::new();
        tasks.spawn(gossip.run());
        let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        introduce(&peer, shared.settings.peer_addr, peer_count).await;
        Self {
            shared,
            peer,
            _tasks: tasks,
        }
    }

    /// Sends a load report that states this many requests in flight at `t`, and waits until it is handled.
    async fn report_in_flight(&self, sequence: u32, in_flight: u8) {
        let report = load_report(self.peer.local_addr().unwrap(), sequence, "t", in_flight);
        let to = self.shared.settings.peer_addr;
        self.peer.send_to(&report, to).await.unwrap();
        sleep(HANDLING_TIME).await;
    }

    /// Brings the sums up to date as before a choice in this fleet.
    fn refresh(&self) {
        let process_count = self.shared.rate_limiter().process_counts().total;
        let shared = &self.shared;
        shared
            .reported_loads
            .refresh_for_choice(shared, process_count);
    }

    /// Returns the requests in flight to `t` that a choice would read.
    fn in_flight(&self) -> f64 {
        let target = self.shared.fleet().get("t").unwrap();
        target.load().reported_in_flight(self.shared.now())
    }
}

/// Guards against sums over all reports and targets in each round of a process that sends nothing.
#[tokio::test]
async fn process_that_chooses_no_target_makes_no_sums() {
    let exchange = Exchange::start(LARGE_FLEET).await;
    exchange.report_in_flight(1, 3).await;
    sleep(SOME_ROUNDS_TIME).await;
    assert_eq!(exchange.shared.peer_loads().len(), 1, "report not applied");
    assert_eq!(exchange.in_flight(), 0.0, "sums without a reader");
    exchange.refresh();
    assert!(exchange.in_flight() > 1.0, "a choice reads no reports");
}

/// Guards against sums in a fleet whose processes decide on what they observe themselves.
#[tokio::test]
async fn small_fleet_makes_no_sums() {
    let exchange = Exchange::start(SMALL_FLEET).await;
    exchange.report_in_flight(1, 3).await;
    sleep(SOME_ROUNDS_TIME).await;
    exchange.refresh();
    assert_eq!(exchange.in_flight(), 0.0, "sums without a reader");
}

/// Guards against sums for each choice, and against a choice by sums that are older than a round.
#[tokio::test]
async fn sums_are_used_for_at_most_150_ms() {
    let exchange = Exchange::start(LARGE_FLEET).await;
    exchange.report_in_flight(1, 4).await;
    let process_count = DIRECT_PROCESSES_MAX + 1;
    let shared = &exchange.shared;
    let peer_addr = exchange.peer.local_addr().unwrap();
    let summed_at = shared.now();
    shared
        .reported_loads
        .refresh_for_choice(shared, process_count);
    let before = exchange.in_flight();
    assert!(before > 2.0, "{before}");
    // Without the exchange in between, so that no time passes on a busy machine.
    shared.peer_loads().remove(peer_addr);
    shared
        .reported_loads
        .refresh_for_choice(shared, process_count);
    let is_recent = shared.now() < summed_at + Duration::from_millis(150);
    assert!(exchange.in_flight() > 0.0 || !is_recent, "summed twice");
    sleep(Duration::from_millis(150)).await;
    exchange.refresh();
    assert_eq!(exchange.in_flight(), 0.0, "old sums");
}

/// Guards against a choice in a large fleet that reads sums which nobody makes.
#[tokio::test]
async fn gateway_in_a_large_fleet_avoids_the_target_that_others_load() {
    let reply = || Behaviour::Answer(200, b"good", Duration::ZERO);
    let (loaded, idle) = (
        FakeTarget::always(reply()).await,
        FakeTarget::always(reply()).await,
    );
    let deployment = Deployment::new();
    let routes = vec![route("/one/", Idempotency::Idempotent, "s")];
    deployment.publish_config(config(1, routes, &["s"]));
    deployment.publish_target("loaded", target_record("s", loaded.addr));
    deployment.publish_target("idle", target_record("s", idle.addr));
    let gateway = RunningGateway::start(&deployment).await;
    let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    introduce(&peer, gateway.peer_addr, LARGE_FLEET).await;
    // Two processes, because the figures of a single one are bounded.
    let peer_addr = peer.local_addr().unwrap();
    for addr in [peer_addr, SocketAddr::from(([127, 250, 0, 1], 9))] {
        let report = load_report(addr, 1, "loaded", 4);
        peer.send_to(&report, gateway.peer_addr).await.unwrap();
    }
    sleep(HANDLING_TIME).await;
    for _ in 0..20 {
        assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 200);
    }
    let (loaded, idle) = (
        loaded.received_requests().len(),
        idle.received_requests().len(),
    );
    assert!(idle > loaded * 2, "{loaded} and {idle} requests");
}

/// Guards against a look-up of the metric, by its name and labels, for each load report.
#[tokio::test]
async fn reports_look_up_no_metric() {
    const REPORT_COUNT: u32 = 20;
    const NAME: &str = "limpet_load_reports_total";
    let recorder = CountingRecorder::default();
    let _guard = metrics::set_default_local_recorder(&recorder);
    let exchange = Exchange::start(LARGE_FLEET).await;
    let lookup_count = recorder.lookups(NAME);
    let peer_addr = exchange.peer.local_addr().unwrap();
    let to = exchange.shared.settings.peer_addr;
    for sequence in 1..=REPORT_COUNT {
        let report = load_report(peer_addr, sequence, "t", 1);
        exchange.peer.send_to(&report, to).await.unwrap();
    }
    sleep(HANDLING_TIME).await;
    assert_eq!(recorder.changes(NAME), REPORT_COUNT as usize);
    assert_eq!(recorder.lookups(NAME) - lookup_count, 0);
}

/// Collects log lines in memory.
#[derive(Clone, Default)]
struct LogLines(Arc<Mutex<Vec<u8>>>);

impl Write for LogLines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a warning for each load report of a later release, and against other datagrams that pass for one.
async fn datagram_with_second_byte((second_byte, is_version): (u8, bool)) {
    let recorder = PrometheusBuilder::new().build_recorder();
    let _recorder_guard = metrics::set_default_local_recorder(&recorder);
    let lines = LogLines::default();
    let writer = lines.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(tracing::Level::WARN)
        .with_writer(move || writer.clone())
        .finish();
    let _log_guard = tracing::subscriber::set_default(subscriber);
    let exchange = Exchange::start(SMALL_FLEET).await;
    let to = exchange.shared.settings.peer_addr;
    let datagram = [&[0xff, second_byte], [7; 60].as_slice()].concat();
    exchange.peer.send_to(&datagram, to).await.unwrap();
    sleep(HANDLING_TIME).await;
    let page = recorder.handle().render();
    let counted = "{direction=\"received\",result=\"unknown_version\"} 1";
    assert_eq!(page.contains(counted), is_version, "{page}");
    let text = String::from_utf8(lines.0.lock().unwrap().clone()).unwrap();
    assert_eq!(text.contains("cannot be decoded"), !is_version, "{text}");
    // The exchange goes on.
    exchange.report_in_flight(1, 3).await;
    assert_eq!(exchange.shared.peer_loads().len(), 1);
}

limpet_testkit::async_cases! {
    datagram_with_second_byte:
    last_other_byte => (0xef, false),
    first_version => (0xf0, true),
    later_version => (0xfb, true),
    last_version => (0xff, true),
}

/// Guards against metrics that show the distribution of load of an earlier time, or none.
#[tokio::test]
async fn metrics_page_shows_the_reported_load() {
    let exchange = Exchange::start(LARGE_FLEET).await;
    exchange.report_in_flight(1, 3).await;
    let recorder = PrometheusBuilder::new().build_recorder();
    let endpoints = Endpoints::Admin(Some(recorder.handle()));
    let _guard = metrics::set_default_local_recorder(&recorder);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let mut tasks = JoinSet::new();
    tasks.spawn(admin::serve(
        listener,
        Arc::clone(&exchange.shared),
        endpoints,
    ));
    let page = get(addr, "/metrics").await;
    let page = String::from_utf8(page.body.to_vec()).unwrap();
    assert!(
        page.contains("limpet_target_load_spread{service=\"s\"} 1"),
        "{page}"
    );
}

/// Guards against reports about targets, and reports for each request, in a fleet where no process reads them.
#[tokio::test]
async fn small_fleet_hears_nothing_of_targets() {
    let target = FakeTarget::always(Behaviour::Answer(200, b"good", Duration::ZERO)).await;
    let deployment = Deployment::new();
    let routes = vec![route("/one/", Idempotency::Idempotent, "s")];
    deployment.publish_config(config(1, routes, &["s"]));
    deployment.publish_target("t", target_record("s", target.addr));
    let gateway = RunningGateway::start(&deployment).await;
    let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    // In its first 3 s, a process may not have heard of all others yet.
    sleep(Duration::from_millis(3200)).await;
    introduce(&peer, gateway.peer_addr, SMALL_FLEET).await;
    let mut buffer = vec![0; 16 << 10];
    let mut reports: Vec<LoadReport> = Vec::new();
    let end = Instant::now() + Duration::from_millis(2600);
    while Instant::now() < end {
        assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 200);
        sleep(Duration::from_millis(20)).await;
        while let Ok(size) = peer.try_recv(&mut buffer) {
            reports.extend(decode_load_report(&buffer[..size]));
        }
    }
    assert!(reports.iter().all(|report| report.targets.is_empty()));
    assert!(
        reports.iter().any(|report| !report.services.is_empty()),
        "rates not reported"
    );
    assert!(reports.len() <= 3, "{} reports without news", reports.len());
}
