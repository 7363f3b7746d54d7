//! Builds the HTTP responses to callers.

use std::time::Duration;

use bytes::Bytes;
use http::{
    HeaderValue, Response,
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
        RequestError,
        guarantees_not_run, //
    },
    shared_state::SharedState,
    target::TargetReply, //
};

/// Builds the response to a caller.
///
/// The response asks the caller to close the connection if the process is shutting down or has too many
/// connections.
pub(super) fn build_response(
    shared: &SharedState,
    request_id: Option<HeaderValue>,
    outcome: Outcome,
) -> Response<Full<Bytes>> {
    let is_not_run = matches!(&outcome, Err(error) if guarantees_not_run(error.status()));
    let mut response = match outcome {
        Ok(Answer::Reply(reply)) => target_response(&shared.header_names, reply),
        Ok(Answer::Gathered {
            signatures,
            missing_count,
            body,
        }) => scatter_gather_response(&shared.header_names, &signatures, missing_count, body),
        Err(error) => error_response(error),
    };
    let headers = response.headers_mut();
    if let Some(request_id) = request_id {
        headers.insert(&shared.header_names.request_id, request_id);
    }
    let should_close = match is_not_run {
        true => shared.should_close_after_refusal(),
        false => shared.should_close_connection(),
    };
    if should_close {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns the reply of a target without its target id, its hop-by-hop headers and `Content-Length`, which
/// hyper sets anew.
fn target_response(header_names: &HeaderNames, reply: TargetReply) -> Response<Full<Bytes>> {
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

/// Builds the response with the merged parts of several shards.
fn scatter_gather_response(
    header_names: &HeaderNames,
    signatures: &[HeaderValue],
    missing_count: usize,
    body: Bytes,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    let headers = response.headers_mut();
    let values: Vec<&[u8]> = signatures.iter().map(HeaderValue::as_bytes).collect();
    match HeaderValue::from_bytes(&values.join(&b", "[..])) {
        Ok(list) => headers.insert(&header_names.part_signatures, list),
        Err(error) => {
            tracing::error!(%error, "part signatures are no valid header value");
            return error_response(RequestError::may_have_run(
                crate::query::RequestErrorKind::OutcomeUnknown,
            ));
        }
    };
    headers.insert(
        &header_names.missing_parts,
        HeaderValue::from(missing_count),
    );
    response
}

/// Builds the response to a request that the gateway answers with an error of its own.
fn error_response(error: RequestError) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(error.kind.label().as_bytes())));
    *response.status_mut() = error.status();
    let is_not_run = guarantees_not_run(error.status());
    if let Some(retry_after) = error.retry_after.filter(|_| is_not_run) {
        response
            .headers_mut()
            .insert(RETRY_AFTER, retry_after_value(retry_after));
    }
    response
}

/// Formats the value of `Retry-After` in seconds with three decimals; the callers accept fractions.
fn retry_after_value(retry_after: Duration) -> HeaderValue {
    let text = format!("{:.3}", retry_after.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}
