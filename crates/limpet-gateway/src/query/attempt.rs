//! A single attempt: one request sent to one target.

use std::{
    sync::Arc,
    time::Duration, //
};

use http::{
    HeaderValue, Request, Version,
    header::{
        CONTENT_ENCODING,
        RETRY_AFTER, //
    },
};
use http_body_util::Full;
use limpet_decide::target_notice::parse_retry_after;
use limpet_types::deployment::Destination;
use tokio::time::Instant;

use super::{
    QueryContext,
    crash_check,
    merge::RECORD_BYTES, //
    outcome::guarantees_not_run,
};
use crate::target::{
    AttemptError,
    AttemptErrorKind,
    Connection,
    InFlightGuard,
    ReplyLimits,
    Target,
    TargetReply, //
};

/// Timeout for a new connection. TCP retransmits a lost SYN only after a second, and by then another target
/// could have replied.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Multiple of the mean latency after which an abandoned attempt counts as one without a reply. The slowest
/// requests of a healthy target take about five times the mean.
const NO_REPLY_MEAN_FACTOR: u32 = 6;
/// Subtracted from the time that a target gets for its reply, so that the reply still reaches the caller in
/// time.
const REPLY_MARGIN: Duration = Duration::from_millis(5);

/// Largest body of a reply.
const REPLY_MAX_BYTES: usize = 8 << 20;
/// Largest body of a part, as a multiple of the records that the merged answer can use.
const PART_RECORDS_FACTOR: usize = 16;
/// Body size that every part may have.
const PART_MAX_BYTES_MIN: usize = 64 << 10;

/// Sends the request of `query` to `target` and checks the reply.
///
/// Also updates the health of the target and the latency statistics of the route, logs a failure, and starts
/// a check whether the target crashed if there was no valid reply. Nothing is sent if `is_needed` returns false once
/// there is a connection.
pub(super) async fn run_attempt(
    query: &QueryContext,
    target: &Arc<Target>,
    connections_limit: usize,
    is_needed: impl Fn() -> bool,
) -> Result<TargetReply, AttemptError> {
    let shared = &query.shared;
    let mean_latency = query.mean_latency();
    let in_flight = InFlightGuard::new(shared, target, mean_latency);
    let mut timer = AttemptTimer::new(query, target);
    let result = exchange(query, target, connections_limit, is_needed).await;
    let (latency, now) = timer.stop();
    let mean_latency = query.mean_latency();
    let is_rejected = matches!(&result, Err(error) if error.kind == AttemptErrorKind::NotRun);
    query.run_statistics.record_part(is_rejected);
    if result.is_ok() {
        query.crash_risk.record_reply();
        shared
            .strike_table()
            .record_query_success(query.fingerprint, now);
    }
    let has_reply = match &result {
        Ok(_) => true,
        Err(error) => error.kind.is_reply(),
    };
    if has_reply {
        in_flight.record_reply(now);
    }
    match &result {
        Ok(reply) if reply.status.is_server_error() => {
            in_flight.record_accepted(false, now);
            target.health().record_failure(now);
        }
        Ok(_) => {
            let was_ejected = target.health().record_success(latency, mean_latency, now);
            in_flight.record_accepted(was_ejected, now);
            shared.with_route_latency(&query.route.name, |statistics| statistics.record(latency));
        }
        Err(error) => {
            match error.kind {
                AttemptErrorKind::ConnectionLimit
                | AttemptErrorKind::NotWanted
                | AttemptErrorKind::NotNeeded => {}
                AttemptErrorKind::Unreachable | AttemptErrorKind::Timeout => {
                    target.health().record_no_reply(now);
                }
                AttemptErrorKind::NotRun => {
                    in_flight.record_rejection(now);
                    target.health().record_failure(now);
                }
                _ => target.health().record_failure(now),
            }
            if error.kind == AttemptErrorKind::NoValidReply {
                crash_check::check_for_crash(query, target);
            }
            log_failure(query, target, error, latency);
        }
    }
    metrics::histogram!("limpet_attempt_seconds").record(latency.as_secs_f64());
    result
}

/// Logs and counts a failed attempt.
fn log_failure(query: &QueryContext, target: &Target, error: &AttemptError, took: Duration) {
    tracing::info!(
        request_id = query.request_id(), target_id = %target.id, addr = %target.addr,
        error = error.kind.label(), context = %error.context,
        took_us = took.as_micros(), "attempt failed"
    );
    metrics::counter!("limpet_attempt_failures_total", "kind" => error.kind.label()).increment(1);
}

/// Measures the duration of an attempt.
///
/// Dropping it before [`AttemptTimer::stop`] means that the attempt was abandoned. If it had taken much
/// longer than the mean latency by then, that counts against the health of the target.
struct AttemptTimer<'a> {
    query: &'a QueryContext,
    target: &'a Target,
    started_at: Duration,
    is_stopped: bool,
}

