//! Handles one request of a caller: finds its route and team, applies the rate limit and forwards it.

use std::{
    panic::AssertUnwindSafe,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use futures::FutureExt;
use http::{
    HeaderMap, HeaderName, Request, Response,
    header::{
        CONNECTION,
        CONTENT_LENGTH,
        HOST,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE, //
    },
    request::Parts,
};
use http_body_util::Full;
use hyper::body::Incoming;
use limpet_types::deployment::Destination;
use tokio::time::{
    Instant,
    timeout, //
};

use super::response::build_response;
use crate::{
    memory::{
        BodyError,
        receive_body, //
    },
    query::{
        Answer,
        CrashRisk,
        Outcome,
        QueryContext,
        RequestError,
        RequestErrorKind,
        RunStatistics,
        complete_error,
        request_fingerprint,
        run_placed_gather,
        run_split, //
    },
    route_table::RouteTable,
    shared_state::SharedState,
    target::OutgoingRequest,
};

/// Longest time that is reserved at the end of the timeout of a request for sending the response; a tenth of
/// the timeout is reserved if that is shorter.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
/// Value of `Retry-After` while the process has no config.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Value of `Retry-After` while the process shuts down: a new connection reaches another process at once.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::ZERO;
/// Value of `Retry-After` while no memory is left for a large body.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Headers that are not forwarded: the hop-by-hop ones, and `Content-Length`, which hyper sets anew where it
/// is needed.
const HOP_BY_HOP_HEADERS: [HeaderName; 6] = [
    CONNECTION,
    CONTENT_LENGTH,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Fields of the log line of a request that are known only once its config, route and team are.
#[derive(Debug, Default)]
struct RequestLogFields {
    route: Box<str>,
    team: Box<str>,
    /// Version of the config.
    version: u64,
}

/// Answers one request of a caller and logs its outcome.
pub(super) async fn handle_request(
    shared: Arc<SharedState>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let arrived_at = Instant::now();
    let (head, body) = request.into_parts();
    let request_id = head.headers.get(&shared.header_names.request_id).cloned();
    let mut log_fields = RequestLogFields::default();
    let run = run_request(&shared, head, body, arrived_at, &mut log_fields);
    let outcome = tokio::select! {
        // An outcome that is known at the end is better than none.
        biased;
        outcome = answer_after_panic(run) => outcome,
        () = shared.shutdown.requests_cancelled() => Err(RequestError::may_have_run(RequestErrorKind::ShuttingDown)),
    };
    let duration = arrived_at.elapsed();
    let outcome_label = match &outcome {
        Ok(_) => "answered",
        Err(error) => error.kind.label(),
    };
    let missing_count = outcome
        .as_ref()
        .map_or(0, crate::query::Answer::missing_count);
    tracing::info!(
        request_id = request_id
            .as_ref()
            .and_then(|id| id.to_str().ok())
            .unwrap_or("none"),
        route = &*log_fields.route,
        team = &*log_fields.team,
        version = log_fields.version,
        outcome = outcome_label,
        missing = missing_count,
        not_run = outcome.as_ref().err().is_some_and(|error| error.is_not_run),
        took_us = duration.as_micros(),
        "request"
    );
    metrics::counter!("limpet_requests_total", "outcome" => outcome_label).increment(1);
    metrics::histogram!("limpet_request_seconds").record(duration.as_secs_f64());
    build_response(&shared, request_id, outcome)
}

/// Runs a request; if that panics, the caller gets an error like one whose outcome is unknown.
async fn answer_after_panic(run: impl Future<Output = Outcome>) -> Outcome {
    let result = AssertUnwindSafe(run).catch_unwind().await;
    result.unwrap_or_else(|_| {
        tracing::error!("request panicked");
        metrics::counter!("limpet_task_panics_total", "task" => "request").increment(1);
        Err(RequestError::may_have_run(RequestErrorKind::OutcomeUnknown))
    })
}

/// Reads the body, admits the request and runs it at the destination of its route.
async fn run_request(
    shared: &Arc<SharedState>,
    head: Parts,
    body: Incoming,
    arrived_at: Instant,
    log_fields: &mut RequestLogFields,
) -> Outcome {
    let no_config_error =
        RequestError::not_run(RequestErrorKind::NoConfig).with_retry_after(NO_CONFIG_RETRY_AFTER);
    let route_table = shared.route_table.load_full().ok_or(no_config_error)?;
    log_fields.version = route_table.config().version;
    let limits = &route_table.config().limits;
    let caller_timeout = parse_caller_timeout(shared, &head);
    let body = receive_body(body, limits.body_max_bytes, &shared.body_memory);
    let body = timeout(caller_timeout.unwrap_or(limits.head_timeout), body);
    let body = tokio::select! {
        body = body => body,
        () = shared.shutdown.requests_cancelled() => return Err(shutdown_error()),
    };
    let body = body.map_err(|_| RequestError::not_run(RequestErrorKind::BodyTooSlow))?;
    let body = body.map_err(|error| body_error(&error))?;
    let query = admit_request(
        shared,
        route_table,
        head,
        body,
        caller_timeout,
        arrived_at,
        log_fields,
    )?;
    let query = Arc::new(query);
    let outcome = match &query.route.destination {
        Destination::Split(split) => run_split(Arc::clone(&query), split).await,
        Destination::ScatterGather(gather) => run_placed_gather(Arc::clone(&query), gather).await,
    };
    outcome
        .map_err(|error| complete_error(&query, error))
        .map(|answer| reserve_answer(shared, answer))
}

/// Reserves the memory of a merged answer until it is sent; that of a reply was reserved when it arrived.
fn reserve_answer(shared: &SharedState, mut answer: Answer) -> Answer {
    if let Answer::Gathered { body, .. } = &mut answer {
        *body = shared.body_memory.reserve(std::mem::take(body));
    }
    answer
}

/// Returns the timeout that the caller sent, if any.
fn parse_caller_timeout(shared: &SharedState, head: &Parts) -> Option<Duration> {
    let caller_timeout = head.headers.get(&shared.header_names.deadline_ms)?;
    let caller_timeout_ms = caller_timeout.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_millis(caller_timeout_ms))
}

/// Returns the error for a request that does not start because the process shuts down.
const fn shutdown_error() -> RequestError {
    RequestError::not_run(RequestErrorKind::ShuttingDown).with_retry_after(SHUTDOWN_RETRY_AFTER)
}

/// Returns the error for a body that cannot be read.
const fn body_error(error: &BodyError) -> RequestError {
    match error {
        BodyError::TooLarge { .. } => RequestError::not_run(RequestErrorKind::BodyTooLarge),
        BodyError::NoMemory => RequestError::not_run(RequestErrorKind::NoMemory)
            .with_retry_after(NO_MEMORY_RETRY_AFTER),
        BodyError::Broken(_) => RequestError::not_run(RequestErrorKind::BadRequest),
    }
}

/// Finds the route and the team of a request, takes a token from the team's rate limit and builds the request
/// to targets.
fn admit_request(
    shared: &Arc<SharedState>,
    route_table: Arc<RouteTable>,
    head: Parts,
    body: Bytes,
    caller_timeout: Option<Duration>,
    arrived_at: Instant,
    log_fields: &mut RequestLogFields,
) -> Result<QueryContext, RequestError> {
    let header_names = &shared.header_names;
    let bad_request_error = RequestError::not_run(RequestErrorKind::BadRequest);
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.ok_or(bad_request_error)?;
    let request_id = head.headers.get(&header_names.request_id).cloned();
    let request_id = request_id.ok_or(bad_request_error)?;
    let route = route_table.route(host, head.uri.path());
    let route = route
        .ok_or(RequestError::not_run(RequestErrorKind::NoRoute))?
        .clone();
    log_fields.route = route.name.clone();
    let api_key = head
        .headers
        .get(&header_names.api_key)
        .map(|key| key.to_str().unwrap_or_default());
    let bad_key_error = |_| RequestError::not_run(RequestErrorKind::BadKey);
    let team = route_table.team(&route, api_key).map_err(bad_key_error)?;
    let priority = team
        .and_then(|team| team.priority)
        .unwrap_or(route.priority);
    let team = team.map(|team| team.name.clone());
    log_fields.team = team.clone().unwrap_or_default();

    let request_timeout = caller_timeout.unwrap_or(route.timeout).min(route.timeout);
    let response_margin = RESPONSE_MARGIN.min(request_timeout / 10);
    let mean_latency = shared.with_route_latency(&route.name, |latency| latency.mean());
    if !shared.shutdown.may_start_request(&route, mean_latency) {
        return Err(shutdown_error());
    }
    let deadline = arrived_at + request_timeout - response_margin;
    let deadline = shared
        .shutdown
        .cancel_time()
        .map_or(deadline, |cancel_time| deadline.min(cancel_time));
    if deadline <= Instant::now() {
        return Err(RequestError::not_run(RequestErrorKind::TimedOut));
    }

    let mut headers = end_to_end_headers(&head.headers);
    for name in [
        &header_names.api_key,
        &header_names.team,
        &header_names.expected_target,
    ] {
        headers.remove(name);
    }
    if let Some(team) = &team {
        let value = http::HeaderValue::from_str(team).map_err(|_| bad_request_error)?;
        headers.insert(&header_names.team, value);
    }
    let uri = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let request = OutgoingRequest {
        method: head.method,
        uri: uri.parse().map_err(|_| bad_request_error)?,
        headers,
        body,
        request_id,
    };
    let fingerprint = request_fingerprint(&request, host, team.as_deref());
    let known_strikes = shared
        .strike_table()
        .admit_query(fingerprint, shared.now())
        .ok_or_else(|| RequestError::not_run(RequestErrorKind::Quarantined))?;
    let caller_waited = caller_timeout.map_or(Duration::ZERO, |caller_timeout| {
        let team = team.as_deref().unwrap_or_default();
        shared.record_caller_timeout(&route, team, caller_timeout)
    });
    if let Some(team) = &team {
        let is_late = caller_waited + mean_latency.unwrap_or_default() > route.latency_goal;
        let (admission, process_counts) = {
            let mut rate_limiter = shared.rate_limiter();
            let admission = rate_limiter.admit(team, is_late, shared.now());
            (admission, rate_limiter.process_counts())
        };
        admission.map_err(|retry_after| {
            tracing::info!(
                request_id = request.request_id.to_str().unwrap_or("?"), %team,
                retry_after_ms = retry_after.as_millis(), is_late, processes = process_counts.total,
                silent = process_counts.silent, "request refused by the rate limit of its team"
            );
            RequestError::not_run(RequestErrorKind::RateLimited).with_retry_after(retry_after)
        })?;
    }
    Ok(QueryContext {
        shared: Arc::clone(shared),
        route_table,
        goal_at: goal_end(arrived_at, route.latency_goal, caller_waited),
        priority,
        route,
        request,
        arrived_at,
        deadline,
        fingerprint,
        known_strikes,
        aggregator_count: None,
        run_statistics: RunStatistics::default(),
        crash_risk: CrashRisk::default(),
    })
}

/// Returns the end of the goal of a request whose caller had waited before it sent this attempt.
fn goal_end(arrived_at: Instant, goal: Duration, caller_waited: Duration) -> Instant {
    let goal_at = (arrived_at + goal).checked_sub(caller_waited);
    goal_at.unwrap_or(arrived_at)
}

/// Returns the headers without the hop-by-hop ones, including those named in `Connection`.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut end_to_end = headers.clone();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&connection_options) {
        if *name != HOST {
            end_to_end.remove(name);
        }
    }
    end_to_end.remove("keep-alive");
    end_to_end
}
