//! Runs scatter-gather queries for other processes.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue, //
};
use limpet_types::{
    deployment::{
        Destination,
        Route, //
    },
    message::{
        GatherRefusal,
        GatherReply,
        GatherRequest, //
    },
};
use tokio::time::Instant;

use super::{
    Answer,
    CrashRisk,
    QueryContext,
    RequestErrorKind,
    RunStatistics,
    admission::run_admitted, //
};
use crate::{
    route_table::RouteTable,
    shared_state::SharedState,
    target::OutgoingRequest, //
};

/// Time that the answer takes back to the process that received the request, and through it.
const RETURN_TIME: Duration = Duration::from_millis(4);

/// Runs a query that another process sent, or refuses it.
pub async fn serve_aggregation(shared: &Arc<SharedState>, request: GatherRequest) -> GatherReply {
    if shared.shutdown.has_begun() {
        return GatherReply::Refused(GatherRefusal::Stopping);
    }
    let Some((route_table, route)) = find_route(shared, &request) else {
        return GatherReply::Refused(GatherRefusal::OtherConfig);
    };
    let Destination::ScatterGather(gather) = &route.destination else {
        return GatherReply::Refused(GatherRefusal::OtherConfig);
    };
    let Some(outgoing_request) = build_outgoing_request(&request) else {
        return GatherReply::Refused(GatherRefusal::OtherConfig);
    };
    let known_strikes = shared
        .strike_table()
        .admit_query(request.fingerprint, shared.now());
    // The process that sent the query may not have heard of the strikes yet.
    let Some(known_strikes) = known_strikes else {
        return GatherReply::Failed {
            is_timed_out: false,
            is_not_run: true,
        };
    };
    // Counts the query for a planned stop; whether it is refused is decided by its queue.
    let _guard = shared.aggregation_slots.begin();
    let now = Instant::now();
    let waited = request.waited.saturating_add(RETURN_TIME);
    let shard_shares = shared.fleet().shard_shares(&gather.shards, shared.now());
    let aggregator_count = shared
        .aggregators()
        .extended_count_with(shared.settings.peer_addr, &shard_shares);
    let goal_at = (now + route.latency_goal).checked_sub(waited);
    let team = outgoing_request
        .headers
        .get(&shared.header_names.team)
        .and_then(|team| team.to_str().ok());
    let team = team.and_then(|name| route_table.teams().find(|team| &*team.name == name));
    let priority = team
        .and_then(|team| team.priority)
        .unwrap_or(route.priority);
    let query = QueryContext {
        shared: Arc::clone(shared),
        goal_at: goal_at.unwrap_or(now),
        priority,
        route_table: Arc::clone(&route_table),
        route: route.clone(),
        request: outgoing_request,
        // Not the caller's first attempt: a query that is repeated still has time for all its parts.
        arrived_at: now,
        deadline: now + request.time_left.min(route.timeout),
        fingerprint: request.fingerprint,
        known_strikes,
        aggregator_count,
        run_statistics: RunStatistics::default(),
        crash_risk: CrashRisk::default(),
    };
    let outcome = run_admitted(Arc::new(query), gather).await;
    let is_busy = matches!(&outcome, Err(error) if error.kind == RequestErrorKind::Overloaded);
    let result = match is_busy {
        true => "busy",
        false => "run",
    };
    metrics::counter!("limpet_aggregations_total", "result" => result).increment(1);
    match outcome {
        Ok(Answer::Gathered {
            signatures,
            missing_count,
            body,
        }) => GatherReply::Gathered {
            signatures: signatures
                .iter()
                .map(|signature| signature.as_bytes().to_vec())
                .collect(),
            missing_count: missing_count as u32,
            body: body.into(),
        },
        // A scatter-gather query has no other answer.
        Ok(Answer::Reply(_)) => GatherReply::Failed {
            is_timed_out: false,
            is_not_run: false,
        },
        Err(_) if is_busy => GatherReply::Refused(GatherRefusal::Busy),
        Err(error) => GatherReply::Failed {
            is_timed_out: error.kind == RequestErrorKind::TimedOut,
            is_not_run: error.is_not_run,
        },
    }
}

/// Returns the route of a query if this process has the config under which the request was admitted.
fn find_route(shared: &SharedState, request: &GatherRequest) -> Option<(Arc<RouteTable>, Route)> {
    let route_table = shared.route_table.load_full()?;
    let config = route_table.config();
    if config.version != request.config_version {
        return None;
    }
    let mut routes = config.routes.iter();
    let route = routes.find(|route| route.name == request.route)?.clone();
    Some((route_table, route))
}

/// Builds the request to targets; returns `None` if the message holds none.
fn build_outgoing_request(request: &GatherRequest) -> Option<OutgoingRequest> {
    let mut headers = HeaderMap::with_capacity(request.headers.len());
    for (name, value) in &request.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(OutgoingRequest {
        method: request.method.parse().ok()?,
        uri: request.uri.parse().ok()?,
        headers,
        body: Bytes::copy_from_slice(&request.body),
        request_id: HeaderValue::from_bytes(&request.request_id).ok()?,
    })
}
