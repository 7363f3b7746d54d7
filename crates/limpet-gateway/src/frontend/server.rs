//! HTTP/1.1 server for callers.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use hyper::{
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
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
    time::{
        Instant,
        timeout_at, //
    },
};

use super::handler::handle_request;
use crate::{
    shared_state::SharedState,
    slow_reader::{
        is_stalled,
        limit_sends, //
    },
};

/// Delay after a failed accept, which keeps the loop from spinning.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum size of the read buffer that hyper accepts.
const READ_BUFFER_MIN_BYTES: usize = 8192;
/// Maximum size of a request head before the first config is installed.
const DEFAULT_HEAD_MAX_BYTES: usize = 16 << 10;
/// Idle timeout of a connection before the first config is installed.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time after the end of the drain in which connections that wait to be accepted are still accepted.
const FINAL_ACCEPT_TIME: Duration = Duration::from_millis(50);
/// Longest time for which such a connection waits for its request.
const FINAL_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether the server accepts connections or is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Serving,
    Closing,
    /// Connections that are still open are closed without an answer.
    Aborting,
}

/// A running server for callers.
#[derive(Debug)]
pub struct FrontendServer {
    shared: Arc<SharedState>,
    stage_sender: watch::Sender<Stage>,
    accept_task: JoinHandle<()>,
    local_addr: SocketAddr,
}

impl FrontendServer {
    /// Returns the address on which the server listens.
    pub const fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Stops accepting, closes idle connections and waits for requests in flight.
    ///
    /// Requests that are still in flight at `cancel_at` are cancelled and answered with an error; connections that
    /// are still open at `close_at` are closed.
    pub async fn stop(self, cancel_at: Instant, close_at: Instant) {
        // Sending fails only if the server has already stopped.
        let _ = self.stage_sender.send(Stage::Closing);
        let mut accept_task = self.accept_task;
        if timeout_at(cancel_at, &mut accept_task).await.is_ok() {
            return;
        }
        tracing::warn!("requests cancelled at shutdown");
        self.shared.shutdown.cancel_requests();
        if timeout_at(close_at, &mut accept_task).await.is_err() {
            tracing::warn!("connections closed without an answer at shutdown");
            let _ = self.stage_sender.send(Stage::Aborting);
            let _ = accept_task.await;
        }
    }
}

/// Serves callers on `listener` until [`FrontendServer::stop`].
///
/// # Errors
///
/// Fails if the local address of the listener cannot be read.
pub fn serve(listener: TcpListener, shared: Arc<SharedState>) -> std::io::Result<FrontendServer> {
    let local_addr = listener.local_addr()?;
    let (stage_sender, stage_receiver) = watch::channel(Stage::Serving);
    let accept_task = tokio::spawn(accept_connections(
        listener,
        Arc::clone(&shared),
        stage_receiver,
    ));
    Ok(FrontendServer {
        shared,
        stage_sender,
        accept_task,
        local_addr,
    })
}

/// Counts a caller connection as open until it is dropped.
struct ConnectionGuard(Arc<SharedState>);

impl ConnectionGuard {
    fn new(shared: &Arc<SharedState>) -> Self {
        shared.add_caller_connection();
        Self(Arc::clone(shared))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.remove_caller_connection();
    }
}

/// Accepts and serves connections until the server closes, then waits for the open ones.
async fn accept_connections(
    listener: TcpListener,
    shared: Arc<SharedState>,
    mut stage_receiver: watch::Receiver<Stage>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection_guarded(stream, &shared, &stage_receiver));
                }
                Err(error) => {
                    tracing::warn!(%error, "caller connection not accepted");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            _ = stage_receiver.changed() => break,
        }
    }
    // Connections that were established before are waiting to be accepted; closing the listener would reset them.
    let accept_end = Instant::now() + FINAL_ACCEPT_TIME;
    while let Ok(accepted) = timeout_at(accept_end, listener.accept()).await {
        let Ok((stream, _)) = accepted else {
            break;
        };
        connections.spawn(serve_connection_guarded(stream, &shared, &stage_receiver));
    }
    drop(listener);
    let end_connections = async { while connections.join_next().await.is_some() {} };
    tokio::select! {
        () = end_connections => {}
        // Fails if the server was dropped: then nobody waits for the connections.
        Ok(_) = stage_receiver.wait_for(|stage| *stage == Stage::Aborting) => {}
    }
    connections.shutdown().await;
}

/// Serves the requests of one connection and counts it as open meanwhile.
fn serve_connection_guarded(
    stream: TcpStream,
    shared: &Arc<SharedState>,
    stage_receiver: &watch::Receiver<Stage>,
) -> impl Future<Output = ()> + Send + 'static {
    let guard = ConnectionGuard::new(shared);
    let serve_future = serve_connection(stream, Arc::clone(shared), stage_receiver.clone());
    async move {
        let _guard = guard;
        serve_future.await;
    }
}

/// Serves the requests of one connection.
async fn serve_connection(
    stream: TcpStream,
    shared: Arc<SharedState>,
    mut stage_receiver: watch::Receiver<Stage>,
) {
    let (head_max_bytes, idle_timeout) = {
        let route_table = shared.route_table.load();
        route_table.as_ref().map_or(
            (DEFAULT_HEAD_MAX_BYTES, DEFAULT_IDLE_TIMEOUT),
            |route_table| {
                let limits = &route_table.config().limits;
                (limits.head_max_bytes, limits.idle_timeout)
            },
        )
    };
    let stream = stream
        .set_nodelay(true)
        .and_then(|()| limit_sends(stream, idle_timeout));
    let stream = match stream {
        Ok(stream) => stream,
        Err(error) => {
            tracing::debug!(%error, "caller connection ended before its first request");
            return;
        }
    };
    let service_shared = Arc::clone(&shared);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&service_shared);
        async move { Ok::<_, Infallible>(handle_request(shared, request).await) }
    });
    let is_closing = *stage_receiver.borrow() != Stage::Serving;
    let idle_timeout = match is_closing {
        true => idle_timeout.min(FINAL_IDLE_TIMEOUT),
        false => idle_timeout,
    };
    // hyper starts this timeout at the end of the previous request, so it also limits idle time.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(head_max_bytes.max(READ_BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    if !is_closing {
        tokio::select! {
            result = connection.as_mut() => {
                log_end(result);
                return;
            }
            // The sender is dropped only after the server has closed.
            _ = stage_receiver.wait_for(|stage| *stage != Stage::Serving) => {}
        }
        connection.as_mut().graceful_shutdown();
    }
    log_end(connection.await);
}

/// Logs the end of a connection, and counts it if its caller read nothing.
fn log_end(result: hyper::Result<()>) {
    match result {
        Ok(()) => {}
        Err(error) if is_stalled(&error) => {
            tracing::info!("caller connection closed, because the caller reads nothing");
            metrics::counter!("limpet_stalled_readers_total", "server" => "callers").increment(1);
        }
        Err(error) => tracing::debug!(%error, "caller connection ended"),
    }
}
