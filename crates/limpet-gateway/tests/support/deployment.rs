//! Fake deployment whose state the test changes, and gateways that serve it.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{
            AtomicU32,
            Ordering, //
        },
    },
    time::Duration,
};

use http::HeaderName;
use limpet_decide::admission::AdmissionLimits;
use limpet_decide::refresh::{
    LapseLimits,
    RefreshLimits, //
};
use limpet_gateway::{
    HeaderNames,
    Settings,
    Source,
    SourceError,
    SourceErrorKind,
    gateway,
    members::MembershipLimits,
    retry_budget::RetryLimits, //
};
use limpet_types::deployment::{
    CallerLimits,
    Change,
    Config,
    Destination,
    Idempotency,
    Route,
    ScatterGather,
    Service,
    StateUpdate,
    TargetRecord,
    TargetState,
    Team,
    VersionedChange,
    WeightedService, //
};
use tokio::{
    net::TcpListener,
    sync::{
        oneshot,
        watch, //
    },
    task::JoinHandle,
    time::{
        sleep,
        timeout, //
    },
};

/// Peer port of every gateway; below the ephemeral port range, so that no other socket takes it.
pub(crate) const PEER_PORT: u16 = 7102;
/// Longest time that a test waits until a gateway is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits of every gateway for targets whose records lapse around an outage of the source.
pub(crate) const LAPSE_LIMITS: LapseLimits = LapseLimits {
    renewal_time: Duration::from_secs(2),
    contact_time: Duration::from_secs(4),
    age_max: Duration::from_millis(2550),
};

/// Returns the header names of the fake deployment.
pub(crate) fn header_names() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        request_id: name("t-id"),
        deadline_ms: name("t-deadline"),
        api_key: name("t-key"),
        team: name("t-team"),
        expected_target: name("t-expect"),
        target_id: name("t-target"),
        not_run: name("t-not-run"),
        leaving: name("t-leaving"),
        signature: name("t-signature"),
        cold_ms: name("t-cold"),
        part_signatures: name("t-parts"),
        missing_parts: name("t-missing"),
    }
}

/// Returns a service that needs no warm-up.
pub(crate) fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        connections_max: 20,
        warmup_time: Duration::ZERO,
        cold_rate_per_s: 0.0,
    }
}

/// Returns a route to one service, named after its prefix.
pub(crate) fn route(prefix: &str, idempotency: Idempotency, service: &str) -> Route {
    Route {
        name: prefix.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        idempotency,
        timeout: Duration::from_secs(2),
        latency_goal: Duration::from_millis(400),
        attempts_max: 2,
        priority: 1,
        is_public: false,
        destination: Destination::Split(vec![WeightedService {
            service: service.into(),
            weight: 1.0,
        }]),
    }
}

/// Returns a scatter-gather route over shards, named after its prefix.
pub(crate) fn scatter_gather_route(prefix: &str, shards: &[&str], coverage_min: f64) -> Route {
    let mut route = route(prefix, Idempotency::Idempotent, "");
    route.destination = Destination::ScatterGather(ScatterGather {
        shards: shards.iter().map(|shard| (*shard).into()).collect(),
        records_max: 3,
        coverage_min,
    });
    route
}

