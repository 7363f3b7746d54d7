//! HTTP server of the admin address.

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
        readiness, recorder, status,
    },
    daemon::Context,
};

/// Interval at which samples move into the histograms.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait for the connections that are open at a stop.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait after a failed accept, which happens when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Actor that owns the admin server and joins it when it stops.
pub(crate) struct AdminServer;

/// The running server.
pub(crate) struct Running {
    stop: watch::Sender<bool>,
    accepting: JoinHandle<()>,
}

impl Actor for AdminServer {
    type Msg = ();
    type State = Running;
    type Arguments = (Context, TcpListener);

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        (context, listener): Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let (stop, stopped) = watch::channel(false);
        let accepting = tokio::spawn(accept(context, listener, stopped));
        Ok(Running { stop, accepting })
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<Self::Msg>,
        running: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        running.stop.send_replace(true);
        (&mut running.accepting).await?;
        Ok(())
    }
}

async fn accept(context: Context, listener: TcpListener, mut stopped: watch::Receiver<bool>) {
    let mut connections = JoinSet::new();
    let mut upkeep = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        tokio::select! {
            _ = stopped.changed() => break,
            _ = upkeep.tick() => recorder::upkeep(),
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(context.clone(), stream, stopped.clone()));
                }
                Err(error) => {
                    tracing::warn!(%error, "admin connection not accepted");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
    drop(listener);
    let ended = async { while connections.join_next().await.is_some() {} };
    if tokio::time::timeout(STOP_TIMEOUT, ended).await.is_err() {
        connections.shutdown().await;
    }
}

async fn serve(context: Context, stream: TcpStream, mut stopped: watch::Receiver<bool>) {
    let service = service_fn(|request: Request<Incoming>| {
        let response = respond(&context, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // A connection that breaks concerns only its reader.
    let is_stopped = tokio::select! {
        _ = connection.as_mut() => false,
        () = wait_for_stop(&mut stopped) => true,
    };
    if is_stopped {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

async fn wait_for_stop(stopped: &mut watch::Receiver<bool>) {
    // The sender lives as long as the server; if it is gone the server has stopped too.
    let _ = stopped.wait_for(|stopped| *stopped).await;
}

fn respond(context: &Context, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let board = &context.board;
    if request.method() != Method::GET {
        return text(StatusCode::METHOD_NOT_ALLOWED, "use GET\n".into());
    }
    match request.uri().path() {
        "/metrics" => text(StatusCode::OK, recorder::render()),
        "/ready" => match readiness::check(board) {
            Ok(()) => text(StatusCode::OK, "ready\n".into()),
            Err(reason) => text(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        },
        "/status" => json(&status::document(board)),
        "/explain" => {
            let query = request.uri().query().unwrap_or_default();
            let lookup = parameter(query, "lookup");
            let record = parameter(query, "record");
            match explain::document(board, lookup.as_deref(), record.as_deref()) {
                Ok(document) => json(&document),
                Err(error) => text(explain_status(&error), format!("{error}\n")),
            }
        }
        _ => text(
            StatusCode::NOT_FOUND,
            "unknown path; known are /metrics, /ready, /status and /explain\n".into(),
        ),
    }
}

const fn explain_status(error: &ExplainError) -> StatusCode {
    match error {
        ExplainError::MissingLookup => StatusCode::BAD_REQUEST,
        ExplainError::NoConfig => StatusCode::SERVICE_UNAVAILABLE,
        ExplainError::UnknownLookup(_) => StatusCode::NOT_FOUND,
    }
}

fn json(document: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(document) {
        Ok(body) => with_type(StatusCode::OK, "application/json", body.into()),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
    }
}

fn text(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    with_type(status, "text/plain; charset=utf-8", body.into())
}

fn with_type(status: StatusCode, kind: &'static str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static(kind);
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

/// Returns a parameter of a query string with its percent escapes decoded.
fn parameter(query: &str, name: &str) -> Option<String> {
    let is_named = |pair: &&str| pair.split('=').next() == Some(name);
    let pair = query.split('&').find(is_named)?;
    let value = pair.split_once('=').map_or("", |(_, value)| value);
    Some(decode_percent(value))
}

fn decode_percent(value: &str) -> String {
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
