//! Measures the latency and CPU time that a relay adds to an attempt, its memory per owned target, and
//! how soon attempts succeed again after a failure.
//!
//! `latency` and `memory` use a `fake-target` in a process of its own, so that its CPU time and memory
//! are not counted.

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
    FleetSettings,
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

/// Any error that ends a measurement.
type MeasureError = Box<dyn std::error::Error + Send + Sync>;

/// Time until the deadline of each attempt.
const ATTEMPT_DEADLINE: Duration = Duration::from_millis(320);
/// Time for which attempts are sent before a measurement, so that the concurrency limit of the target
/// reaches its slots.
const RAMP_DURATION: Duration = Duration::from_millis(2_500);

#[derive(Debug, Parser)]
enum Args {
    /// Latency and CPU time of an attempt with and without the relay, on a running `fake-target`.
    Latency {
        /// Address of the `fake-target`.
        target: SocketAddr,
        /// Number of attempts per measurement.
        #[arg(long, default_value_t = 20_000)]
        attempts: u32,
    },
    /// Resident memory per owned target; needs a `fake-target` that listens on 0.0.0.0.
    Memory {
        /// Port of the `fake-target`.
        port: u16,
    },
    /// Time until an attempt succeeds again after connections fall silent and after a crash.
    Recovery,
}

#[tokio::main]
async fn main() -> Result<(), MeasureError> {
    match Args::parse() {
        Args::Latency { target, attempts } => measure_latency(target, attempts).await,
        Args::Memory { port } => measure_memory(port).await,
        Args::Recovery => measure_recovery().await,
    }
}

/// Returns the context of a relay that is serving.
fn new_context() -> Context {
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
        peer_client: PeerClient::new(),
        settings: Arc::new(settings),
        module_states: Arc::new(ModuleStates::default()),
    }
}

/// Installs a configuration with these targets and makes the relay own them.
fn own_targets(context: &Context, targets: &[SocketAddr]) {
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
        is_open: false,
        is_snapshot_required: false,
        slots: 2,
        connections_max: 25,
        cold_limit: 1,
        is_hedging_allowed: true,
        attempts_max: 2,
        shards: vec![shard],
    };
    let fleet = FleetSettings {
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
    let owned_until = context.board.now() + Duration::from_secs(3_600);
    let ownership_deadlines = targets
        .iter()
        .fold(OwnershipDeadlines::default(), |deadlines, addr| {
            deadlines.with_target(*addr, owned_until)
        });
    context
        .board
        .ownership_deadlines
        .store(Arc::new(ownership_deadlines));
}

/// Returns the request of an attempt on a target.
fn attempt_request(target: SocketAddr, attempt_number: u32) -> AttemptRequest {
    AttemptRequest {
        request_id: u128::from(attempt_number) + 1,
        attempt_number,
        team: "team".into(),
        service: "service".into(),
        shard: "shard".into(),
        target: target.to_string().into(),
        kind: AttemptKind::Search,
        range: KeyRange::full(),
        snapshot: None,
        time_left: ATTEMPT_DEADLINE,
        fingerprint: u64::from(attempt_number),
        record: None,
        ticket: None,
        body: vec![b'q'; 200],
    }
}

/// Latencies of the attempts of one measurement, and their CPU time in total.
struct Measurement {
    latencies: Vec<Duration>,
    cpu_time: Duration,
}

impl Measurement {
    /// Prints percentiles of the latencies and the CPU time per attempt.
    fn print(mut self, name: &str) {
        self.latencies.sort_unstable();
        let percentile_us = |quantile: f64| {
            let index = (self.latencies.len() as f64 * quantile) as usize;
            self.latencies[index.min(self.latencies.len() - 1)].as_micros()
        };
        let cpu_us_per_attempt = self.cpu_time.as_secs_f64() * 1e6 / self.latencies.len() as f64;
        println!(
            "{name}: p50 {} us, p99 {} us, CPU {cpu_us_per_attempt:.1} us per attempt",
            percentile_us(0.5),
            percentile_us(0.99)
        );
    }
}

