//! HTTP server of the admin endpoints.

use std::{
    convert::Infallible,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use serde::Serialize;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    task::{
        JoinHandle,
        JoinSet, //
    },
};

use crate::{
    admin::{
        explain::{
            self,
            ExplainError, //
        },
        metrics_recorder, readiness, status,
    },
    daemon::Context,
};

/// Interval at which recorded samples are moved into the histograms.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum time to wait for open connections when the server stops.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed accept, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Actor that starts the admin server and waits for its end when the actor stops.
pub(crate) struct AdminServer;

/// The running server, and the channel by which it is stopped.
pub(crate) struct RunningServer {
    stop_sender: watch::Sender<bool>,
    accept_task: JoinHandle<()>,
}

impl Actor for AdminServer {
    type Msg = ();
    type State = RunningServer;
    type Arguments = (Context, TcpListener);

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        (context, listener): Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let (stop_sender, stop_receiver) = watch::channel(false);
        let accept_task = tokio::spawn(accept_connections(context, listener, stop_receiver));
        Ok(RunningServer {
            stop_sender,
            accept_task,
        })
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<Self::Msg>,
        running: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        running.stop_sender.send_replace(true);
        (&mut running.accept_task).await?;
        Ok(())
    }
}

/// Serves connections until the server stops, then waits for the open ones, at most [`STOP_TIMEOUT`], and
/// aborts those that are still open.
async fn accept_connections(
    context: Context,
    listener: TcpListener,
    mut stop_receiver: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    let mut upkeep = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        tokio::select! {
            _ = stop_receiver.changed() => break,
            _ = upkeep.tick() => metrics_recorder::run_upkeep(),
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(
                        context.clone(),
                        stream,
                        stop_receiver.clone(),
                    ));
                }
                Err(error) => {
                    tracing::warn!(%error, "admin connection not accepted");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
        }
    }
    drop(listener);
    let all_closed = async { while connections.join_next().await.is_some() {} };
    if tokio::time::timeout(STOP_TIMEOUT, all_closed)
        .await
        .is_err()
    {
        connections.shutdown().await;
    }
}

/// Serves one connection until its client closes it or the server stops.
async fn serve_connection(
    context: Context,
    stream: TcpStream,
    mut stop_receiver: watch::Receiver<bool>,
) {
    let service = service_fn(|request: Request<Incoming>| {
        let response = respond(&context, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // An error of a connection affects only its client and is ignored.
    let should_shut_down = tokio::select! {
        _ = connection.as_mut() => false,
        () = wait_for_stop(&mut stop_receiver) => true,
    };
    if should_shut_down {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Waits until the actor tells the server to stop.
async fn wait_for_stop(stop_receiver: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, so the server has stopped too.
    let _ = stop_receiver.wait_for(|is_stopped| *is_stopped).await;
}

/// Returns the response to one request.
fn respond(context: &Context, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let board = &context.board;
    if request.method() != Method::GET {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "use GET\n".into());
    }
    match request.uri().path() {
        "/metrics" => text_response(StatusCode::OK, metrics_recorder::render()),
        "/ready" => match readiness::check(board) {
            Ok(()) => text_response(StatusCode::OK, "ready\n".into()),
            Err(reason) => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        },
        "/status" => json_response(&status::build_document(board)),
        "/explain" => {
            let query = request.uri().query().unwrap_or_default();
            let lookup = query_parameter(query, "lookup");
            let record = query_parameter(query, "record");
            match explain::build_document(board, lookup.as_deref(), record.as_deref()) {
                Ok(document) => json_response(&document),
                Err(error) => text_response(explain_error_status(&error), format!("{error}\n")),
            }
        }
        _ => text_response(
            StatusCode::NOT_FOUND,
            "unknown path; known are /metrics, /ready, /status and /explain\n".into(),
        ),
    }
}

/// Returns the HTTP status for a route that cannot be explained.
const fn explain_error_status(error: &ExplainError) -> StatusCode {
    match error {
        ExplainError::MissingLookup => StatusCode::BAD_REQUEST,
        ExplainError::NoConfig => StatusCode::SERVICE_UNAVAILABLE,
        ExplainError::UnknownLookup(_) => StatusCode::NOT_FOUND,
    }
}

/// Returns a document as a response, or an error response if it cannot be serialized.
fn json_response(document: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(document) {
        Ok(body) => build_response(StatusCode::OK, "application/json", body.into()),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

fn text_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    build_response(status, "text/plain; charset=utf-8", body.into())
}

fn build_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}

/// Returns the decoded value of a parameter of a query string; empty if the parameter has no value, and
/// `None` if the query string lacks the parameter.
fn query_parameter(query: &str, name: &str) -> Option<String> {
    let is_named = |pair: &&str| pair.split('=').next() == Some(name);
    let pair = query.split('&').find(is_named)?;
    let value = pair.split_once('=').map_or("", |(_, value)| value);
    Some(percent_decode(value))
}

/// Decodes percent escapes and `+`; an invalid escape is copied unchanged.
fn percent_decode(value: &str) -> String {
    let mut decoded = Vec::with_capacity(value.len());
    let mut rest = value.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let escape = tail
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let byte = escape.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (first, byte) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                rest = &tail[2..];
            }
            (b'+', _) => {
                decoded.push(b' ');
                rest = tail;
            }
            _ => {
                decoded.push(first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
