//! Measures what a relay adds to an attempt, what an owned target costs, and how fast it recovers.
//!
//! `latency` and `memory` need a `fake-target` process, so that its CPU and memory are not counted.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use clap::Parser;
use http::Request;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use limpet_config::{
    Config,
    Fleet,
    Service,
    ServiceKind,
    Shard,
    Target,
    TargetState,
    Zone,
    ZoneState, //
};
use limpet_fakes::target::{
    FakeTarget,
    Fault,
    TargetSpec, //
};
use limpet_peer::PeerClient;
use limpet_types::{
    KeyRange, NodeId, Phase, Role,
    message::{
        AttemptKind,
        AttemptReply,
        AttemptRequest,
        PeerReply,
        PeerRequest, //
    },
};
use limpetshuntd::{
    Blackboard,
    Settings,
    blackboard::{
        ConfigInForce,
        OwnershipDeadlines, //
    },
    controllers::Controllers,
    daemon::{
        Context,
        ModuleStates, //
    },
    peer_requests,
    relay, //
};
use rustix::time::{
    ClockId,
    clock_gettime, //
};
use tokio::net::{
    TcpListener,
    TcpStream, //
};

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Deadline of measured attempts.
const DEADLINE: Duration = Duration::from_millis(320);
/// Time that the ramp of a target needs to reach its slots.
const RAMP: Duration = Duration::from_millis(2_500);

#[derive(Debug, Parser)]
enum Args {
    /// Added latency and CPU of one attempt against a running `fake-target`.
    Latency {
        /// Its address.
        target: SocketAddr,
        /// Attempts per measurement.
        #[arg(long, default_value_t = 20_000)]
        attempts: u32,
    },
    /// Resident memory per owned target; the `fake-target` listens on 0.0.0.0 at this port.
    Memory {
        /// Port.
        port: u16,
    },
    /// Time to the next success after a silent connection and after a crash.
    Recovery,
}

#[tokio::main]
async fn main() -> Result<(), Failure> {
    match Args::parse() {
        Args::Latency { target, attempts } => latency(target, attempts).await,
        Args::Memory { port } => memory(port).await,
        Args::Recovery => recovery().await,
    }
}

fn context() -> Context {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let board = Blackboard::new(NodeId::new(addr, 1), Role::Relay, "a".into());
    board
        .config_fresh_until_us
        .store(u64::MAX / 2_000, Ordering::Release);
    board.phase.send_replace(Phase::Serving);
    let settings = Settings::parse_from([
        "limpetshuntd",
        "relay",
        "--ip=127.0.0.1",
        "--zone=a",
        "--config-service=127.0.0.1:1",
        "--vm-list=127.0.0.1:1",
        "--admin-addr=127.0.0.1:1",
    ]);
    Context {
        board,
        peers: PeerClient::new(),
        settings: Arc::new(settings),
        module_states: Arc::new(ModuleStates::default()),
    }
}

fn own(context: &Context, targets: &[SocketAddr]) {
    let targets_of_shard = targets.iter().map(|addr| Target {
        name: addr.to_string().into(),
        addr: *addr,
        zone: "a".into(),
        state: TargetState::Live,
    });
    let shard = Shard {
        name: "shard".into(),
        range: KeyRange::full(),
        targets: targets_of_shard.collect(),
    };
    let service = Service {
        name: "service".into(),
        kind: ServiceKind::Search,
        open: false,
        snapshot: false,
        slots: 2,
        connections_max: 25,
        cold_limit: 1,
        hedge: true,
        attempts_max: 2,
        shards: vec![shard],
    };
    let fleet = Fleet {
        vms_max: 3,
        freshness_limit: Duration::from_secs(4),
    };
    let zones = vec![Zone {
        name: "a".into(),
        state: ZoneState::Enabled,
    }];
    let config = Config::new(fleet, zones, Vec::new(), vec![service], Vec::new());
    context
        .board
        .config_in_force
        .store(Some(Arc::new(ConfigInForce {
            revision: 1,
            digest: [0; 32],
            text: "".into(),
            config,
        })));
    let until = context.board.now() + Duration::from_secs(3_600);
    let owned = targets
        .iter()
        .fold(OwnershipDeadlines::default(), |owned, addr| {
            owned.with_target(*addr, until)
        });
    context.board.ownership_deadlines.store(Arc::new(owned));
}