/// Returns the CPU time of this process.
fn cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// Measures attempts that run one after the other.
async fn measure_sequentially<F, R>(
    attempt_count: u32,
    mut run: F,
) -> Result<Measurement, MeasureError>
where
    F: FnMut(u32) -> R,
    R: Future<Output = Result<(), MeasureError>>,
{
    let mut latencies = Vec::with_capacity(attempt_count as usize);
    let cpu_before = cpu_time();
    for attempt_number in 0..attempt_count {
        let started_at = Instant::now();
        run(attempt_number).await?;
        latencies.push(started_at.elapsed());
    }
    Ok(Measurement {
        latencies,
        cpu_time: cpu_time() - cpu_before,
    })
}

/// Returns an error unless the attempt succeeded.
fn check_success(reply: Option<AttemptReply>) -> Result<(), MeasureError> {
    let reply = reply.ok_or("the process is not a relay")?;
    reply.outcome.map(|_| ()).map_err(Into::into)
}

/// Compares attempts that are sent directly, through a relay in this process, and through its peer
/// server.
async fn measure_latency(target: SocketAddr, attempt_count: u32) -> Result<(), MeasureError> {
    let context = new_context();
    own_targets(&context, &[target]);
    let mut controllers = Controllers::new();
    relay::start(&context, &mut controllers).await?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let server_context = context.clone();
    let server = limpet_peer::serve(listener, move |request| {
        peer_requests::dispatch(server_context.clone(), request)
    });
    let peer_addr = server.local_addr().ok_or("the server has no address")?;
    let stream = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection_task = tokio::spawn(connection);
    let sender = Arc::new(tokio::sync::Mutex::new(sender));
    let send_directly = |attempt_number: u32| {
        let sender = Arc::clone(&sender);
        async move {
            let mut sender = sender.lock().await;
            let request = Request::post("/v1/search")
                .header("host", "target")
                .header(
                    "x-request-id",
                    format!("{:032x}", u128::from(attempt_number) + 1),
                )
                .header("x-attempt", attempt_number)
                .header("x-deadline-ms", "320")
                .header("x-range", "0-4294967296")
                .body(Full::new(Bytes::from(vec![b'q'; 200])))?;
            sender.ready().await?;
            let response = sender.send_request(request).await?;
            response.into_body().collect().await?;
            Ok(())
        }
    };
    let call_in_process = |attempt_number: u32| {
        let context = &context;
        async move {
            check_success(
                relay::handle_attempt(context, attempt_request(target, attempt_number)).await,
            )
        }
    };
    let call_as_peer = |attempt_number: u32| {
        let request = PeerRequest::Attempt(attempt_request(target, attempt_number));
        let peer_client = &context.peer_client;
        async move {
            match peer_client
                .call(peer_addr, &request, ATTEMPT_DEADLINE)
                .await?
            {
                PeerReply::Attempt(reply) => check_success(Some(reply)),
                _ => Err("the peer replied to another request".into()),
            }
        }
    };
    let started_at = Instant::now();
    let mut attempt_number = 0;
    // The relay refuses the first attempts until it serves the target.
    while started_at.elapsed() < RAMP_DURATION {
        let _ = call_in_process(attempt_number).await;
        attempt_number += 1;
    }
    for round in 0..3 {
        println!("round {round}");
        measure_sequentially(attempt_count, send_directly)
            .await?
            .print("bare hyper");
        measure_sequentially(attempt_count, call_in_process)
            .await?
            .print("relay, called in process");
        measure_sequentially(attempt_count, call_as_peer)
            .await?
            .print("relay, called by a peer");
    }
    context.peer_client.close().await;
    server.stop().await;
    controllers.stop().await;
    connection_task.abort();
    Ok(())
}

/// Returns the resident memory of this process in kibibytes.
fn resident_memory_kb() -> Result<u64, MeasureError> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(value
        .ok_or("/proc/self/status has no VmRSS line")?
        .parse()?)
}

