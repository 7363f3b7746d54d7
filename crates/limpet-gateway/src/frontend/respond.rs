//! Answers and refusals as HTTP responses.

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderValue, Response, StatusCode,
    header::{
        CONNECTION,
        CONTENT_LENGTH,
        RETRY_AFTER,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE, //
    },
};
use http_body_util::Full;

use crate::{
    header_names::HeaderNames,
    query::{
        Answer,
        Outcome,
        RequestError, //
    },
    shared_state::SharedState,
    target::TargetReply, //
};

/// Builds the response to a caller; a process that stops, or has too many connections, closes the
/// connection after it.
pub(super) fn respond(
    shared: &SharedState,
    request_id: Option<HeaderValue>,
    outcome: Outcome,
) -> Response<Full<Bytes>> {
    let is_not_run = matches!(&outcome, Err(refusal) if promises_not_run(refusal.status()));
    let mut response = match outcome {
        Ok(Answer::Reply(reply)) => unchanged(&shared.header_names, reply),
        Ok(Answer::Gathered {
            signatures,
            missing,
            body,
        }) => gathered(&shared.header_names, &signatures, missing, body),
        Err(refusal) => refused(refusal),
    };
    let headers = response.headers_mut();
    if let Some(id) = request_id {
        headers.insert(&shared.header_names.request_id, id);
    }
    let closes = match is_not_run {
        true => shared.should_close_after_refusal(),
        false => shared.should_close_connection(),
    };
    if closes {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn unchanged(header_names: &HeaderNames, reply: TargetReply) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(reply.body));
    *response.status_mut() = reply.status;
    let mut headers = reply.headers;
    for name in [
        CONNECTION,
        CONTENT_LENGTH,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove(&header_names.target_id);
    *response.headers_mut() = headers;
    response
}

fn gathered(
    header_names: &HeaderNames,
    signatures: &[HeaderValue],
    missing: usize,
    body: Vec<u8>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let headers = response.headers_mut();
    let list: Vec<&[u8]> = signatures.iter().map(HeaderValue::as_bytes).collect();
    match HeaderValue::from_bytes(&list.join(&b", "[..])) {
        Ok(list) => headers.insert(&header_names.part_signatures, list),
        Err(error) => {
            tracing::error!(%error, "signatures of parts cannot be sent");
            return refused(RequestError::may_have_run(
                crate::query::RequestErrorKind::OutcomeUnknown,
            ));
        }
    };
    headers.insert(&header_names.missing_parts, HeaderValue::from(missing));
    response
}

/// Returns whether a status tells the caller that its request did not run and never will.
const fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
    )
}

fn refused(refusal: RequestError) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(
        refusal.kind.label().as_bytes(),
    )));
    *response.status_mut() = refusal.status();
    let is_not_run = promises_not_run(refusal.status());
    if let Some(after) = refusal.retry_after.filter(|_| is_not_run) {
        response.headers_mut().insert(RETRY_AFTER, seconds(after));
    }
    response
}

/// Seconds with three decimals, as the deployments accept fractions.
fn seconds(time: Duration) -> HeaderValue {
    let text = format!("{:.3}", time.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}
