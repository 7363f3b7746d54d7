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
    latency::RouteLatency,
    members::Membership,
    rate::{
        RateLimiter,
        TimeoutEstimator, //
    },
    retry_budget::RetryBudget,
    route_table::RouteTable,
    settings::Settings,
    target::Fleet, //
};

/// Part of the connections of callers, as a divisor, up to which those of refused callers stay open: with
/// fewer a caller is better served on its old one, since a new one may meet a machine that is down.
const REFUSED_PART: usize = 4;

/// Patience of the callers of each team.
type PatienceByTeam = HashMap<Box<str>, TimeoutEstimator>;

/// State that all tasks of a gateway process share.
#[derive(Debug)]
pub struct SharedState {
    /// Settings of the process.
    pub settings: Settings,
    /// Header names of the deployment.
    pub header_names: HeaderNames,
    /// Time since the start.
    pub clock: Clock,
    /// Routes, keys and teams in force; `None` before the first text.
    pub table: ArcSwapOption<RouteTable>,
    is_draining: AtomicBool,
    has_ended: watch::Sender<bool>,
    caller_connections: AtomicUsize,
    revision: watch::Sender<u64>,
    state: Mutex<DeploymentState>,
    fleet: Mutex<Fleet>,
    rate_limiter: Mutex<RateLimiter>,
    membership: Mutex<Membership>,
    strikes: Mutex<StrikeTable>,
    budgets: Mutex<HashMap<Box<str>, RetryBudget>>,
    latencies: Mutex<HashMap<Box<str>, RouteLatency>>,
    /// Patience of each team's callers, by route.
    patiences: Mutex<HashMap<Box<str>, PatienceByTeam>>,
}

/// Locks a field. A panic of another task leaves plain data behind, which stays usable.
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
            has_ended: watch::Sender::new(false),
            caller_connections: AtomicUsize::new(0),
            revision: watch::Sender::new(0),
            state: Mutex::new(state),
            fleet: Mutex::new(Fleet::new()),
            rate_limiter: Mutex::new(RateLimiter::new(is_first_start)),
            membership: Mutex::new(membership),
            strikes: Mutex::new(StrikeTable::new()),
            budgets: Mutex::new(HashMap::new()),
            latencies: Mutex::new(HashMap::new()),
            patiences: Mutex::new(HashMap::new()),
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

    /// Locks the requests suspected of crashing targets.
    pub fn strikes(&self) -> MutexGuard<'_, StrikeTable> {
        lock(&self.strikes)
    }

    /// Notes a request for a service in its budget.
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

    /// Spends one repeat from the budget of a service.
    pub fn try_spend_retry(&self, service: &str) -> bool {
        let now = self.now();
        let processes = self.rate_limiter().process_counts().total;
        let mut budgets = lock(&self.budgets);
        let budget = budgets.get_mut(service);
        budget.is_some_and(|budget| budget.try_spend(processes, now))
    }

    /// Reads or writes the latencies of a route.
    pub fn with_latency<T>(&self, route: &str, apply: impl FnOnce(&mut RouteLatency) -> T) -> T {
        let mut latencies = lock(&self.latencies);
        if let Some(latency) = latencies.get_mut(route) {
            return apply(latency);
        }
        apply(latencies.entry(route.into()).or_default())
    }

    /// Returns whether a request that states how long its caller waits can no longer meet the goal of its
    /// route, because the caller came back after a refusal.
    pub fn misses_latency_goal(&self, route: &Route, team: &str, stated: Duration) -> bool {
        let waited = {
            let mut patiences = lock(&self.patiences);
            let by_team = patiences.entry(route.name.clone()).or_default();
            let patience = by_team.entry(team.into()).or_default();
            let waited = patience.time_waited(stated);
            patience.record(stated);
            waited
        };
        let mean = self.with_latency(&route.name, |latency| latency.mean());
        waited + mean.unwrap_or_default() > route.latency_goal
    }

    /// Puts the newest text in force.
    pub fn install_config(&self) {
        let text = self.state().config().cloned();
        let Some(text) = text else {
            return;
        };
        let table = Arc::new(RouteTable::new(text));
        self.rate_limiter().set_teams(table.teams(), self.now());
        self.trim(&table);
        self.table.store(Some(table));
    }

    /// Takes over the targets of the newest state.
    pub fn sync_fleet(&self) {
        let now = self.now();
        let state = self.state();
        self.fleet().sync(&state, now);
    }

    /// Wakes followers after a change of the state.
    pub fn publish_revision(&self) {
        let revision = self.state().revision();
        self.revision.send_if_modified(|known| {
            let is_new = *known != revision;
            *known = revision;
            is_new
        });
    }

    /// Returns the revision of the state as it changes.
    pub fn subscribe_revisions(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Forgets routes and services that are no longer in force.
    fn trim(&self, table: &RouteTable) {
        let is_route = |name: &str| table.config().routes.iter().any(|r| &*r.name == name);
        lock(&self.latencies).retain(|name, _| is_route(name));
        lock(&self.patiences).retain(|name, _| is_route(name));
        lock(&self.budgets).retain(|name, _| table.service(name).is_some());
    }

    /// Returns whether the process stops.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Begins the stop of the process.
    pub fn start_drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Gives up the requests that are still running.
    pub fn cancel_requests(&self) {
        self.has_ended.send_replace(true);
    }

    /// Waits until the process gives up its requests.
    pub async fn requests_cancelled(&self) {
        let mut has_ended = self.has_ended.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = has_ended.wait_for(|has_ended| *has_ended).await;
    }

    /// Notes an open connection of a caller.
    pub fn add_caller_connection(&self) {
        self.caller_connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Notes a closed connection of a caller.
    pub fn remove_caller_connection(&self) {
        self.caller_connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of open connections of callers.
    pub fn caller_connections(&self) -> usize {
        self.caller_connections.load(Ordering::Relaxed)
    }

    /// Returns whether callers are asked to close their connections after an answer.
    pub fn should_close_connection(&self) -> bool {
        self.is_draining() || self.caller_connections() > self.settings.caller_connections_max
    }

    /// Returns whether callers are asked to close after a refusal that did not run: they come back on a
    /// new connection, and many of the old ones are open.
    pub fn should_close_after_refusal(&self) -> bool {
        let limit = self.settings.caller_connections_max / REFUSED_PART;
        self.should_close_connection() || self.caller_connections() > limit
    }

    /// Returns whether the process can serve.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.table.load().is_some() && self.state().has_targets()
    }
}