/// Returns a config with the team `team-a`, whose API key is `key-a`.
pub(crate) fn config(version: u64, routes: Vec<Route>, services: &[&str]) -> Config {
    Config {
        version,
        routes,
        services: services.iter().map(|name| service(name)).collect(),
        teams: Some(vec![Team {
            name: "team-a".into(),
            api_keys: vec!["key-a".into()],
            priority: None,
            rate_per_s: 0.0,
            burst: 0.0,
        }]),
        limits: CallerLimits {
            head_max_bytes: 16 << 10,
            body_max_bytes: 1 << 10,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

/// Returns the record of a ready and warm target in the zone of the gateways.
pub(crate) fn target_record(service: &str, addr: SocketAddr) -> TargetRecord {
    TargetRecord {
        service: service.into(),
        addr,
        zone: "zone-a".into(),
        slots: 2,
        state: TargetState::Ready,
        warmup_left: Duration::ZERO,
        started_ms: None,
    }
}

/// Fake deployment: all changes of its state, which gateways get from a [`Source`].
#[derive(Clone)]
pub(crate) struct Deployment {
    changes: Arc<Mutex<Vec<VersionedChange>>>,
    /// Revision of the latest change.
    revision_sender: watch::Sender<u64>,
    /// Number of times that the waiting watches were cut.
    cut_sender: watch::Sender<u64>,
    /// Number of reads and watches of the source.
    source_call_count: Arc<AtomicU32>,
}

impl Default for Deployment {
    fn default() -> Self {
        Self::new()
    }
}

impl Deployment {
    /// Creates a deployment without config and targets.
    pub(crate) fn new() -> Self {
        Self {
            changes: Arc::default(),
            revision_sender: watch::Sender::new(0),
            cut_sender: watch::Sender::new(0),
            source_call_count: Arc::default(),
        }
    }

    /// Publishes a change at the next revision.
    pub(crate) fn publish(&self, change: Change) {
        let mut changes = self.changes.lock().unwrap();
        let revision = changes.len() as u64 + 1;
        changes.push(VersionedChange { revision, change });
        self.revision_sender.send_replace(revision);
    }

    /// Ends the connections of all waiting watches without a reply.
    pub(crate) fn cut_watches(&self) {
        self.cut_sender.send_modify(|count| *count += 1);
    }

    /// Publishes a config.
    pub(crate) fn publish_config(&self, config: Config) {
        self.publish(Change::Config(Arc::new(config)));
    }

    /// Publishes the record of a target.
    pub(crate) fn publish_target(&self, id: &str, record: TargetRecord) {
        self.publish(Change::Target(id.into(), Arc::new(record)));
    }

    /// Returns a source of this state that fails while `is_source_down` is set.
    pub(crate) fn source(&self, is_source_down: &Arc<Mutex<bool>>) -> Source {
        let (read_deployment, watch_deployment) = (self.clone(), self.clone());
        let (is_read_down, is_watch_down) =
            (Arc::clone(is_source_down), Arc::clone(is_source_down));
        Source {
            read: Box::new(move || {
                read_deployment.count_source_call();
                let update = read_deployment.update_after(0, true);
                let is_down = *is_read_down.lock().unwrap();
                Box::pin(async move {
                    if is_down {
                        Err(unavailable_error())
                    } else {
                        Ok(update)
                    }
                })
            }),
            watch: Box::new(move |after, wait| {
                watch_deployment.count_source_call();
                let deployment = watch_deployment.clone();
                let is_down = *is_watch_down.lock().unwrap();
                Box::pin(async move {
                    if is_down {
                        return Err(unavailable_error());
                    }
                    let mut revision_receiver = deployment.revision_sender.subscribe();
                    let mut cut_receiver = deployment.cut_sender.subscribe();
                    let next_change = revision_receiver.wait_for(|known| *known > after);
                    tokio::select! {
                        _ = timeout(wait, next_change) => {}
                        _ = cut_receiver.changed() => return Err(interrupted_error()),
                    }
                    Ok(deployment.update_after(after, false))
                })
            }),
        }
    }

    /// Returns the same deployment with a count of its own for the calls of the sources that it creates.
    pub(crate) fn with_own_call_count(&self) -> Self {
        Self {
            source_call_count: Arc::default(),
            ..self.clone()
        }
    }

    fn count_source_call(&self) {
        self.source_call_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of reads and watches of all sources of this deployment.
    pub(crate) fn source_call_count(&self) -> u32 {
        self.source_call_count.load(Ordering::Relaxed)
    }

    /// Returns the changes after a revision.
    fn update_after(&self, after: u64, is_full_state: bool) -> StateUpdate {
        let changes = self.changes.lock().unwrap();
        StateUpdate {
            is_full_state,
            revision: changes.len() as u64,
            changes: changes
                .iter()
                .filter(|change| change.revision > after)
                .cloned()
                .collect(),
            age: Duration::ZERO,
        }
    }
}

/// Returns the error of a source that is down.
fn unavailable_error() -> SourceError {
    SourceError::new(SourceErrorKind::Unavailable, "disabled by the test")
}

/// Returns the error of a watch that was cut.
fn interrupted_error() -> SourceError {
    SourceError::new(SourceErrorKind::Interrupted, "cut by the test")
}

/// Returns a loopback address that no other gateway of this run uses, so that no other process can take a
/// port between its selection and its use.
pub(crate) fn unused_loopback_ip() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process_number = std::process::id() % 30_000;
    format!(
        "127.{}.{}.{}",
        100 + process_number / 250,
        1 + process_number % 250,
        number
    )
}

/// Returns settings with free ports of a loopback address.
pub(crate) async fn settings(ip: &str, peer_port: u16) -> Settings {
    let local_addr = |listener: &TcpListener| listener.local_addr().unwrap();
    let bind = || async { TcpListener::bind((ip, 0)).await.unwrap() };
    let listeners = [bind().await, bind().await, bind().await];
    Settings {
        name: ip.into(),
        zone: "zone-a".into(),
        caller_addr: local_addr(&listeners[0]),
        ready_addr: local_addr(&listeners[1]),
        admin_addr: local_addr(&listeners[2]),
        peer_addr: format!("{ip}:{peer_port}").parse().unwrap(),
        seeds: Vec::new(),
        is_first_start: true,
        retry_limits: RetryLimits {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
        },
        membership_limits: MembershipLimits {
            silent_after: Duration::from_millis(700),
            gone_after: Duration::from_secs(12),
            discovery_time: Duration::ZERO,
            report_to_seeds_below: 3,
        },
        refresh_limits: RefreshLimits::new(LAPSE_LIMITS.age_max),
        lapse_limits: LAPSE_LIMITS,
        capacity_cores: 1.0,
        body_memory_bytes: 1 << 20,
        caller_connections_max: 100,
        shutdown_timeout: Duration::from_secs(2),
        overload: AdmissionLimits::default(),
    }
}

/// A gateway that serves a deployment.
pub(crate) struct RunningGateway {
    pub(crate) caller_addr: SocketAddr,
    pub(crate) ready_addr: SocketAddr,
    pub(crate) admin_addr: SocketAddr,
    pub(crate) peer_addr: SocketAddr,
    /// Whether the source of the gateway fails; a test may change this while the gateway runs.
    pub(crate) is_source_down: Arc<Mutex<bool>>,
    stop_sender: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl RunningGateway {
    /// Starts a single gateway and waits until it is ready.
    pub(crate) async fn start(deployment: &Deployment) -> Self {
        let ip = unused_loopback_ip();
        let gateway = Self::start_with(settings(&ip, PEER_PORT).await, deployment).await;
        gateway.wait_ready().await;
        gateway
    }

    /// Starts a gateway with the given settings.
    pub(crate) async fn start_with(settings: Settings, deployment: &Deployment) -> Self {
        Self::start_with_source_switch(settings, deployment, Arc::default()).await
    }

    /// Starts a gateway whose source fails while `is_source_down` is set.
    pub(crate) async fn start_with_source_switch(
        settings: Settings,
        deployment: &Deployment,
        is_source_down: Arc<Mutex<bool>>,
    ) -> Self {
        let (stop_sender, stop_receiver) = oneshot::channel();
        let (_seed_sender, seed_updates) = watch::channel(Vec::new());
        let source = deployment.source(&is_source_down);
        let (caller_addr, ready_addr) = (settings.caller_addr, settings.ready_addr);
        let (admin_addr, peer_addr) = (settings.admin_addr, settings.peer_addr);
        let task = tokio::spawn(async move {
            let shutdown = async {
                let _ = stop_receiver.await;
            };
            let result = gateway::run(
                settings,
                header_names(),
                source,
                None,
                seed_updates,
                shutdown,
            )
            .await;
            result.unwrap();
        });
        Self {
            caller_addr,
            ready_addr,
            admin_addr,
            peer_addr,
            is_source_down,
            stop_sender: Some(stop_sender),
            task,
        }
    }

    /// Waits until the gateway reports that it is ready.
    pub(crate) async fn wait_ready(&self) {
        let ready = async {
            while !self.is_ready().await {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(READY_TIMEOUT, ready)
            .await
            .expect("the gateway does not become ready");
    }

    /// Returns whether the gateway reports that it is ready.
    pub(crate) async fn is_ready(&self) -> bool {
        if tokio::net::TcpStream::connect(self.ready_addr)
            .await
            .is_err()
        {
            return false;
        }
        super::get(self.ready_addr, "/any").await.status == 200
    }

    /// Starts the shutdown of the gateway.
    pub(crate) fn begin_stop(&mut self) {
        if let Some(stop_sender) = self.stop_sender.take() {
            let _ = stop_sender.send(());
        }
    }

    /// Waits until the gateway has stopped.
    pub(crate) async fn wait_stopped(self) {
        self.task.await.unwrap();
    }
}
