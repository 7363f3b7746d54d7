//! Answers over HTTP.

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

/// Longest wait of a watch.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// Ends the connection without an answer.
#[derive(Debug, thiserror::Error)]
#[error("the connection is closed without an answer")]
pub(super) struct Closed;

type Answer = Response<Full<Bytes>>;

pub(super) async fn answer(
    state: &State,
    down: &watch::Sender<bool>,
    request: Request<Incoming>,
) -> Result<Answer, Closed> {
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let query = request.uri().query().unwrap_or_default().to_owned();
    if path.starts_with("/v1/") && *down.borrow() {
        return Err(Closed);
    }
    match (method, path.as_str()) {
        (Method::GET, "/v1/config") => Ok(config(state, &query).await),
        (Method::GET, "/v1/vms") => Ok(json(&state.lock().vms)),
        (Method::GET, "/admin/calls") => Ok(json(&state.lock().calls)),
        (Method::PUT, "/admin/text") => {
            let body = request.into_body().collect().await.map_err(|_| Closed)?;
            let revision = state.push(&body.to_bytes());
            Ok(plain(StatusCode::OK, format!("{revision}\n")))
        }
        (Method::PUT, "/admin/vms") => {
            let body = request.into_body().collect().await.map_err(|_| Closed)?;
            match serde_json::from_slice(&body.to_bytes()) {
                Ok(vms) => state.lock().vms = vms,
                Err(error) => return Ok(plain(StatusCode::BAD_REQUEST, format!("{error}\n"))),
            }
            Ok(plain(StatusCode::OK, "ok\n"))
        }
        (Method::PUT, "/admin/down") => Ok(match parameter(&query, "on") {
            Some(on) => {
                down.send_replace(on);
                plain(StatusCode::OK, "ok\n")
            }
            None => plain(StatusCode::BAD_REQUEST, "on=true or on=false is needed\n"),
        }),
        (Method::PUT, "/admin/stale") => Ok(match parameter(&query, "by") {
            Some(by) => {
                state.lock().stale_by = by;
                state.notify();
                plain(StatusCode::OK, "ok\n")
            }
            None => plain(StatusCode::BAD_REQUEST, "by=NUMBER is needed\n"),
        }),
        _ => Ok(plain(StatusCode::NOT_FOUND, "no such resource\n")),
    }
}

async fn config(state: &State, query: &str) -> Answer {
    let (Some(after), wait_ms) = (
        parameter::<u64>(query, "after"),
        parameter(query, "wait_ms").unwrap_or(0),
    ) else {
        return plain(StatusCode::BAD_REQUEST, "after=REVISION is needed\n");
    };
    let mut changed = state.changed.subscribe();
    let deadline = Instant::now() + Duration::from_millis(wait_ms).min(WAIT_MAX);
    state.lock().calls.note(state.started);
    loop {
        let (shown, is_stale) = {
            let inner = state.lock();
            (inner.shown().cloned(), inner.stale_by > 0)
        };
        // A stale replica answers with its old value at once, the worst case for a reader.
        if let Some(value) = &shown
            && (value.revision > after || is_stale)
        {
            let mut response = Response::new(Full::new(Bytes::copy_from_slice(&value.text)));
            let headers = response.headers_mut();
            headers.insert("x-revision", value.revision.into());
            return response;
        }
        if tokio::time::timeout_at(deadline, changed.changed())
            .await
            .is_err()
        {
            let mut response = plain(StatusCode::NOT_MODIFIED, "");
            if let Some(value) = shown {
                let headers = response.headers_mut();
                headers.insert("x-revision", value.revision.into());
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

fn plain(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

fn json(value: &impl serde::Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => plain(StatusCode::OK, body),
        Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