impl<'a> AttemptTimer<'a> {
    fn new(query: &'a QueryContext, target: &'a Target) -> Self {
        Self {
            query,
            target,
            started_at: query.shared.now(),
            is_stopped: false,
        }
    }

    /// Stops the timer; returns the duration of the attempt and the current time.
    fn stop(&mut self) -> (Duration, Duration) {
        self.is_stopped = true;
        let now = self.query.shared.now();
        (now.saturating_sub(self.started_at), now)
    }
}

impl Drop for AttemptTimer<'_> {
    fn drop(&mut self) {
        if self.is_stopped {
            return;
        }
        let (waited, now) = self.stop();
        let mean_latency = self.query.mean_latency();
        let Some(mean_latency) = mean_latency.filter(|mean| waited > *mean * NO_REPLY_MEAN_FACTOR)
        else {
            return;
        };
        let mut health = self.target.health();
        health.record_straggler(waited, Some(mean_latency), now);
        health.record_no_reply(now);
    }
}

/// Sends the request on a connection of the pool, reads the reply and checks it.
async fn exchange(
    query: &QueryContext,
    target: &Arc<Target>,
    connections_limit: usize,
    is_needed: impl Fn() -> bool,
) -> Result<TargetReply, AttemptError> {
    let mut is_first_try = true;
    loop {
        let (connection, reservation) =
            acquire_connection(query, target, connections_limit).await?;
        // Opening a connection takes time, in which the target may have begun to leave.
        if !target.allows_request(query.shared.now()) {
            let context = "the target leaves or is paused";
            return Err(AttemptError::new(AttemptErrorKind::NotWanted, context));
        }
        // Meanwhile another attempt may have brought the reply, or the answer was made without it.
        if !is_needed() {
            reservation.return_to_pool(connection);
            let context = "the reply is no longer needed";
            return Err(AttemptError::new(AttemptErrorKind::NotNeeded, context));
        }
        let is_reused = connection.is_reused();
        let request = build_target_request(query, target)?;
        let limits = reply_limits(query);
        let result = connection.exchange(request, &limits, query.deadline).await;
        match result {
            Ok((reply, reusable)) => {
                return check_reply(query, target, reply, reusable, reservation);
            }
            // The target closed the idle connection before the request was sent: try once more.
            Err(error)
                if is_first_try && is_reused && error.kind == AttemptErrorKind::Unreachable =>
            {
                is_first_try = false;
            }
            Err(error) => return Err(error),
        }
    }
}

/// Returns the limits of a reply: a part holds hardly more than the records that the merged answer can use.
fn reply_limits(query: &QueryContext) -> ReplyLimits {
    let body_max_bytes = match &query.route.destination {
        Destination::Split(_) => REPLY_MAX_BYTES,
        Destination::ScatterGather(gather) => gather
            .records_max
            .saturating_mul(RECORD_BYTES * PART_RECORDS_FACTOR)
            .clamp(PART_MAX_BYTES_MIN, REPLY_MAX_BYTES),
    };
    ReplyLimits {
        body_max_bytes,
        memory: Arc::clone(&query.shared.body_memory),
    }
}

/// Reservation of one open connection in the pool of a target; released on drop unless the connection is
/// returned to the pool.
struct ConnectionReservation(Option<Arc<Target>>);

impl ConnectionReservation {
    /// Returns the connection to the pool.
    fn return_to_pool(mut self, connection: Connection) {
        if let Some(target) = self.0.take() {
            target.pool().put_idle(connection);
        }
    }
}

impl Drop for ConnectionReservation {
    fn drop(&mut self) {
        if let Some(target) = &self.0 {
            target.pool().release();
        }
    }
}

/// Takes an idle connection from the pool or opens a new one.
async fn acquire_connection(
    query: &QueryContext,
    target: &Arc<Target>,
    connections_limit: usize,
) -> Result<(Connection, ConnectionReservation), AttemptError> {
    let idle = target.pool().take_idle(&query.request.request_id);
    if let Some(connection) = idle {
        return Ok((connection, ConnectionReservation(Some(Arc::clone(target)))));
    }
    if !target.pool().reserve(connections_limit) {
        let context = "all connections of this process to the target are in use";
        return Err(AttemptError::new(
            AttemptErrorKind::ConnectionLimit,
            context,
        ));
    }
    let reservation = ConnectionReservation(Some(Arc::clone(target)));
    metrics::counter!("limpet_target_connections_total").increment(1);
    let deadline = query.deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let connection =
        Connection::open(target.addr, deadline, &query.shared.background_tasks).await?;
    target.crash_watch.record_listening();
    Ok((connection, reservation))
}

