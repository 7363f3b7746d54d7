//! State that all tasks of the process share.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicU64,
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use limpet_decide::{
    aggregator::{
        AggregatorChoice,
        AggregatorChooser,
        AggregatorDirectory,
        AggregatorUse,
        PeerEjection,
        Place,
        QueryRate, //
    },
    attempt_budget::SlackShare,
    cold_share,
    peer_load::{
        LoadTracker,
        PeerLoads,
        name_hash, //
    },
    quarantine::StrikeTable,
    shutdown::StopSchedule,
    spread::DIRECT_PROCESSES_MAX,
};
use limpet_peer::PeerClient;
use limpet_types::{
    deployment::Route,
    message::NameHash, //
};
use tokio::sync::watch;

use crate::{
    aggregation_slots::AggregationSlots,
    background_tasks::BackgroundTasks,
    clock::Clock,
    deployment_state::DeploymentState,
    header_names::HeaderNames,
    members::{
        Announcement,
        Membership,
        ReportedLoads, //
    },
    memory::BodyMemory,
    query::AdmissionState,
    rate::{
        RateLimiter,
        WaitTimeEstimator, //
    },
    retry_budget::RetryBudgets,
    route_latency::RouteLatency,
    route_table::RouteTable,
    settings::Settings,
    shutdown_state::ShutdownState,
    target::{
        Fleet,
        RoomNotifier,
        Target, //
    },
};

/// Refused callers are asked to close their connections while more than the maximum number of caller
/// connections divided by this are open. Below that, a refused caller keeps its connection, because a new
/// one may be routed to a VM that is down.
const REFUSED_CONNECTIONS_DIVISOR: usize = 4;

/// Idle timeout of connections to targets before one was seen, in milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 3000;

/// Estimators of the time that callers have already waited, by team.
type WaitTimeEstimatorsByTeam = HashMap<Box<str>, WaitTimeEstimator>;

/// State that all tasks of a gateway process share.
#[derive(Debug)]
pub struct SharedState {
    /// Settings of the process.
    pub settings: Settings,
    /// Header names of the deployment.
    pub header_names: HeaderNames,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Routes, API keys and teams in force; `None` before the first config is installed.
    pub route_table: ArcSwapOption<RouteTable>,
    /// Progress of the shutdown of the process.
    pub shutdown: ShutdownState,
    /// Number of open caller connections.
    caller_connection_count: AtomicUsize,
    /// Latest revision of the deployment state.
    revision_sender: watch::Sender<u64>,
    deployment_state: Mutex<DeploymentState>,
    fleet: Mutex<Fleet>,
    rate_limiter: Mutex<RateLimiter>,
    membership: Mutex<Membership>,
    strike_table: Mutex<StrikeTable>,
    /// Retry budgets, by service.
    retry_budgets: RetryBudgets,
    /// Requests that wait until a target has room, by service.
    pub room_notifier: RoomNotifier,
    /// Latency statistics, by route.
    route_latencies: Mutex<HashMap<Box<str>, RouteLatency>>,
    /// Estimators of the time that callers have already waited, by route and team.
    wait_time_estimators: Mutex<HashMap<Box<str>, WaitTimeEstimatorsByTeam>>,
    /// Memory for the bodies of requests and replies.
    pub body_memory: Arc<BodyMemory>,
    /// Tasks that run beside the requests that started them, and those of the connections to targets.
    pub background_tasks: BackgroundTasks,
    /// Client for calls to other gateway processes.
    pub peer_client: PeerClient,
    /// Processes that may run scatter-gather queries for this one.
    aggregators: Mutex<AggregatorDirectory>,
    aggregator_chooser: Mutex<AggregatorChooser>,
    /// Scatter-gather queries of this process at other processes.
    aggregator_use: Mutex<AggregatorUse>,
    /// Version of the membership at which gone processes were last removed from the directory of aggregators.
    aggregators_version: AtomicU64,
    peer_ejection: Mutex<PeerEjection>,
    /// Load that the other processes report.
    peer_loads: Mutex<PeerLoads>,
    /// Sums of that load, as the choice of a target reads them.
    pub reported_loads: ReportedLoads,
    /// Load that this process reports.
    load_tracker: Mutex<LoadTracker>,
    /// Rate of the scatter-gather queries that callers send to this process.
    query_rate: Mutex<QueryRate>,
    /// Time after which targets close an idle connection, as last seen, in milliseconds.
    idle_timeout_ms: AtomicU64,
    /// Queries that this process runs for others.
    pub aggregation_slots: AggregationSlots,
    /// Queues of the queries that this process runs.
    admission: AdmissionState,
}

