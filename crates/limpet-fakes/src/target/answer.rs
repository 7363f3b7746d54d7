//! Answers to the requests that a fake target receives.

use std::{
    convert::Infallible,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use futures::stream;
use http::{
    Request,
    Response,
    header::CONTENT_LENGTH, //
};
use http_body_util::{
    BodyExt,
    Full,
    StreamBody,
    combinators::BoxBody, //
};
use hyper::body::{
    Frame,
    Incoming, //
};
use limpet_types::BootClock;

use crate::target::{
    ReceivedRequest, TargetOutcome,
    state::{
        Admission,
        IncomingRequest,
        TargetState, //
    },
};

/// Body of a response; boxed, because a body shorter than its `content-length` has a type of its own.
type ResponseBody = BoxBody<Bytes, Infallible>;

/// Guard of a running request: frees its slot on drop.
///
/// A cancelled request keeps the slot for [`TargetSpec::cancel_lag_ms`](crate::target::TargetSpec).
struct RunningRequestGuard {
    state: Arc<TargetState>,
    generation: u64,
    is_finished: bool,
}

impl RunningRequestGuard {
    fn new(state: &Arc<TargetState>, generation: u64) -> Self {
        Self {
            state: Arc::clone(state),
            generation,
            is_finished: false,
        }
    }

    /// Frees the slot at once, because the request was not cancelled.
    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for RunningRequestGuard {
    fn drop(&mut self) {
        let (state, generation) = (Arc::clone(&self.state), self.generation);
        let cancel_lag = Duration::from_millis(state.spec.cancel_lag_ms);
        if self.is_finished || cancel_lag.is_zero() {
            return state.release_request(generation);
        }
        // Nothing waits for this task: it only updates a counter, which a stopped target no longer reads.
        tokio::spawn(async move {
            tokio::time::sleep(cancel_lag).await;
            state.release_request(generation);
        });
    }
}

/// Answers one request according to the state and the faults of the target.
pub(crate) async fn answer(
    state: Arc<TargetState>,
    connection_number: u64,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    if state.is_silent(connection_number) {
        std::future::pending::<()>().await;
    }
    let header_value = |name: &str| -> Box<str> {
        let value = request.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().into()
    };
    let (request_id, attempt) = (header_value("x-request-id"), header_value("x-attempt"));
    let record = header_value("x-record");
    let path = request.uri().path().to_owned();
    let received = ReceivedRequest {
        request: request_id.clone(),
        attempt: attempt.clone(),
        kind: path.rsplit('/').next().unwrap_or_default().into(),
        ticket: Some(header_value("x-ticket")).filter(|ticket| !ticket.is_empty()),
        record: Some(record.clone()).filter(|record| !record.is_empty()),
        shard: state.spec.shard.clone(),
        snapshot: header_value("x-index-version").parse().ok(),
        start_us: BootClock::new().now().as_micros() as u64,
        end_us: None,
        running: 0,
        cold: false,
        outcome: TargetOutcome::Unfinished,
    };
    let snapshot = received.snapshot;
    let time_left = header_value("x-deadline-ms")
        .parse()
        .map(Duration::from_millis);
    let time_left = time_left.unwrap_or(Duration::MAX);
    let Ok(body) = request.into_body().collect().await else {
        return Ok(build_response(
            &state,
            400,
            &request_id,
            &attempt,
            Bytes::new(),
        ));
    };
    let body = body.to_bytes();
    let poison = state.spec.poison.as_ref();
    let is_poison = poison.is_some_and(|poison| poison.as_bytes() == &body[..]);
    let admission = state.admit(IncomingRequest {
        received,
        is_poison,
    });
    let (request_index, service_time, generation) = match admission {
        Admission::Refuse { status } => {
            return Ok(build_response(
                &state,
                status,
                &request_id,
                &attempt,
                Bytes::new(),
            ));
        }
        Admission::Crash => {
            state.crash();
            return std::future::pending().await;
        }
        Admission::Run {
            request_index,
            service_time,
            generation,
        } => (request_index, service_time, generation),
    };
    let guard = RunningRequestGuard::new(&state, generation);
    let misses_deadline = service_time > time_left;
    if !service_time.is_zero() {
        tokio::time::sleep(service_time.min(time_left)).await;
    }
    if misses_deadline {
        guard.finish();
        return Ok(build_response(
            &state,
            504,
            &request_id,
            &attempt,
            Bytes::new(),
        ));
    }
    if state.is_silent(connection_number) {
        std::future::pending::<()>().await;
    }
    let mut answer_text = format!("{}:{}:{}", state.spec.name, request_id, body.len());
    if !record.is_empty() {
        answer_text.push(':');
        answer_text.push_str(&record);
    }
    let mut response = build_response(&state, 200, &request_id, &attempt, answer_text.into());
    if let Some(version) = snapshot {
        response
            .headers_mut()
            .insert("x-index-version", version.into());
    }
    state.record_answer(request_index);
    guard.finish();
    Ok(response)
}

/// Builds a response with the headers that every response of a target has.
///
/// Status 200 is subject to [`Fault::ShortBody`](crate::target::Fault::ShortBody) and
/// [`Fault::WrongEcho`](crate::target::Fault::WrongEcho).
fn build_response(
    state: &TargetState,
    status: u16,
    request_id: &str,
    attempt: &str,
    body: Bytes,
) -> Response<ResponseBody> {
    let mut locked = state.lock();
    let target_state = if locked.is_draining {
        "draining"
    } else if locked.is_cold {
        "cold"
    } else {
        "warm"
    };
    let mut echoed_id = request_id.to_owned();
    if status == 200 && locked.wrong_echoes_left > 0 {
        locked.wrong_echoes_left -= 1;
        echoed_id = format!("{:032x}", u128::MAX);
    }
    let is_body_short = status == 200 && locked.short_bodies_left > 0;
    let mut content_length = body.len();
    if is_body_short {
        locked.short_bodies_left -= 1;
        content_length += 8;
    }
    let incarnation = locked.incarnation;
    drop(locked);
    let versions_held = state.spec.versions_held.iter().map(u64::to_string);
    let range = state.spec.range;
    let mut builder = Response::builder()
        .status(status)
        .header(CONTENT_LENGTH, content_length)
        .header("x-request-id", echoed_id)
        .header("x-attempt", attempt)
        .header("x-target-state", target_state)
        .header("x-target-incarnation", incarnation.to_string())
        .header(
            "x-index-versions-held",
            versions_held.collect::<Vec<_>>().join(","),
        )
        .header("x-range", format!("{}-{}", range.start, range.end))
        .header("x-found", if body.is_empty() { "false" } else { "true" });
    if matches!(status, 409 | 503) {
        builder = builder.header("x-not-run", "true");
    }
    let body = if is_body_short {
        // hyper rejects a `content-length` that differs from a known body size; a stream has none.
        StreamBody::new(stream::iter([Ok(Frame::data(body))])).boxed()
    } else {
        Full::new(body).boxed()
    };
    builder
        .body(body)
        .unwrap_or_else(|_| Response::new(Full::new(Bytes::new()).boxed()))
}
