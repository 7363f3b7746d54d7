//! Control endpoint of fake targets: injects faults and returns received requests and counters over HTTP.

use std::{
    convert::Infallible,
    sync::Arc, //
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    Response, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpListener,
    task::JoinSet, //
};

use crate::target::{
    FakeTarget,
    Fault, //
};

/// Why a control request was refused.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// No target has this name.
    #[error("no target is named {name:?}")]
    UnknownTarget {
        /// Name in the path.
        name: Box<str>,
    },
    /// The request body is not a fault, or the response cannot be written as JSON.
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The body of the request was not received completely.
    #[error("cannot read the request body: {0}")]
    Body(#[from] hyper::Error),
}

/// Serves the control endpoint of targets, each addressed by its name.
///
/// - `GET /stats/NAME`: returns the counters ([`FakeTargetStats`](crate::target::FakeTargetStats)).
/// - `GET /events/NAME`: returns the received requests
///   ([`ReceivedRequest`](crate::target::ReceivedRequest)).
/// - `POST /fault/NAME`: injects the [`Fault`] in the body.
///
/// Bodies are JSON, except the error text of a response with status 400. Runs until its future is dropped.
pub async fn serve_control(listener: TcpListener, targets: Arc<Vec<FakeTarget>>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                let targets = Arc::clone(&targets);
                connections.spawn(async move {
                    let service = service_fn(|request| {
                        let targets = Arc::clone(&targets);
                        async move { Ok::<_, Infallible>(build_response(&targets, request).await) }
                    });
                    let io = TokioIo::new(stream);
                    if let Err(error) = http1::Builder::new().serve_connection(io, service).await {
                        tracing::debug!(%error, "control connection ended");
                    }
                });
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn build_response(
    targets: &[FakeTarget],
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (status, text) = match handle_request(targets, request).await {
        Ok(text) => (200, text),
        Err(error) => (400, error.to_string()),
    };
    let mut response = Response::new(Full::new(text.into()));
    if status == 400 {
        *response.status_mut() = http::StatusCode::BAD_REQUEST;
    }
    response
}

/// Carries out a control request and returns the body of the response.
async fn handle_request(
    targets: &[FakeTarget],
    request: Request<Incoming>,
) -> Result<String, ControlError> {
    let path = request.uri().path().to_owned();
    let mut parts = path.trim_start_matches('/').splitn(2, '/');
    let (resource, name) = (
        parts.next().unwrap_or_default(),
        parts.next().unwrap_or_default(),
    );
    let target = targets.iter().find(|target| target.name() == name);
    let target = target.ok_or_else(|| ControlError::UnknownTarget { name: name.into() })?;
    if request.method() == Method::POST {
        let body = request.into_body().collect().await?.to_bytes();
        let fault: Fault = serde_json::from_slice(&body)?;
        target.inject(fault);
        return Ok("{}".into());
    }
    if resource == "events" {
        return Ok(serde_json::to_string(&target.received_requests())?);
    }
    Ok(serde_json::to_string(&target.stats())?)
}
