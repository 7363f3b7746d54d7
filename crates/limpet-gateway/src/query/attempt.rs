//! One attempt: one request to one target.

use std::{
    sync::Arc,
    time::Duration, //
};

use http::{
    HeaderValue,
    Request,
    Version, //
};
use http_body_util::Full;
use tokio::time::Instant;

use super::{
    QueryContext,
    crash, //
};
use crate::target::{
    AttemptError,
    AttemptErrorKind,
    Connection,
    InFlightGuard,
    Target,
    TargetReply, //
};

/// Longest time for a new connection. The packet that opens one is repeated only after a second, by
/// when another target has answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Multiple of the mean latency after which a target that has not answered counts as silent; ordinary
/// requests with the longest work take some five times the mean.
const SILENCE_MEANS: u32 = 6;
/// Taken off the time that a target gets, for the way back to the caller.
const REPLY_MARGIN: Duration = Duration::from_millis(5);

/// Sends the request of `query` to `target` and checks that the reply belongs to it.
pub(super) async fn run_attempt(
    query: &QueryContext,
    target: &Arc<Target>,
    connections_limit: usize,
) -> Result<TargetReply, AttemptError> {
    let shared = &query.shared;
    let _in_flight = InFlightGuard::new(target);
    let mut waiting = Waiting::new(query, target);
    let result = exchange(query, target, connections_limit).await;
    let (latency, now) = waiting.end();
    let mean = shared.with_latency(&query.route.name, |latency| latency.mean());
    match &result {
        Ok(reply) if reply.status.is_server_error() => {
            target.health().record_failure(now);
        }
        Ok(_) => {
            target.health().record_success(latency, mean, now);
            shared.with_latency(&query.route.name, |known| known.record(latency));
        }
        Err(error) => {
            match error.kind {
                AttemptErrorKind::ConnectionLimit => {}
                AttemptErrorKind::Unreachable | AttemptErrorKind::Timeout => {
                    target.health().record_no_reply(now);
                }
                _ => target.health().record_failure(now),
            }
            if error.kind == AttemptErrorKind::InvalidReply {
                crash::check(query, target);
            }
            tracing::info!(
                request_id = query.request_id(), target_id = %target.id, addr = %target.addr,
                error = error.kind.label(), context = %error.context,
                took_us = latency.as_micros(), "attempt failed"
            );
            metrics::counter!("limpet_attempt_failures_total", "kind" => error.kind.label())
                .increment(1);
        }
    }
    metrics::histogram!("limpet_attempt_seconds").record(latency.as_secs_f64());
    result
}

/// Notes a target that had not answered when its attempt was given up.
struct Waiting<'a> {
    query: &'a QueryContext,
    target: &'a Target,
    started: Duration,
    is_over: bool,
}

impl<'a> Waiting<'a> {
    fn new(query: &'a QueryContext, target: &'a Target) -> Self {
        Self {
            query,
            target,
            started: query.shared.now(),
            is_over: false,
        }
    }

    /// Ends the wait with an outcome; returns how long it took and the time.
    fn end(&mut self) -> (Duration, Duration) {
        self.is_over = true;
        let now = self.query.shared.now();
        (now.saturating_sub(self.started), now)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let (waited, now) = self.end();
        let route = &self.query.route.name;
        let mean = self
            .query
            .shared
            .with_latency(route, |latency| latency.mean());
        let Some(mean) = mean.filter(|mean| waited > *mean * SILENCE_MEANS) else {
            return;
        };
        let mut health = self.target.health();
        health.record_straggler(waited, Some(mean), now);
        health.record_no_reply(now);
    }
}

