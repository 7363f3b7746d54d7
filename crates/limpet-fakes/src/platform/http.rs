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

use crate::platform::state::State;

/// Longest wait of a long poll.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// Makes the server close the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("connection closed without a response")]
pub(super) struct ConnectionClosed;

type HttpResponse = Response<Full<Bytes>>;

pub(super) async fn answer(
    state: &State,
    down: &watch::Sender<bool>,
    request: Request<Incoming>,
) -> Result<HttpResponse, ConnectionClosed> {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let query = request.uri().query().unwrap_or_default().to_owned();
    if path.starts_with("/v1/") && *down.borrow() {
        return Err(ConnectionClosed);
    }
    match (method, path.as_str()) {
        (Method::GET, "/v1/config") => Ok(answer_config(state, &query).await),
        (Method::GET, "/v1/vms") => Ok(json_response(&state.lock().vms)),
        (Method::GET, "/admin/calls") => Ok(json_response(&state.lock().calls)),
        (Method::PUT, "/admin/text") => {
            let body = request
                .into_body()
                .collect()
                .await
                .map_err(|_| ConnectionClosed)?;
            let revision = state.add_revision(&body.to_bytes());
            Ok(text_response(StatusCode::OK, format!("{revision}\n")))
        }
        (Method::PUT, "/admin/vms") => {
            let body = request
                .into_body()
                .collect()
                .await
                .map_err(|_| ConnectionClosed)?;
            match serde_json::from_slice(&body.to_bytes()) {
                Ok(vms) => state.lock().vms = vms,
                Err(error) => {
                    return Ok(text_response(StatusCode::BAD_REQUEST, format!("{error}\n")));
                }
            }
            Ok(text_response(StatusCode::OK, "ok\n"))
        }
        (Method::PUT, "/admin/down") => Ok(match parameter(&query, "on") {
            Some(on) => {
                down.send_replace(on);
                text_response(StatusCode::OK, "ok\n")
            }
            None => text_response(
                StatusCode::BAD_REQUEST,
                "parameter on=true or on=false is required\n",
            ),
        }),
        (Method::PUT, "/admin/stale") => Ok(match parameter(&query, "by") {
            Some(by) => {
                state.lock().stale_by = by;
                state.notify();
                text_response(StatusCode::OK, "ok\n")
            }
            None => text_response(StatusCode::BAD_REQUEST, "parameter by=NUMBER is required\n"),
        }),
        _ => Ok(text_response(StatusCode::NOT_FOUND, "no such resource\n")),
    }
}

async fn answer_config(state: &State, query: &str) -> HttpResponse {
    let (Some(after), wait_ms) = (
        parameter::<u64>(query, "after"),
        parameter(query, "wait_ms").unwrap_or(0),
    ) else {
        return text_response(
            StatusCode::BAD_REQUEST,
            "parameter after=REVISION is required\n",
        );
    };
    let mut changed = state.changed.subscribe();
    let deadline = Instant::now() + Duration::from_millis(wait_ms).min(WAIT_MAX);
    state.lock().calls.record(state.started);
    loop {
        let (served, is_stale) = {
            let inner = state.lock();
            (inner.served().cloned(), inner.stale_by > 0)
        };
        // A stale replica returns its old revision at once, the worst case for a reader.
        if let Some(revision) = &served
            && (revision.number > after || is_stale)
        {
            let mut response = Response::new(Full::new(Bytes::copy_from_slice(&revision.text)));
            let headers = response.headers_mut();
            headers.insert("x-revision", revision.number.into());
            return response;
        }
        if tokio::time::timeout_at(deadline, changed.changed())
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

fn parameter<T: std::str::FromStr>(query: &str, name: &str) -> Option<T> {
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