fn attempt(target: SocketAddr, number: u32) -> AttemptRequest {
    AttemptRequest {
        request_id: u128::from(number) + 1,
        attempt: number,
        team: "team".into(),
        service: "service".into(),
        shard: "shard".into(),
        target: target.to_string().into(),
        kind: AttemptKind::Search,
        range: KeyRange::full(),
        snapshot: None,
        time_left: DEADLINE,
        fingerprint: u64::from(number),
        record: None,
        ticket: None,
        body: vec![b'q'; 200],
    }
}

/// Latencies and CPU time of one measurement.
struct Measured {
    latencies: Vec<Duration>,
    cpu: Duration,
}

impl Measured {
    fn print(mut self, name: &str) {
        self.latencies.sort_unstable();
        let at = |share: f64| {
            let index = (self.latencies.len() as f64 * share) as usize;
            self.latencies[index.min(self.latencies.len() - 1)].as_micros()
        };
        let cpu_us = self.cpu.as_secs_f64() * 1e6 / self.latencies.len() as f64;
        println!(
            "{name}: p50 {} us, p99 {} us, CPU {cpu_us:.1} us per attempt",
            at(0.5),
            at(0.99)
        );
    }
}

fn cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// Runs attempts one after the other.
async fn measure<F, R>(attempts: u32, mut run: F) -> Result<Measured, Failure>
where
    F: FnMut(u32) -> R,
    R: Future<Output = Result<(), Failure>>,
{
    let mut latencies = Vec::with_capacity(attempts as usize);
    let before = cpu_time();
    for number in 0..attempts {
        let start = Instant::now();
        run(number).await?;
        latencies.push(start.elapsed());
    }
    Ok(Measured {
        latencies,
        cpu: cpu_time() - before,
    })
}

fn succeeded(reply: Option<AttemptReply>) -> Result<(), Failure> {
    let reply = reply.ok_or("no reply")?;
    reply.outcome.map(|_| ()).map_err(Into::into)
}

async fn latency(target: SocketAddr, attempts: u32) -> Result<(), Failure> {
    let context = context();
    own(&context, &[target]);
    let mut controllers = Controllers::new();
    relay::start(&context, &mut controllers).await?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let serving = context.clone();
    let server = limpet_peer::serve(listener, move |request| {
        peer_requests::dispatch(serving.clone(), request)
    });
    let peer = server.local_addr().ok_or("no address")?;
    let stream = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let sender = Arc::new(tokio::sync::Mutex::new(sender));
    let bare = |number: u32| {
        let sender = Arc::clone(&sender);
        async move {
            let mut sender = sender.lock().await;
            let request = Request::post("/v1/search")
                .header("host", "target")
                .header("x-request-id", format!("{:032x}", u128::from(number) + 1))
                .header("x-attempt", number)
                .header("x-deadline-ms", "320")
                .header("x-range", "0-4294967296")
                .body(Full::new(Bytes::from(vec![b'q'; 200])))?;
            sender.ready().await?;
            let response = sender.send_request(request).await?;
            response.into_body().collect().await?;
            Ok(())
        }
    };
    let direct = |number: u32| {
        let context = &context;
        async move { succeeded(relay::handle_attempt(context, attempt(target, number)).await) }
    };
    let through_peer = |number: u32| {
        let request = PeerRequest::Attempt(attempt(target, number));
        let peers = &context.peers;
        async move {
            match peers.call(peer, &request, DEADLINE).await? {
                PeerReply::Attempt(reply) => succeeded(Some(reply)),
                _ => Err("another reply".into()),
            }
        }
    };
    let start = Instant::now();
    let mut number = 0;
    while start.elapsed() < RAMP {
        let _ = direct(number).await;
        number += 1;
    }
    for round in 0..3 {
        println!("round {round}");
        measure(attempts, bare).await?.print("bare hyper");
        measure(attempts, direct)
            .await?
            .print("relay, called in process");
        measure(attempts, through_peer)
            .await?
            .print("relay, called by a peer");
    }
    context.peers.close().await;
    server.stop().await;
    controllers.stop().await;
    driver.abort();
    Ok(())
}