/// Measures resident memory and idle CPU time for growing numbers of owned targets.
async fn measure_memory(port: u16) -> Result<(), MeasureError> {
    let context = new_context();
    let mut controllers = Controllers::new();
    relay::start(&context, &mut controllers).await?;
    let resident_without_targets_kb = resident_memory_kb()?;
    println!("0 targets: {resident_without_targets_kb} KB");
    for target_count in [10, 100, 1_000, 5_000] {
        let targets: Vec<SocketAddr> = (0..target_count)
            .map(|i: u32| SocketAddr::from(([127, 1, (i / 250) as u8, (i % 250 + 1) as u8], port)))
            .collect();
        own_targets(&context, &targets);
        let cpu_before = cpu_time();
        let started_at = Instant::now();
        for target in &targets {
            loop {
                let reply = relay::handle_attempt(&context, attempt_request(*target, 0)).await;
                if check_success(reply).is_ok() {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        let ready_after = started_at.elapsed();
        tokio::time::sleep(Duration::from_secs(1)).await;
        let resident_kb = resident_memory_kb()?;
        let cpu_before_idle = cpu_time();
        tokio::time::sleep(Duration::from_secs(2)).await;
        let idle_cpu_percent = (cpu_time() - cpu_before_idle).as_secs_f64() / 2.0 * 100.0;
        println!(
            "{target_count} targets: {resident_kb} KB, {:.1} KB per target, each answered after {} ms, CPU \
             {} ms, idle CPU {idle_cpu_percent:.2}% of a core",
            (resident_kb - resident_without_targets_kb) as f64 / f64::from(target_count),
            ready_after.as_millis(),
            (cpu_before_idle - cpu_before).as_millis(),
        );
    }
    controllers.stop().await;
    Ok(())
}

/// Measures the time from a fault of a target until an attempt succeeds again.
async fn measure_recovery() -> Result<(), MeasureError> {
    let target = FakeTarget::start(TargetSpec::new("a")).await?;
    let addr = target.addr();
    let context = new_context();
    own_targets(&context, &[addr]);
    let mut controllers = Controllers::new();
    relay::start(&context, &mut controllers).await?;
    for (name, fault) in [("silence", Fault::Silence), ("crash", Fault::Crash)] {
        let mut recovery_times = Vec::new();
        let mut attempt_count_before_success = 0;
        for round in 0..20 {
            let ramp_end = Instant::now() + RAMP_DURATION;
            while Instant::now() < ramp_end {
                let _ = relay::handle_attempt(&context, attempt_request(addr, round)).await;
            }
            target.inject(fault);
            let fault_at = Instant::now();
            // Like many callers, sends an attempt every 5 ms without waiting for the earlier ones.
            let (success_sender, mut success_receiver) = tokio::sync::mpsc::unbounded_channel();
            let mut attempt_tasks = tokio::task::JoinSet::new();
            loop {
                let (context, success_sender) = (context.clone(), success_sender.clone());
                attempt_tasks.spawn(async move {
                    let reply = relay::handle_attempt(&context, attempt_request(addr, round)).await;
                    if check_success(reply).is_ok() {
                        let _ = success_sender.send(Instant::now());
                    }
                });
                tokio::select! {
                    success_at = success_receiver.recv() => {
                        recovery_times.push(
                            success_at.ok_or("every attempt failed")?.duration_since(fault_at),
                        );
                        break;
                    }
                    () = tokio::time::sleep(Duration::from_millis(5)) => attempt_count_before_success += 1,
                }
            }
            while attempt_tasks.join_next().await.is_some() {}
        }
        recovery_times.sort_unstable();
        println!(
            "{name}: first success after p50 {} ms, worst {} ms; {:.1} attempts sent before it",
            recovery_times[recovery_times.len() / 2].as_millis(),
            recovery_times[recovery_times.len() - 1].as_millis(),
            f64::from(attempt_count_before_success) / recovery_times.len() as f64,
        );
    }
    controllers.stop().await;
    target.stop().await;
    Ok(())
}