async fn exchange(
    query: &QueryContext,
    target: &Arc<Target>,
    connections_limit: usize,
) -> Result<TargetReply, AttemptError> {
    let mut first_try = true;
    loop {
        let (connection, slot) = connect(query, target, connections_limit).await?;
        let is_reused = connection.is_reused();
        let request = outgoing(query, target)?;
        let result = connection.exchange(request, query.deadline).await;
        match result {
            Ok((reply, kept)) => return accept(query, target, reply, kept, slot),
            // The target closed an idle connection before anything was sent on it.
            Err(error) if first_try && is_reused && error.kind == AttemptErrorKind::Unreachable => {
                first_try = false;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Holds the place of an open connection in the pool until it is kept or dropped.
struct Slot(Option<Arc<Target>>);

impl Slot {
    fn keep(mut self, connection: Connection) {
        if let Some(target) = self.0.take() {
            target.pool().put_idle(connection);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(target) = &self.0 {
            target.pool().release();
        }
    }
}

async fn connect(
    query: &QueryContext,
    target: &Arc<Target>,
    connections_limit: usize,
) -> Result<(Connection, Slot), AttemptError> {
    let idle = target.pool().take_idle();
    if let Some(connection) = idle {
        return Ok((connection, Slot(Some(Arc::clone(target)))));
    }
    if !target.pool().reserve(connections_limit) {
        let context = "every connection of this process is in use";
        return Err(AttemptError::new(
            AttemptErrorKind::ConnectionLimit,
            context,
        ));
    }
    let slot = Slot(Some(Arc::clone(target)));
    metrics::counter!("limpet_target_connections_total").increment(1);
    let deadline = query.deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let connection = Connection::open(target.addr, deadline).await?;
    Ok((connection, slot))
}

fn outgoing(
    query: &QueryContext,
    target: &Target,
) -> Result<Request<Full<bytes::Bytes>>, AttemptError> {
    let header_names = &query.shared.header_names;
    let fail = |error: &dyn std::fmt::Display| {
        AttemptError::new(AttemptErrorKind::Unreachable, error) //
    };
    let mut request = Request::new(Full::new(query.request.body.clone()));
    *request.method_mut() = query.request.method.clone();
    *request.uri_mut() = query.request.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = query.request.headers.clone();
    let left_ms = query.left().saturating_sub(REPLY_MARGIN).as_millis() as u64;
    let id = HeaderValue::from_str(&target.id).map_err(|error| fail(&error))?;
    let headers = request.headers_mut();
    headers.insert(&header_names.deadline_ms, HeaderValue::from(left_ms.max(1)));
    headers.insert(&header_names.expected_target, id);
    Ok(request)
}

/// Checks whose reply it is and whether the target ran the request.
fn accept(
    query: &QueryContext,
    target: &Target,
    reply: TargetReply,
    kept: Option<Connection>,
    slot: Slot,
) -> Result<TargetReply, AttemptError> {
    let header_names = &query.shared.header_names;
    let repeated = reply.headers.get(&header_names.request_id);
    if repeated.is_some_and(|id| *id != query.request.request_id) {
        let context = "the reply names another request";
        return Err(AttemptError::new(
            AttemptErrorKind::MismatchedReply,
            context,
        ));
    }
    if let Some(connection) = kept.filter(|_| !target.is_leaving()) {
        slot.keep(connection);
    }
    if let Some(left) = header_number(&reply, &header_names.cold_ms) {
        let now = query.shared.now();
        target
            .cold_limiter()
            .set_cold(Duration::from_millis(left), now);
    }
    if reply.status == http::StatusCode::MISDIRECTED_REQUEST {
        let context = "another target has the address";
        return Err(AttemptError::new(AttemptErrorKind::WrongTarget, context));
    }
    if reply.headers.contains_key(&header_names.not_run) {
        return Err(AttemptError::new(AttemptErrorKind::NotRun, reply.status));
    }
    let is_unsigned = !reply.headers.contains_key(&header_names.signature);
    if reply.status.is_success() && is_unsigned {
        let context = "a success without a signature";
        return Err(AttemptError::new(AttemptErrorKind::InvalidReply, context));
    }
    Ok(reply)
}

fn header_number(reply: &TargetReply, name: &http::HeaderName) -> Option<u64> {
    reply.headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