fn resident_kb() -> Result<u64, Failure> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let text = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(text.ok_or("no VmRSS")?.parse()?)
}

async fn memory(port: u16) -> Result<(), Failure> {
    let context = context();
    let mut controllers = Controllers::new();
    relay::start(&context, &mut controllers).await?;
    let idle = resident_kb()?;
    println!("0 targets: {idle} KB");
    for count in [10, 100, 1_000, 5_000] {
        let targets: Vec<SocketAddr> = (0..count)
            .map(|i: u32| SocketAddr::from(([127, 1, (i / 250) as u8, (i % 250 + 1) as u8], port)))
            .collect();
        own(&context, &targets);
        let before = cpu_time();
        let start = Instant::now();
        for target in &targets {
            loop {
                let reply = relay::handle_attempt(&context, attempt(*target, 0)).await;
                if succeeded(reply).is_ok() {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        let ready = start.elapsed();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let resident = resident_kb()?;
        let idle_cpu = cpu_time();
        tokio::time::sleep(Duration::from_secs(2)).await;
        let idle_share = (cpu_time() - idle_cpu).as_secs_f64() / 2.0 * 100.0;
        println!(
            "{count} targets: {resident} KB, {:.1} KB per target, each answered after {} ms, CPU \
             {} ms, idle CPU {idle_share:.2}% of a core",
            (resident - idle) as f64 / f64::from(count),
            ready.as_millis(),
            (idle_cpu - before).as_millis(),
        );
    }
    controllers.stop().await;
    Ok(())
}

async fn recovery() -> Result<(), Failure> {
    let target = FakeTarget::start(TargetSpec::new("a")).await?;
    let addr = target.addr();
    let context = context();
    own(&context, &[addr]);
    let mut controllers = Controllers::new();
    relay::start(&context, &mut controllers).await?;
    for (name, fault) in [("silence", Fault::Silence), ("crash", Fault::Crash)] {
        let mut times = Vec::new();
        let mut failures = 0;
        for round in 0..20 {
            let warm_until = Instant::now() + RAMP;
            while Instant::now() < warm_until {
                let _ = relay::handle_attempt(&context, attempt(addr, round)).await;
            }
            target.inject(fault);
            let start = Instant::now();
            // An attempt every 5 ms, as from many callers; the first success counts.
            let (first, mut successes) = tokio::sync::mpsc::unbounded_channel();
            let mut sent = tokio::task::JoinSet::new();
            loop {
                let (context, first) = (context.clone(), first.clone());
                sent.spawn(async move {
                    let reply = relay::handle_attempt(&context, attempt(addr, round)).await;
                    if succeeded(reply).is_ok() {
                        let _ = first.send(Instant::now());
                    }
                });
                tokio::select! {
                    at = successes.recv() => {
                        times.push(at.ok_or("no attempt left")?.duration_since(start));
                        break;
                    }
                    () = tokio::time::sleep(Duration::from_millis(5)) => failures += 1,
                }
            }
            while sent.join_next().await.is_some() {}
        }
        times.sort_unstable();
        println!(
            "{name}: first success after p50 {} ms, worst {} ms; {:.1} attempts sent before it",
            times[times.len() / 2].as_millis(),
            times[times.len() - 1].as_millis(),
            f64::from(failures) / times.len() as f64,
        );
    }
    controllers.stop().await;
    target.stop().await;
    Ok(())
}
