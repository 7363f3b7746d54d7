//! HTTP handlers of the fake platform.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    body::Incoming, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

use crate::platform::state::PlatformState;

/// Longest time for which a long poll may wait; a longer `wait_ms` is limited to this.
const LONG_POLL_WAIT_MAX: Duration = Duration::from_secs(60);

/// Error that makes hyper close the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("connection closed without a response")]
pub(super) struct NoResponse;

type HttpResponse = Response<Full<Bytes>>;

/// Answers one request; while `is_down`, only admin requests get a response.
pub(super) async fn answer(
    state: &PlatformState,
    is_down: &watch::Sender<bool>,
    request: Request<Incoming>,
) -> Result<HttpResponse, NoResponse> {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let query = request.uri().query().unwrap_or_default().to_owned();
    if path.starts_with("/v1/") && *is_down.borrow() {
        return Err(NoResponse);
    }
    match (method, path.as_str()) {
        (Method::GET, "/v1/config") => Ok(answer_config(state, &query).await),
        (Method::GET, "/v1/vms") => Ok(json_response(&state.lock().vms)),
        (Method::GET, "/admin/calls") => Ok(json_response(&state.lock().config_calls)),
        (Method::PUT, "/admin/text") => {
            let body = request
                .into_body()
                .collect()
                .await
                .map_err(|_| NoResponse)?;
            let revision = state.add_revision(&body.to_bytes());
            Ok(text_response(StatusCode::OK, format!("{revision}\n")))
        }
        (Method::PUT, "/admin/vms") => {
            let body = request
                .into_body()
                .collect()
                .await
                .map_err(|_| NoResponse)?;
            match serde_json::from_slice(&body.to_bytes()) {
                Ok(vms) => state.lock().vms = vms,
                Err(error) => {
                    return Ok(text_response(StatusCode::BAD_REQUEST, format!("{error}\n")));
                }
            }
            Ok(text_response(StatusCode::OK, "ok\n"))
        }
        (Method::PUT, "/admin/down") => Ok(match query_parameter(&query, "on") {
            Some(on) => {
                is_down.send_replace(on);
                text_response(StatusCode::OK, "ok\n")
            }
            None => text_response(
                StatusCode::BAD_REQUEST,
                "parameter on=true or on=false is required\n",
            ),
        }),
        (Method::PUT, "/admin/stale") => Ok(match query_parameter(&query, "by") {
            Some(by) => {
                state.lock().stale_by = by;
                state.wake_long_polls();
                text_response(StatusCode::OK, "ok\n")
            }
            None => text_response(StatusCode::BAD_REQUEST, "parameter by=NUMBER is required\n"),
        }),
        _ => Ok(text_response(StatusCode::NOT_FOUND, "no such resource\n")),
    }
}

/// Answers a long poll of the configuration: waits up to `wait_ms` until a revision after `after` is served.
async fn answer_config(state: &PlatformState, query: &str) -> HttpResponse {
    let (Some(after), wait_ms) = (
        query_parameter::<u64>(query, "after"),
        query_parameter(query, "wait_ms").unwrap_or(0),
    ) else {
        return text_response(
            StatusCode::BAD_REQUEST,
            "parameter after=REVISION is required\n",
        );
    };
    let mut changes = state.change_count.subscribe();
    let deadline = Instant::now() + Duration::from_millis(wait_ms).min(LONG_POLL_WAIT_MAX);
    state.lock().config_calls.record(state.created_at);
    loop {
        let (served, is_stale) = {
            let contents = state.lock();
            (contents.served_revision().cloned(), contents.stale_by > 0)
        };
        // A stale service returns its old revision at once instead of waiting for a newer one: the worst
        // case for a reader.
        if let Some(revision) = &served
            && (revision.number > after || is_stale)
        {
            let mut response = Response::new(Full::new(Bytes::copy_from_slice(&revision.text)));
            let headers = response.headers_mut();
            headers.insert("x-revision", revision.number.into());
            return response;
        }
        if tokio::time::timeout_at(deadline, changes.changed())
            .await
            .is_err()
        {
            let mut response = text_response(StatusCode::NOT_MODIFIED, "");
            if let Some(revision) = served {
                let headers = response.headers_mut();
                headers.insert("x-revision", revision.number.into());
            }
            return response;
        }
    }
}

fn query_parameter<T: std::str::FromStr>(query: &str, name: &str) -> Option<T> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}

fn text_response(status: StatusCode, body: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

fn json_response(value: &impl serde::Serialize) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => text_response(StatusCode::OK, body),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
