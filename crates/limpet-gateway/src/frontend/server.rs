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
    time::timeout,
};

use super::handler::handle;
use crate::shared_state::SharedState;

/// Delay after a failed accept, which keeps the loop from spinning.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum size of the read buffer that hyper accepts.
const READ_BUFFER_MIN_BYTES: usize = 8192;
/// Maximum size of a request head before the first config is installed.
const DEFAULT_HEAD_MAX_BYTES: usize = 16 << 10;
/// Idle timeout of a connection before the first config is installed.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time reserved at the end of the shutdown for answering cancelled requests and for callers to read
/// the answers.
const CANCELLED_RESPONSE_TIME: Duration = Duration::from_millis(100);

/// Whether the server accepts connections or is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Serving,
    Closing,
}

/// A running server.
#[derive(Debug)]
pub struct FrontendServer {
    shared: Arc<SharedState>,
    stage: watch::Sender<Stage>,
    accept_task: JoinHandle<()>,
    local_addr: SocketAddr,
}

impl FrontendServer {
    /// Returns the address on which the server listens.
    pub const fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Stops accepting, closes idle connections and waits up to `limit` for requests in flight; requests
    /// that take longer are cancelled and answered with an error.
    pub async fn stop(self, limit: Duration) {
        // Without a receiver the server has already stopped.
        let _ = self.stage.send(Stage::Closing);
        let mut accept_task = self.accept_task;
        let grace_time = limit.saturating_sub(CANCELLED_RESPONSE_TIME);
        if timeout(grace_time, &mut accept_task).await.is_ok() {
            return;
        }
        tracing::warn!(
            limit_ms = limit.as_millis(),
            "requests cancelled at shutdown"
        );
        self.shared.cancel_requests();
        if timeout(limit - grace_time, &mut accept_task).await.is_err() {
            tracing::warn!("connections closed without an answer at shutdown");
            accept_task.abort();
        }
    }
}

/// Serves callers on `listener` until [`FrontendServer::stop`].
///
/// # Errors
///
/// Fails if the listener has no address.
pub fn serve(listener: TcpListener, shared: Arc<SharedState>) -> std::io::Result<FrontendServer> {
    let local_addr = listener.local_addr()?;
    let (stage, stage_receiver) = watch::channel(Stage::Serving);
    let accept_task = tokio::spawn(accept_connections(
        listener,
        Arc::clone(&shared),
        stage_receiver,
    ));
    Ok(FrontendServer {
        shared,
        stage,
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

async fn accept_connections(
    listener: TcpListener,
    shared: Arc<SharedState>,
    mut stage: watch::Receiver<Stage>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let guard = ConnectionGuard::new(&shared);
                    let serving = serve_connection(stream, Arc::clone(&shared), stage.clone());
                    connections.spawn(async move {
                        let _guard = guard;
                        serving.await;
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "caller connection not accepted");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            _ = stage.changed() => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    stream: TcpStream,
    shared: Arc<SharedState>,
    mut stage: watch::Receiver<Stage>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "caller connection ended before its first request");
        return;
    }
    let (head_max_bytes, idle_timeout) = {
        let table = shared.table.load();
        table
            .as_ref()
            .map_or((DEFAULT_HEAD_MAX_BYTES, DEFAULT_IDLE_TIMEOUT), |table| {
                let limits = &table.config().limits;
                (limits.head_max_bytes, limits.idle_timeout)
            })
    };
    let service_board = Arc::clone(&shared);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&service_board);
        async move { Ok::<_, Infallible>(handle(shared, request).await) }
    });
    // hyper starts this timeout at the end of the previous request, so it also limits idle time.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(head_max_bytes.max(READ_BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    tracing::debug!(%error, "caller connection ended");
                }
                return;
            }
            changed = stage.changed() => {
                if changed.is_err() || *stage.borrow() == Stage::Closing {
                    connection.as_mut().graceful_shutdown();
                    break;
                }
            }
        }
    }
    if let Err(error) = connection.await {
        tracing::debug!(%error, "caller connection ended");
    }
}
