//! Load reports between processes: what is sent, and what of the received ones is used.

mod support;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use limpet_decide::peer_load::{
    SERVICES_MAX,
    TARGETS_MAX,
    name_hash, //
};
use limpet_gateway::{
    SharedState,
    members::{
        Gossip,
        Report, //
    },
};
use limpet_types::{
    codec,
    deployment::Idempotency,
    message::{
        GatherLoad,
        LOAD_REPORT_MARKER,
        LoadReport,
        ServiceUse,
        TargetUse, //
    },
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};
use support::{
    Behaviour,
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
    net::UdpSocket,
    task::JoinSet,
    time::{
        sleep,
        timeout, //
    },
};

const SEED: u64 = 20_261_206;
/// Identifier of the process that the tests play. Identifiers of processes are random and mostly this large, and then
/// the first byte of a regular report is 0xfd.
const NODE: u64 = 0x1122_3344_5566_7788;
/// Time in which a process handles the datagrams that were sent to it.
const HANDLING_TIME: Duration = Duration::from_millis(100);

/// Returns the datagram of a regular report of the process that the tests play.
fn regular_datagram(addr: SocketAddr, is_leaving: bool) -> Vec<u8> {
    let report = Report {
        is_leaving,
        ..regular_report(NODE, addr)
    };
    codec::encode(&report).unwrap()
}

/// Returns a load report of a process that runs one query and uses the target `t`.
fn load_report(addr: SocketAddr, sequence: u32) -> LoadReport {
    LoadReport {
        node: NODE,
        addr,
        sequence,
        gathers: GatherLoad {
            running: 1,
            ..GatherLoad::default()
        },
        services: Vec::new(),
        targets: vec![TargetUse {
            target: name_hash("t"),
            in_flight: 2,
            requests_per_10_s: 30,
            rejected_255ths: 0,
            mean_in_flight_1000ths: 0,
        }],
    }
}

/// The exchange of reports of one process without the rest of it, and a socket of another process that it knows.
struct Exchange {
    shared: Arc<SharedState>,
    peer: UdpSocket,
    _tasks: JoinSet<()>,
}

impl Exchange {
    async fn start() -> Self {
        let settings = settings(&unused_loopback_ip(), PEER_PORT).await;
        let shared = Arc::new(SharedState::new(settings, header_names()));
        let gossip = Arc::new(Gossip::bind(Arc::clone(&shared)).await.unwrap());
        let mut tasks = JoinSet::new();
        tasks.spawn(gossip.run());
        let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let exchange = Self {
            shared,
            peer,
            _tasks: tasks,
        };
        let report = regular_datagram(exchange.peer_addr(), false);
        exchange.send(&report).await;
        exchange
    }

    fn peer_addr(&self) -> SocketAddr {
        self.peer.local_addr().unwrap()
    }

    /// Sends a datagram from the known process, and waits until it is handled.
    async fn send(&self, datagram: &[u8]) {
        let to = self.shared.settings.peer_addr;
        self.peer.send_to(datagram, to).await.unwrap();
        sleep(HANDLING_TIME).await;
    }

    /// Returns the number of requests in flight to `t` that reports of others state.
    fn reported_in_flight(&self) -> f64 {
        let now = self.shared.now();
        let loads = self.shared.peer_loads().target_loads(now);
        loads
            .get(&name_hash("t"))
            .map_or(0.0, |load| load.in_flight)
    }
}

/// Guards against processes that do not tell each other their load, or whose reports name other things than the
/// receivers know.
#[tokio::test]
async fn loaded_process_reports_its_targets() {
    let target = FakeTarget::always(Behaviour::Answer(200, b"good", Duration::ZERO)).await;
    let deployment = Deployment::new();
    let routes = vec![route("/one/", Idempotency::Idempotent, "s")];
    deployment.publish_config(config(1, routes, &["s"]));
    deployment.publish_target("t", target_record("s", target.addr));
    let gateway = RunningGateway::start(&deployment).await;
    let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let report = regular_datagram(peer.local_addr().unwrap(), false);
    peer.send_to(&report, gateway.peer_addr).await.unwrap();
    for _ in 0..5 {
        assert_eq!(get(gateway.caller_addr, "/one/a").await.status, 200);
    }
    let mut buffer = vec![0; 16 << 10];
    let received = async {
        loop {
            let size = peer.recv(&mut buffer).await.unwrap();
            let report = decode_load_report(&buffer[..size]);
            if let Some(report) = report.filter(|report| !report.targets.is_empty()) {
                return report;
            }
        }
    };
    let report = timeout(Duration::from_secs(3), received)
        .await
        .expect("no load report with a target");
    assert_eq!(report.addr, gateway.peer_addr);
    assert_eq!(report.targets[0].target, name_hash("t"));
    assert!(report.targets[0].requests_per_10_s >= 1);
}