/// Builds the request with the headers for this target.
fn build_target_request(
    query: &QueryContext,
    target: &Target,
) -> Result<Request<Full<bytes::Bytes>>, AttemptError> {
    let header_names = &query.shared.header_names;
    let unreachable_error = |error: &dyn std::fmt::Display| {
        AttemptError::new(AttemptErrorKind::Unreachable, error) //
    };
    let mut request = Request::new(Full::new(query.request.body.clone()));
    *request.method_mut() = query.request.method.clone();
    *request.uri_mut() = query.request.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = query.request.headers.clone();
    let time_left_ms = query.time_left().saturating_sub(REPLY_MARGIN).as_millis() as u64;
    let id = HeaderValue::from_str(&target.id).map_err(|error| unreachable_error(&error))?;
    let headers = request.headers_mut();
    headers.insert(
        &header_names.deadline_ms,
        HeaderValue::from(time_left_ms.max(1)),
    );
    headers.insert(&header_names.expected_target, id);
    Ok(request)
}

/// Checks that the reply belongs to the request and that the target ran it.
///
/// Unless the reply carries the id of another request, also returns a reusable connection to the pool if the
/// target accepts new requests, and records how much longer the target stays cold.
fn check_reply(
    query: &QueryContext,
    target: &Target,
    reply: TargetReply,
    reusable: Option<Connection>,
    reservation: ConnectionReservation,
) -> Result<TargetReply, AttemptError> {
    let header_names = &query.shared.header_names;
    if reply.status != http::StatusCode::MISDIRECTED_REQUEST {
        record_notices(query, target, &reply);
    }
    let echoed_id = reply.headers.get(&header_names.request_id);
    if echoed_id != Some(&query.request.request_id) {
        let context = match echoed_id {
            Some(_) => "the reply carries the id of another request",
            None => "the reply carries no request id",
        };
        return Err(AttemptError::new(
            AttemptErrorKind::MismatchedReply,
            context,
        ));
    }
    let is_wrong_target = reply.status == http::StatusCode::MISDIRECTED_REQUEST;
    let is_not_run = is_wrong_target || reply.headers.contains_key(&header_names.not_run);
    if let Some(mut connection) = reusable.filter(|_| !target.is_leaving()) {
        query.shared.record_idle_timeout(connection.idle_timeout());
        connection.record_rejection(is_not_run.then(|| query.request.request_id.clone()));
        reservation.return_to_pool(connection);
    }
    if let Some(cold_left_ms) = parse_numeric_header(&reply, &header_names.cold_ms) {
        let now = query.shared.now();
        target
            .cold_rate_limiter()
            .set_cold(Duration::from_millis(cold_left_ms), now);
    }
    if is_wrong_target {
        let context = "the address belongs to another target";
        return Err(AttemptError::new(AttemptErrorKind::WrongTarget, context));
    }
    if is_not_run {
        return Err(AttemptError::new(AttemptErrorKind::NotRun, reply.status));
    }
    // A caller would take the status as a promise and repeat the request.
    if !query.route.is_idempotent() && guarantees_not_run(reply.status) {
        return Err(AttemptError::new(
            AttemptErrorKind::UncertainRefusal,
            reply.status,
        ));
    }
    let has_signature = reply.headers.contains_key(&header_names.signature);
    let invalid_reason = match reply.status {
        status if status.is_informational() => Some("the reply is an interim one"),
        status if !status.is_success() => None,
        _ if !has_signature => Some("the successful reply has no signature"),
        // Requests ask for no encoding, so an encoded body is not what the target sent.
        _ if reply.headers.contains_key(CONTENT_ENCODING) => Some("the body is encoded"),
        _ => None,
    };
    match invalid_reason {
        Some(reason) => Err(AttemptError::new(AttemptErrorKind::NoValidReply, reason)),
        None => Ok(reply),
    }
}

/// Records what a reply of the target says about further requests.
fn record_notices(query: &QueryContext, target: &Target, reply: &TargetReply) {
    let is_leaving = reply
        .headers
        .get_all(&query.shared.header_names.leaving)
        .iter()
        .any(|value| value.as_bytes().trim_ascii() == b"1");
    if is_leaving && !target.notices().is_leaving() {
        target.notices().record_leaving();
        target.pool().close_idle();
        tracing::info!(target_id = %target.id, addr = %target.addr, "target announced that it leaves");
    }
    let retry_after = reply.headers.get(RETRY_AFTER);
    let pause = retry_after
        .filter(|_| reply.status == http::StatusCode::SERVICE_UNAVAILABLE)
        .and_then(|value| parse_retry_after(value.to_str().ok()?));
    if let Some(pause) = pause {
        target.notices().record_pause(pause, query.shared.now());
        tracing::info!(
            target_id = %target.id, pause_ms = pause.as_millis() as u64,
            "target wants no requests for a while"
        );
    }
}

/// Returns the value of a header as a number, if it is one.
fn parse_numeric_header(reply: &TargetReply, name: &http::HeaderName) -> Option<u64> {
    reply.headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
