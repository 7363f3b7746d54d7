//! State shared by all attempts of a query.

use std::{
    sync::Arc,
    time::Duration, //
};

use limpet_decide::gather::HedgeTiming;
use limpet_types::deployment::Route;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use super::{
    CrashRisk,
    RunStatistics, //
};
use crate::{
    route_table::RouteTable,
    shared_state::SharedState,
    target::OutgoingRequest, //
};

/// An admitted request with everything that its attempts share.
#[derive(Debug)]
pub struct QueryContext {
    /// State that the tasks of the process share.
    pub shared: Arc<SharedState>,
    /// Routes and services of the config under which the request was admitted.
    pub route_table: Arc<RouteTable>,
    /// Route of the request.
    pub route: Route,
    /// The request as it is sent to targets.
    pub request: OutgoingRequest,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// End of the latency goal, counted from the caller's first attempt as far as that is known.
    pub goal_at: Instant,
    /// Priority of the request: that of its team, else that of its route; 0 is the highest.
    pub priority: u32,
    /// When the last attempt must have ended: the end of the timeout of the request, less the time that is
    /// reserved for sending the response.
    pub deadline: Instant,
    /// Hash that identifies repetitions of the same request, see [`request_fingerprint`].
    pub fingerprint: u64,
    /// Number of strikes of the query when it began, see [`limpet_decide::quarantine::StrikeTable::known_strikes`].
    pub known_strikes: usize,
    /// Number of processes that may aggregate if this process is one of them and the query is a scatter-gather one.
    pub aggregator_count: Option<usize>,
    /// What the attempts of this run tell about it.
    pub run_statistics: RunStatistics,
    /// What the attempts of this run tell about whether the query crashes its targets.
    pub crash_risk: CrashRisk,
}

impl QueryContext {
    /// Returns a copy of the query, for a run in another way.
    pub fn copy(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            route_table: Arc::clone(&self.route_table),
            route: self.route.clone(),
            request: self.request.clone(),
            run_statistics: RunStatistics::default(),
            crash_risk: CrashRisk::default(),
            ..*self
        }
    }

    /// Returns whether the query is quarantined, be it since it runs.
    pub fn is_quarantined(&self) -> bool {
        let now = self.shared.now();
        let strike_table = self.shared.strike_table();
        strike_table.is_query_quarantined(self.fingerprint, now)
    }

    /// Returns the request id as text for the log.
    pub fn request_id(&self) -> &str {
        self.request.request_id.to_str().unwrap_or("?")
    }

    /// Returns the time since the caller's first attempt, as far as that is known.
    pub fn time_since_first_attempt(&self) -> Duration {
        (Instant::now() + self.route.latency_goal).saturating_duration_since(self.goal_at)
    }

    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the mean latency of an attempt of the route, `None` if it is not known yet.
    pub fn mean_latency(&self) -> Option<Duration> {
        self.shared
            .with_route_latency(&self.route.name, |latency| latency.mean())
    }

    /// Returns what the delay of a hedge depends on.
    pub fn hedge_timing(&self) -> HedgeTiming {
        let route = &self.route;
        self.shared
            .with_route_latency(&route.name, |latency| HedgeTiming {
                mean_latency: latency.mean(),
                straggler_delay: latency.straggler_delay(),
                goal: route.latency_goal,
            })
    }
}

/// Returns a hash of method, host, path and query, team and body.
///
/// Headers such as the request id are left out, so that repetitions of a request have the same fingerprint.
pub fn request_fingerprint(request: &OutgoingRequest, host: &str, team: Option<&str>) -> u64 {
    let mut hasher = Xxh3::new();
    let uri = request.uri.to_string();
    let parts = [
        request.method.as_str().as_bytes(),
        host.as_bytes(),
        uri.as_bytes(),
        team.unwrap_or_default().as_bytes(),
        &request.body,
    ];
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