/// Guards against reports that are not applied, and against the load of a process that left or fell silent.
#[tokio::test]
async fn reported_load_is_used_until_the_sender_leaves_or_stops() {
    let exchange = Exchange::start().await;
    exchange
        .send(&load_datagram(&load_report(exchange.peer_addr(), 1)))
        .await;
    assert!(exchange.reported_in_flight() > 1.0);
    exchange
        .send(&regular_datagram(exchange.peer_addr(), true))
        .await;
    assert!(exchange.shared.peer_loads().is_empty(), "the process left");

    exchange
        .send(&regular_datagram(exchange.peer_addr(), false))
        .await;
    exchange
        .send(&load_datagram(&load_report(exchange.peer_addr(), 2)))
        .await;
    assert!(exchange.reported_in_flight() > 1.0);
    sleep(Duration::from_millis(3300)).await;
    assert!(
        exchange.shared.peer_loads().is_empty(),
        "the reports stopped"
    );
}

/// A change of a load report, which the receiver must not use.
type OddCase = fn(&Exchange, LoadReport) -> Vec<u8>;

/// Guards against the use of a datagram that no process of this fleet sends, and against an exchange of reports
/// that ends because of it.
async fn ignored(change: OddCase) {
    let exchange = Exchange::start().await;
    let report = load_report(exchange.peer_addr(), 1);
    exchange.send(&change(&exchange, report)).await;
    assert!(exchange.shared.peer_loads().is_empty());
    exchange
        .send(&load_datagram(&load_report(exchange.peer_addr(), 2)))
        .await;
    assert!(
        exchange.reported_in_flight() > 1.0,
        "a valid report is not used"
    );
}

limpet_testkit::async_cases! {
    ignored:
    marker_alone => |_, _| LOAD_REPORT_MARKER.to_vec(),
    truncated_report => |_, report| {
        let mut bytes = load_datagram(&report);
        bytes.truncate(bytes.len() - 1);
        bytes
    },
    bytes_after_the_report => |_, report| [load_datagram(&report), vec![0]].concat(),
    too_many_targets => |_, report| {
        let targets = vec![report.targets[0]; TARGETS_MAX + 1];
        load_datagram(&LoadReport { targets, ..report })
    },
    too_many_services => |_, report| {
        let service = ServiceUse { service: 1, requests_per_10_s: 1 };
        load_datagram(&LoadReport { services: vec![service; SERVICES_MAX + 1], ..report })
    },
    oversized_datagram => |_, report| [load_datagram(&report), vec![0; 8 << 10]].concat(),
    unknown_sender => |_, report| {
        let addr = SocketAddr::from(([127, 0, 0, 1], 9));
        load_datagram(&LoadReport { addr, ..report })
    },
    sender_of_another_start => |_, report| load_datagram(&LoadReport { node: NODE + 1, ..report }),
    own_address => |exchange, report| {
        load_datagram(&LoadReport { addr: exchange.shared.settings.peer_addr, ..report })
    },
}

/// Guards against a process outside the fleet that reports load in the name of a member.
#[tokio::test]
async fn report_that_a_stranger_sends_is_ignored() {
    let exchange = Exchange::start().await;
    let stranger = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let report = load_datagram(&load_report(exchange.peer_addr(), 1));
    let to = exchange.shared.settings.peer_addr;
    stranger.send_to(&report, to).await.unwrap();
    sleep(HANDLING_TIME).await;
    assert!(exchange.shared.peer_loads().is_empty());
}

/// Guards against odd bytes that end the exchange of reports.
#[tokio::test]
async fn mutated_reports_do_no_harm() {
    let exchange = Exchange::start().await;
    let mut rng = StdRng::seed_from_u64(SEED);
    let report = load_datagram(&load_report(exchange.peer_addr(), 1));
    for _ in 0..600 {
        let mut mutated = report.clone();
        for _ in 0..rng.random_range(1..5) {
            let index = rng.random_range(2..mutated.len());
            mutated[index] = rng.random();
        }
        let to = exchange.shared.settings.peer_addr;
        exchange.peer.send_to(&mutated, to).await.unwrap();
    }
    sleep(HANDLING_TIME).await;
    assert!(exchange.shared.peer_loads().len() <= 1);
    // A mutated report may have stated a late sequence number; it is forgotten after a while.
    sleep(Duration::from_millis(3300)).await;
    exchange
        .send(&load_datagram(&load_report(exchange.peer_addr(), 2)))
        .await;
    assert!(exchange.reported_in_flight() > 1.0);
}
