//! One request of a caller: route, key, rate, then the targets.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
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
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::body::Incoming;
use limpet_decide::quarantine::Restriction;
use limpet_types::deployment::Destination;
use tokio::time::{
    Instant,
    timeout, //
};

use super::respond::respond;
use crate::{
    query::{
        Outcome,
        QueryContext,
        RequestError,
        RequestErrorKind,
        fingerprint,
        run_gather,
        run_single, //
    },
    route_table::RouteTable,
    shared_state::SharedState,
    target::OutgoingRequest,
};

/// Taken off the time of a caller, for the way back.
const CALLER_MARGIN: Duration = Duration::from_millis(20);
/// When a caller may come back that met a process without a text, or a service without a target.
const RETRY_SOON: Duration = Duration::from_millis(200);

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 6] = [
    CONNECTION,
    CONTENT_LENGTH,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// What the log line of a request tells.
#[derive(Debug, Default)]
struct Trace {
    route: Box<str>,
    team: Box<str>,
    version: u64,
}

/// Answers one request.
pub(super) async fn handle(
    shared: Arc<SharedState>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let request_id = head.headers.get(&shared.header_names.request_id).cloned();
    let mut trace = Trace::default();
    let outcome = tokio::select! {
        outcome = run(&shared, head, body, arrived, &mut trace) => outcome,
        () = shared.requests_cancelled() => Err(RequestError::may_have_run(RequestErrorKind::ShuttingDown)),
    };
    let took = arrived.elapsed();
    let label = match &outcome {
        Ok(_) => "answered",
        Err(refusal) => refusal.kind.label(),
    };
    let missing = outcome.as_ref().map_or(0, crate::query::Answer::missing);
    tracing::info!(
        request_id = request_id
            .as_ref()
            .and_then(|id| id.to_str().ok())
            .unwrap_or("none"),
        route = &*trace.route,
        team = &*trace.team,
        version = trace.version,
        outcome = label,
        missing,
        not_run = outcome
            .as_ref()
            .err()
            .is_some_and(|refusal| refusal.is_not_run),
        took_us = took.as_micros(),
        "request"
    );
    metrics::counter!("limpet_requests_total", "outcome" => label).increment(1);
    metrics::histogram!("limpet_request_seconds").record(took.as_secs_f64());
    respond(&shared, request_id, outcome)
}

async fn run(
    shared: &Arc<SharedState>,
    head: Parts,
    body: Incoming,
    arrived: Instant,
    trace: &mut Trace,
) -> Outcome {
    let no_text = RequestError::not_run(RequestErrorKind::NoConfig).with_retry_after(RETRY_SOON);
    let table = shared.table.load_full().ok_or(no_text)?;
    trace.version = table.config().version;
    let limits = &table.config().limits;
    let stated = stated_time(shared, &head);
    let body = Limited::new(body, limits.body_max_bytes).collect();
    let body = timeout(stated.unwrap_or(limits.head_timeout), body).await;
    let body = body.map_err(|_| RequestError::not_run(RequestErrorKind::BodyTooSlow))?;
    let body = body.map_err(|error| body_refusal(&*error))?.to_bytes();
    let query = admit(shared, table, head, body, stated, arrived, trace)?;
    let query = Arc::new(query);
    match &query.route.destination {
        Destination::Split(split) => run_single(Arc::clone(&query), split).await,
        Destination::ScatterGather(gather) => run_gather(Arc::clone(&query), gather).await,
    }
}

/// Returns how long the caller waits, if it says so.
fn stated_time(shared: &SharedState, head: &Parts) -> Option<Duration> {
    let stated = head.headers.get(&shared.header_names.deadline_ms)?;
    let stated_ms = stated.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::from_millis(stated_ms))
}

fn body_refusal(error: &(dyn std::error::Error + Send + Sync + 'static)) -> RequestError {
    match error.is::<http_body_util::LengthLimitError>() {
        true => RequestError::not_run(RequestErrorKind::BodyTooLarge),
        false => RequestError::not_run(RequestErrorKind::BadRequest),
    }
}

/// Finds route and team, takes a token of the team's rate and prepares the request for targets.
fn admit(
    shared: &Arc<SharedState>,
    table: Arc<RouteTable>,
    head: Parts,
    body: Bytes,
    stated: Option<Duration>,
    arrived: Instant,
    trace: &mut Trace,
) -> Result<QueryContext, RequestError> {
    let header_names = &shared.header_names;
    let bad_request = RequestError::not_run(RequestErrorKind::BadRequest);
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.ok_or(bad_request)?;
    let request_id = head.headers.get(&header_names.request_id).cloned();
    let request_id = request_id.ok_or(bad_request)?;
    let route = table.route(host, head.uri.path());
    let route = route
        .ok_or(RequestError::not_run(RequestErrorKind::NoRoute))?
        .clone();
    trace.route = route.name.clone();
    let key = head
        .headers
        .get(&header_names.api_key)
        .map(|key| key.to_str().unwrap_or_default());
    let bad_key = |_| RequestError::not_run(RequestErrorKind::BadKey);
    let team = table
        .team(&route, key)
        .map_err(bad_key)?
        .map(|team| team.name.clone());
    trace.team = team.clone().unwrap_or_default();

    let time = stated.unwrap_or(route.timeout).min(route.timeout);
    let margin = CALLER_MARGIN.min(time / 10);
    let deadline = arrived + time - margin;
    if deadline <= Instant::now() {
        return Err(RequestError::not_run(RequestErrorKind::TimedOut));
    }

    let mut headers = forwarded(&head.headers);
    for name in [
        &header_names.api_key,
        &header_names.team,
        &header_names.expected_target,
    ] {
        headers.remove(name);
    }
    if let Some(team) = &team {
        let value = http::HeaderValue::from_str(team).map_err(|_| bad_request)?;
        headers.insert(&header_names.team, value);
    }
    let uri = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let request = OutgoingRequest {
        method: head.method,
        uri: uri.parse().map_err(|_| bad_request)?,
        headers,
        body,
        request_id,
    };
    let fingerprint = fingerprint(&request, host, team.as_deref());
    if shared.strikes().restriction(fingerprint, shared.now()) == Restriction::Quarantined {
        return Err(RequestError::not_run(RequestErrorKind::Quarantined));
    }
    if let Some(team) = &team {
        let is_late = stated.is_some_and(|stated| shared.misses_latency_goal(&route, team, stated));
        let (admitted, process_counts) = {
            let mut rate_limiter = shared.rate_limiter();
            let admitted = rate_limiter.admit(team, is_late, shared.now());
            (admitted, rate_limiter.process_counts())
        };
        admitted.map_err(|after| {
            tracing::info!(
                request_id = request.request_id.to_str().unwrap_or("?"), %team,
                retry_after_ms = after.as_millis(), is_late, processes = process_counts.total,
                silent = process_counts.silent, "no token of the team's rate"
            );
            RequestError::not_run(RequestErrorKind::RateLimited).with_retry_after(after)
        })?;
    }
    Ok(QueryContext {
        shared: Arc::clone(shared),
        table,
        route,
        request,
        arrived,
        deadline,
        fingerprint,
    })
}

/// Returns the headers without those that concern one connection only.
fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut kept = headers.clone();
    for name in CONNECTION_HEADERS.iter().chain(&named) {
        if *name != HOST {
            kept.remove(name);
        }
    }
    kept.remove("keep-alive");
    kept
}
