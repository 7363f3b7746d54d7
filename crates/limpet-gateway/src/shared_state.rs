//! State that all tasks of the process share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use limpet_decide::quarantine::StrikeTable;
use limpet_types::deployment::Route;
use tokio::sync::watch;

use crate::{
    clock::Clock,
    deployment_state::DeploymentState,
    header_names::HeaderNames,
    members::Membership,
    rate::{
        RateLimiter,
        TimeoutEstimator, //
    },
    retry_budget::RetryBudget,
    route_latency::RouteLatency,
    route_table::RouteTable,
    settings::Settings,
    target::Fleet, //
};

/// Divisor of the maximum number of caller connections. Below that share, a refused caller keeps its
/// connection, because a new connection may be routed to a VM that is down.
const REFUSED_CONNECTIONS_DIVISOR: usize = 4;

/// Timeout estimator for the callers of each team.
type TimeoutEstimatorByTeam = HashMap<Box<str>, TimeoutEstimator>;

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
    pub table: ArcSwapOption<RouteTable>,
    is_draining: AtomicBool,
    are_requests_cancelled: watch::Sender<bool>,
    caller_connections: AtomicUsize,
    revision: watch::Sender<u64>,
    state: Mutex<DeploymentState>,
    fleet: Mutex<Fleet>,
    rate_limiter: Mutex<RateLimiter>,
    membership: Mutex<Membership>,
    strikes: Mutex<StrikeTable>,
    budgets: Mutex<HashMap<Box<str>, RetryBudget>>,
    latencies: Mutex<HashMap<Box<str>, RouteLatency>>,
    /// Timeout estimators of the teams, by route.
    timeout_estimators: Mutex<HashMap<Box<str>, TimeoutEstimatorByTeam>>,
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
        let state = DeploymentState::new(settings.lapse_grace);
        Self {
            settings,
            header_names,
            clock: Clock::new(),
            table: ArcSwapOption::empty(),
            is_draining: AtomicBool::new(false),
            are_requests_cancelled: watch::Sender::new(false),
            caller_connections: AtomicUsize::new(0),
            revision: watch::Sender::new(0),
            state: Mutex::new(state),
            fleet: Mutex::new(Fleet::new()),
            rate_limiter: Mutex::new(RateLimiter::new(is_first_start)),
            membership: Mutex::new(membership),
            strikes: Mutex::new(StrikeTable::new()),
            budgets: Mutex::new(HashMap::new()),
            latencies: Mutex::new(HashMap::new()),
            timeout_estimators: Mutex::new(HashMap::new()),
        }
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Locks the state of the deployment.
    pub fn state(&self) -> MutexGuard<'_, DeploymentState> {
        lock(&self.state)
    }

    /// Locks the targets.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    /// Locks the rate limiter of the teams.
    pub fn rate_limiter(&self) -> MutexGuard<'_, RateLimiter> {
        lock(&self.rate_limiter)
    }

    /// Locks the list of the gateway processes.
    pub fn membership(&self) -> MutexGuard<'_, Membership> {
        lock(&self.membership)
    }

    /// Locks the table of requests that are suspected of crashing targets.
    pub fn strikes(&self) -> MutexGuard<'_, StrikeTable> {
        lock(&self.strikes)
    }

    /// Records a request for a service in the retry budget of that service.
    pub fn record_first_attempt(&self, service: &str) {
        let now = self.now();
        let mut budgets = lock(&self.budgets);
        if let Some(budget) = budgets.get_mut(service) {
            budget.record_request(now);
            return;
        }
        let mut budget = RetryBudget::new(self.settings.retry_limits);
        budget.record_request(now);
        budgets.insert(service.into(), budget);
    }

    /// Spends one retry from the budget of a service; false if the budget is exhausted.
    pub fn try_spend_retry(&self, service: &str) -> bool {
        let now = self.now();
        let processes = self.rate_limiter().process_counts().total;
        let mut budgets = lock(&self.budgets);
        let budget = budgets.get_mut(service);
        budget.is_some_and(|budget| budget.try_spend(processes, now))
    }

    /// Calls `apply` with the latency estimate of a route.
    pub fn with_latency<T>(&self, route: &str, apply: impl FnOnce(&mut RouteLatency) -> T) -> T {
        let mut latencies = lock(&self.latencies);
        if let Some(latency) = latencies.get_mut(route) {
            return apply(latency);
        }
        apply(latencies.entry(route.into()).or_default())
    }

    /// Records the timeout of a caller and returns whether an answer can no longer meet the latency goal of
    /// the route.
    ///
    /// A caller that retries after a refusal sends a shorter timeout, which tells how long it has already
    /// waited.
    pub fn misses_latency_goal(&self, route: &Route, team: &str, caller_timeout: Duration) -> bool {
        let waited = {
            let mut timeout_estimators = lock(&self.timeout_estimators);
            let by_team = timeout_estimators.entry(route.name.clone()).or_default();
            let estimator = by_team.entry(team.into()).or_default();
            let waited = estimator.time_waited(caller_timeout);
            estimator.record(caller_timeout);
            waited
        };
        let mean = self.with_latency(&route.name, |latency| latency.mean());
        waited + mean.unwrap_or_default() > route.latency_goal
    }

    /// Installs the newest config of the deployment state.
    pub fn install_config(&self) {
        let config = self.state().config().cloned();
        let Some(config) = config else {
            return;
        };
        let table = Arc::new(RouteTable::new(config));
        self.rate_limiter().set_teams(table.teams(), self.now());
        self.remove_unused(&table);
        self.table.store(Some(table));
    }

    /// Updates the fleet to the targets of the newest deployment state.
    pub fn sync_fleet(&self) {
        let now = self.now();
        let state = self.state();
        self.fleet().sync(&state, now);
    }

    /// Wakes followers if the revision of the deployment state changed.
    pub fn publish_revision(&self) {
        let revision = self.state().revision();
        self.revision.send_if_modified(|known| {
            let is_new = *known != revision;
            *known = revision;
            is_new
        });
    }

    /// Returns a receiver of the revision of the deployment state.
    pub fn subscribe_revisions(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Removes data of routes and services that are no longer in force.
    fn remove_unused(&self, table: &RouteTable) {
        let is_route = |name: &str| table.config().routes.iter().any(|r| &*r.name == name);
        lock(&self.latencies).retain(|name, _| is_route(name));
        lock(&self.timeout_estimators).retain(|name, _| is_route(name));
        lock(&self.budgets).retain(|name, _| table.service(name).is_some());
    }

    /// Returns whether the process is shutting down.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Starts the shutdown: the process is no longer ready and asks callers to close their connections.
    pub fn start_drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Cancels the requests in flight; their callers get an error.
    pub fn cancel_requests(&self) {
        self.are_requests_cancelled.send_replace(true);
    }

    /// Waits until [`SharedState::cancel_requests`] is called.
    pub async fn requests_cancelled(&self) {
        let mut are_requests_cancelled = self.are_requests_cancelled.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = are_requests_cancelled
            .wait_for(|are_requests_cancelled| *are_requests_cancelled)
            .await;
    }

    /// Counts a new caller connection.
    pub fn add_caller_connection(&self) {
        self.caller_connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a closed caller connection.
    pub fn remove_caller_connection(&self) {
        self.caller_connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of open caller connections.
    pub fn caller_connections(&self) -> usize {
        self.caller_connections.load(Ordering::Relaxed)
    }

    /// Returns whether a caller is asked to close its connection after an answer.
    pub fn should_close_connection(&self) -> bool {
        self.is_draining() || self.caller_connections() > self.settings.caller_connections_max
    }

    /// Returns whether a caller is asked to close its connection after a refused request that did not run.
    ///
    /// A refused caller retries on a new connection, so the old one is closed while many are open.
    pub fn should_close_after_refusal(&self) -> bool {
        let limit = self.settings.caller_connections_max / REFUSED_CONNECTIONS_DIVISOR;
        self.should_close_connection() || self.caller_connections() > limit
    }

    /// Returns whether the process can serve requests.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.table.load().is_some() && self.state().has_targets()
    }
}
