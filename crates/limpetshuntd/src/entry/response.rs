//! JSON responses to callers.

use base64::{
    Engine,
    engine::general_purpose::STANDARD, //
};
use bytes::Bytes;
use http::{
    HeaderValue,
    Response,
    StatusCode,
    header, //
};
use http_body_util::Full;
use limpet_config::{
    Config,
    Lookup, //
};
use limpet_types::{
    Refusal,
    RequestId,
    message::AttemptKind, //
};
use serde_json::{
    Map,
    Value,
    json, //
};

use crate::entry::{
    lookup_graph::LookupResults,
    lookup_query::LookupResult, //
};

/// Response to a caller.
pub(super) type CallerResponse = Response<Full<Bytes>>;

/// Header that carries an order ticket.
pub(super) const TICKET_HEADER: &str = "x-limpet-ticket";

/// Formats a request id as callers send it.
pub(super) fn format_request_id(request_id: RequestId) -> String {
    format!("{request_id:032x}")
}

/// Builds a JSON response with this status and with the request id as a header.
fn json_response(status: u16, request_id: RequestId, body: &Value) -> CallerResponse {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Ok(id) = HeaderValue::from_str(&format_request_id(request_id)) {
        headers.insert("x-limpet-request-id", id);
    }
    response
}

/// Builds the response for a refusal; `ticket` is the ticket issued with `ticket_required`.
pub(super) fn refusal_response(
    request_id: RequestId,
    refusal: &Refusal,
    ticket: Option<&str>,
) -> CallerResponse {
    let mut body = json!({
        "code": refusal.code,
        "not_run": refusal.not_run,
        "message": refusal.message,
        "request_id": format_request_id(request_id),
    });
    if let Some(ticket) = ticket {
        body["ticket"] = ticket.into();
    }
    let mut response = json_response(refusal.code.http_status(), request_id, &body);
    if let Some(Ok(ticket)) = ticket.map(HeaderValue::from_str) {
        response.headers_mut().insert(TICKET_HEADER, ticket);
    }
    response
}

/// Builds the response for the results of a lookup and its dependencies.
pub(super) fn lookup_response(
    request_id: RequestId,
    config: &Config,
    lookup: &Lookup,
    results: &LookupResults,
) -> CallerResponse {
    let body = lookup_json(request_id, config, lookup, results);
    json_response(200, request_id, &body)
}

/// Builds the response for a lookup whose JSON document is already serialized.
pub(super) fn json_bytes_response(request_id: RequestId, body: &[u8]) -> CallerResponse {
    let mut response = json_response(200, request_id, &Value::Null);
    *response.body_mut() = Full::new(Bytes::copy_from_slice(body));
    response
}

/// Builds the JSON document for the results of a lookup and its dependencies.
pub(super) fn lookup_json(
    request_id: RequestId,
    config: &Config,
    lookup: &Lookup,
    results: &LookupResults,
) -> Value {
    let mut dependencies = Map::new();
    for name in &lookup.depends_on {
        if let Some(dependency) = config.lookup(name) {
            let document = lookup_json(request_id, config, dependency, results);
            dependencies.insert(name.to_string(), document);
        }
    }
    let mut body = match results.get(&lookup.name) {
        Some(result) => lookup_result_json(lookup, result),
        None => json!({}),
    };
    body["request_id"] = format_request_id(request_id).into();
    body["lookup"] = (&*lookup.name).into();
    if !dependencies.is_empty() {
        body["dependencies"] = Value::Object(dependencies);
    }
    body
}

/// Builds the part of the JSON document that shows the result of one lookup, without its dependencies.
fn lookup_result_json(lookup: &Lookup, result: &LookupResult) -> Value {
    // The reason for a shard that gave neither an answer nor a refusal: the deadline cut it off, or the
    // answer of another shard made it unnecessary.
    let is_exists_lookup = lookup.kind == AttemptKind::Exists;
    let reason_without_refusal = if is_exists_lookup && result.found == Some(true) {
        "not_needed"
    } else {
        "deadline_exceeded"
    };
    let answered = result.answered.iter().map(|shard_range| {
        json!({
            "shard": shard_range.shard,
            "start": shard_range.range.start,
            "end": shard_range.range.end
        })
    });
    let missing = result.missing.iter().map(|missing_range| {
        let reason = missing_range
            .reason
            .map_or(reason_without_refusal, |code| code.as_str());
        json!({
            "shard": missing_range.shard,
            "start": missing_range.range.start,
            "end": missing_range.range.end,
            "reason": reason,
        })
    });
    let results = result.shard_results.iter().map(|shard_result| {
        match std::str::from_utf8(&shard_result.body) {
            Ok(text) => json!({"shard": shard_result.shard, "body": text}),
            Err(_) => json!({
                "shard": shard_result.shard,
                "body_base64": STANDARD.encode(&shard_result.body)
            }),
        }
    });
    json!({
        "snapshot": result.pinned_version,
        "complete": result.is_complete,
        "coverage": {
            "answered": answered.collect::<Vec<_>>(),
            "missing": missing.collect::<Vec<_>>(),
        },
        "found": result.found,
        "results": results.collect::<Vec<_>>(),
    })
}