/// Locks a field. A poisoned lock is accepted: the fields hold plain data that stays usable after a panic
/// of another task.
fn lock<T>(field: &Mutex<T>) -> MutexGuard<'_, T> {
    field.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SharedState {
    /// Creates the state of a process that has just started.
    pub fn new(settings: Settings, header_names: HeaderNames) -> Self {
        let membership = Membership::new(
            settings.membership_limits,
            settings.peer_addr,
            &settings.seeds,
        );
        let is_first_start = settings.is_first_start;
        let body_memory = Arc::new(BodyMemory::new(settings.body_memory_bytes));
        let mut aggregators = AggregatorDirectory::new();
        aggregators.insert(settings.peer_addr, Announcement::of(&settings).into_node());
        let deployment_state = DeploymentState::new(settings.lapse_limits);
        let aggregation_slots = AggregationSlots::new();
        let retry_budgets = RetryBudgets::new(settings.retry_limits);
        let shutdown = ShutdownState::new(StopSchedule::new(settings.shutdown_timeout));
        Self {
            settings,
            header_names,
            clock: Clock::new(),
            route_table: ArcSwapOption::empty(),
            shutdown,
            caller_connection_count: AtomicUsize::new(0),
            revision_sender: watch::Sender::new(0),
            deployment_state: Mutex::new(deployment_state),
            fleet: Mutex::new(Fleet::new()),
            rate_limiter: Mutex::new(RateLimiter::new(is_first_start)),
            membership: Mutex::new(membership),
            strike_table: Mutex::new(StrikeTable::new()),
            retry_budgets,
            room_notifier: RoomNotifier::new(),
            route_latencies: Mutex::new(HashMap::new()),
            wait_time_estimators: Mutex::new(HashMap::new()),
            body_memory,
            background_tasks: BackgroundTasks::new(),
            peer_client: PeerClient::new(),
            aggregators: Mutex::new(aggregators),
            aggregator_chooser: Mutex::new(AggregatorChooser::new()),
            aggregator_use: Mutex::new(AggregatorUse::new()),
            aggregators_version: AtomicU64::new(0),
            peer_ejection: Mutex::new(PeerEjection::new()),
            peer_loads: Mutex::new(PeerLoads::new()),
            reported_loads: ReportedLoads::default(),
            load_tracker: Mutex::new(LoadTracker::new()),
            query_rate: Mutex::new(QueryRate::new()),
            idle_timeout_ms: AtomicU64::new(DEFAULT_IDLE_TIMEOUT_MS),
            aggregation_slots,
            admission: AdmissionState::new(),
        }
    }

    /// Returns the queues of the queries that this process runs.
    pub const fn admission(&self) -> &AdmissionState {
        &self.admission
    }

    /// Locks the directory of the processes that may run scatter-gather queries for this one.
    pub fn aggregators(&self) -> MutexGuard<'_, AggregatorDirectory> {
        lock(&self.aggregators)
    }

    /// Locks the scatter-gather queries of this process at other processes.
    pub fn aggregator_use(&self) -> MutexGuard<'_, AggregatorUse> {
        lock(&self.aggregator_use)
    }

    /// Chooses where a scatter-gather query runs; `draw` returns random numbers in 0..1.
    pub fn choose_aggregator(
        &self,
        choice: &AggregatorChoice<'_>,
        draw: &mut dyn FnMut() -> f64,
    ) -> Place {
        let mut chooser = lock(&self.aggregator_chooser);
        chooser.choose(&mut self.aggregators(), choice, draw)
    }

    /// Removes the processes that no longer count from the directory of aggregators, so that their capacity does not
    /// keep others out of the extended set.
    pub fn remove_gone_aggregators(&self) {
        let membership = self.membership();
        let version = membership.version();
        if self.aggregators_version.swap(version, Ordering::Relaxed) == version {
            return;
        }
        let own_addr = self.settings.peer_addr;
        // A process may announce itself before its first report arrives.
        let known: HashSet<SocketAddr> = membership.report_addrs().into_iter().collect();
        self.aggregators()
            .retain(|addr| addr == own_addr || known.contains(&addr));
    }

    /// Locks the failures of aggregators.
    pub fn peer_ejection(&self) -> MutexGuard<'_, PeerEjection> {
        lock(&self.peer_ejection)
    }

    /// Locks the load that the other processes report.
    pub fn peer_loads(&self) -> MutexGuard<'_, PeerLoads> {
        lock(&self.peer_loads)
    }

    /// Locks the load that this process reports.
    pub fn load_tracker(&self) -> MutexGuard<'_, LoadTracker> {
        lock(&self.load_tracker)
    }

    /// Records a scatter-gather query of a caller, and returns whether such queries come so often that the
    /// connections to the targets stay warm.
    pub fn record_scatter_gather(&self) -> bool {
        let now = self.now();
        let idle_timeout = Duration::from_millis(self.idle_timeout_ms.load(Ordering::Relaxed));
        let mut query_rate = lock(&self.query_rate);
        query_rate.record(now);
        query_rate.keeps_connections_warm(idle_timeout, now)
    }

    /// Records after which time a target closes an idle connection.
    pub fn record_idle_timeout(&self, idle_timeout: Duration) {
        let idle_timeout_ms = u64::try_from(idle_timeout.as_millis()).unwrap_or(u64::MAX);
        self.idle_timeout_ms
            .store(idle_timeout_ms, Ordering::Relaxed);
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the time since the start of the process, including the time for which the VM was suspended. The
    /// deployment state is timed by this clock, because the deployment changes meanwhile.
    pub fn suspend_aware_now(&self) -> Duration {
        self.clock.suspend_aware_now()
    }

    /// Locks the state of the deployment.
    pub fn deployment_state(&self) -> MutexGuard<'_, DeploymentState> {
        lock(&self.deployment_state)
    }

    /// Locks the targets of the deployment.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Locks the rate limiter of the teams.
    pub fn rate_limiter(&self) -> MutexGuard<'_, RateLimiter> {
        lock(&self.rate_limiter)
    }

    /// Locks the list of the other gateway processes.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        lock(&self.membership)
    }

    /// Locks the table of requests that are suspected of crashing targets.
    pub fn strike_table(&self) -> MutexGuard<'_, StrikeTable> {
        lock(&self.strike_table)
    }

    /// Returns the retry budgets, after the share of this process in the slack of a service was brought up to date.
    pub fn retry_budgets(&self, service: &str) -> &RetryBudgets {
        let now = self.now();
        if self.retry_budgets.needs_share(service, now) {
            let share = self.slack_share(name_hash(service), now);
            self.retry_budgets.set_share(service, share, now);
        }
        &self.retry_budgets
    }

    /// Returns the part of this process in the reported requests for a service; `None` if it or all others reported none.
    pub fn reported_share(&self, service: NameHash, now: Duration) -> Option<f64> {
        let own_per_s = self.load_tracker().reported_rate(service)?;
        self.peer_loads().service_share(service, own_per_s, now)
    }

    /// Returns the share of this process in the slack of a service.
    fn slack_share(&self, service: NameHash, now: Duration) -> SlackShare {
        let process_counts = self.rate_limiter().process_counts();
        if process_counts.total <= DIRECT_PROCESSES_MAX {
            return SlackShare::equal(process_counts.total);
        }
        let use_share = self.reported_share(service, now);
        SlackShare::new(use_share, process_counts.total, process_counts.silent)
    }

    /// Records a request for a service in its retry budget and in the load that this process reports.
    pub fn record_service_request(&self, service: &str) {
        let now = self.now();
        self.load_tracker().record_request(name_hash(service), now);
        self.retry_budgets(service).record_request(service, now);
    }

    /// Returns the time between two requests of this process to a cold target, or `None` if it may send none.
    ///
    /// A process that does not know the others yet sends none, since it cannot know its share.
    pub fn cold_send_interval(&self, target: &Target, rate_per_s: f64) -> Option<Duration> {
        let membership = self.membership();
        let now = self.now();
        if !membership.is_discovery_over(now) {
            return None;
        }
        let own_addr = self.settings.peer_addr;
        let rank = target.cold_rank(membership.version(), || {
            cold_share::rank(&target.id, own_addr, membership.known_addrs())
        });
        cold_share::send_interval(rate_per_s, rank, membership.process_counts(now).total)
    }

    /// Calls `apply` with the latency statistics of a route.
    pub fn with_route_latency<T>(
        &self,
        route: &str,
        apply: impl FnOnce(&mut RouteLatency) -> T,
    ) -> T {
        let mut route_latencies = lock(&self.route_latencies);
        if let Some(latency) = route_latencies.get_mut(route) {
            return apply(latency);
        }
        apply(route_latencies.entry(route.into()).or_default())
    }

    /// Records the timeout that a caller stated, and returns how long it had waited before it sent the request.
    ///
    /// A caller that retries after a refusal sends a shorter timeout than usual. `team` is empty for a request
    /// without a team.
    pub fn record_caller_timeout(
        &self,
        route: &Route,
        team: &str,
        caller_timeout: Duration,
    ) -> Duration {
        let mut wait_time_estimators = lock(&self.wait_time_estimators);
        let estimators_by_team = wait_time_estimators.entry(route.name.clone()).or_default();
        let estimator = estimators_by_team.entry(team.into()).or_default();
        let waited = estimator.time_waited(caller_timeout);
        estimator.record(caller_timeout);
        waited
    }

    /// Installs the newest config of the deployment state: replaces the routes and the teams, and removes the
    /// data of routes and services that the config no longer contains.
    pub fn install_config(&self) {
        let config = self.deployment_state().config().cloned();
        let Some(config) = config else {
            return;
        };
        let route_table = Arc::new(RouteTable::new(config));
        self.rate_limiter()
            .set_teams(route_table.teams(), self.now());
        self.remove_unused(&route_table);
        self.route_table.store(Some(route_table));
    }

    /// Updates the fleet to the targets of the newest deployment state.
    pub fn sync_fleet(&self) {
        let now = self.now();
        let deployment_state = self.deployment_state();
        self.fleet().sync(&deployment_state, now);
        self.room_notifier.wake_all();
    }

    /// Publishes the revision of the deployment state if it changed, which wakes the replies to followers
    /// that wait for a change.
    pub fn publish_revision(&self) {
        let revision = self.deployment_state().revision();
        self.revision_sender.send_if_modified(|published| {
            let is_new = *published != revision;
            *published = revision;
            is_new
        });
    }

    /// Returns a receiver of the revision of the deployment state.
    pub fn subscribe_revisions(&self) -> watch::Receiver<u64> {
        self.revision_sender.subscribe()
    }

    /// Removes the data of routes and services that the config no longer contains.
    fn remove_unused(&self, route_table: &RouteTable) {
        let has_route = |name: &str| {
            route_table
                .config()
                .routes
                .iter()
                .any(|route| &*route.name == name)
        };
        lock(&self.route_latencies).retain(|name, _| has_route(name));
        lock(&self.wait_time_estimators).retain(|name, _| has_route(name));
        let has_service = |name: &str| route_table.service(name).is_some();
        self.retry_budgets.retain(has_service);
        self.room_notifier.retain(has_service);
    }

    /// Counts a new caller connection.
    pub fn add_caller_connection(&self) {
        self.caller_connection_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a closed caller connection.
    pub fn remove_caller_connection(&self) {
        self.caller_connection_count.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of open caller connections.
    pub fn caller_connection_count(&self) -> usize {
        self.caller_connection_count.load(Ordering::Relaxed)
    }

    /// Returns whether a caller is asked to close its connection after an answer.
    pub fn should_close_connection(&self) -> bool {
        self.shutdown.has_begun()
            || self.caller_connection_count() > self.settings.caller_connections_max
    }

    /// Returns whether a caller is asked to close its connection after a refused request that did not run.
    ///
    /// A refused caller retries on a new connection, so the old one is closed while many are open.
    pub fn should_close_after_refusal(&self) -> bool {
        let refused_connections_max =
            self.settings.caller_connections_max / REFUSED_CONNECTIONS_DIVISOR;
        self.should_close_connection() || self.caller_connection_count() > refused_connections_max
    }

    /// Returns whether the process can serve requests: it has a config and a target, and is not shutting
    /// down.
    pub fn is_ready(&self) -> bool {
        !self.shutdown.has_begun()
            && self.route_table.load().is_some()
            && self.deployment_state().has_targets()
    }
}
