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
use limpet_decide::{
    cold_share,
    quarantine::StrikeTable, //
};
use limpet_types::deployment::Route;
use tokio::sync::watch;

use crate::{
    clock::Clock,
    deployment_state::DeploymentState,
    header_names::HeaderNames,
    members::Membership,
    rate::{
        RateLimiter,
        WaitTimeEstimator, //
    },
    retry_budget::RetryBudget,
    route_latency::RouteLatency,
    route_table::RouteTable,
    settings::Settings,
    target::{
        Fleet,
        Target, //
    },
};

/// Refused callers are asked to close their connections while more than the maximum number of caller
/// connections divided by this are open. Below that, a refused caller keeps its connection, because a new
/// one may be routed to a VM that is down.
const REFUSED_CONNECTIONS_DIVISOR: usize = 4;

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
    /// Whether the process is shutting down.
    is_draining: AtomicBool,
    /// Whether the requests in flight are cancelled.
    cancel_sender: watch::Sender<bool>,
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
    retry_budgets: Mutex<HashMap<Box<str>, RetryBudget>>,
    /// Latency statistics, by route.
    route_latencies: Mutex<HashMap<Box<str>, RouteLatency>>,
    /// Estimators of the time that callers have already waited, by route and team.
    wait_time_estimators: Mutex<HashMap<Box<str>, WaitTimeEstimatorsByTeam>>,
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
        let deployment_state = DeploymentState::new(settings.lapse_grace);
        Self {
            settings,
            header_names,
            clock: Clock::new(),
            route_table: ArcSwapOption::empty(),
            is_draining: AtomicBool::new(false),
            cancel_sender: watch::Sender::new(false),
            caller_connection_count: AtomicUsize::new(0),
            revision_sender: watch::Sender::new(0),
            deployment_state: Mutex::new(deployment_state),
            fleet: Mutex::new(Fleet::new()),
            rate_limiter: Mutex::new(RateLimiter::new(is_first_start)),
            membership: Mutex::new(membership),
            strike_table: Mutex::new(StrikeTable::new()),
            retry_budgets: Mutex::new(HashMap::new()),
            route_latencies: Mutex::new(HashMap::new()),
            wait_time_estimators: Mutex::new(HashMap::new()),
        }
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Duration {
        self.clock.now()
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

    /// Records a request for a service in the retry budget of that service.
    pub fn record_service_request(&self, service: &str) {
        let now = self.now();
        let mut retry_budgets = lock(&self.retry_budgets);
        if let Some(budget) = retry_budgets.get_mut(service) {
            budget.record_request(now);
            return;
        }
        let mut budget = RetryBudget::new(self.settings.retry_limits);
        budget.record_request(now);
        retry_budgets.insert(service.into(), budget);
    }

    /// Spends one retry from the budget of a service; returns false if the budget is exhausted.
    pub fn try_spend_retry(&self, service: &str) -> bool {
        let now = self.now();
        let process_count = self.rate_limiter().process_counts().total;
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = retry_budgets.get_mut(service);
        budget.is_some_and(|budget| budget.try_spend(process_count, now))
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

    /// Records the timeout that a caller stated, and returns whether an answer can no longer meet the latency
    /// goal of the route.
    ///
    /// A caller that retries after a refusal sends a shorter timeout, which tells how long it has already
    /// waited.
    pub fn record_caller_timeout(
        &self,
        route: &Route,
        team: &str,
        caller_timeout: Duration,
    ) -> bool {
        let waited = {
            let mut wait_time_estimators = lock(&self.wait_time_estimators);
            let estimators_by_team = wait_time_estimators.entry(route.name.clone()).or_default();
            let estimator = estimators_by_team.entry(team.into()).or_default();
            let waited = estimator.time_waited(caller_timeout);
            estimator.record(caller_timeout);
            waited
        };
        let mean_latency = self.with_route_latency(&route.name, |latency| latency.mean());
        waited + mean_latency.unwrap_or_default() > route.latency_goal
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
        lock(&self.retry_budgets).retain(|name, _| route_table.service(name).is_some());
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
        self.cancel_sender.send_replace(true);
    }

    /// Waits until [`SharedState::cancel_requests`] is called.
    pub async fn requests_cancelled(&self) {
        let mut cancel_receiver = self.cancel_sender.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = cancel_receiver.wait_for(|is_cancelled| *is_cancelled).await;
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
        self.is_draining() || self.caller_connection_count() > self.settings.caller_connections_max
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
        !self.is_draining()
            && self.route_table.load().is_some()
            && self.deployment_state().has_targets()
    }
}
