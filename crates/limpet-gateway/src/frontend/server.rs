//! Listener for callers over HTTP/1.1.

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

/// Pause after a failed accept; without it the loop would keep the processor busy.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Least size of the read buffer that hyper accepts.
const HEAD_BUFFER_MIN_BYTES: usize = 8192;
/// Bounds before the first text.
const HEAD_DEFAULT_BYTES: usize = 16 << 10;
const IDLE_DEFAULT: Duration = Duration::from_secs(15);

/// Time for the answers to requests that are given up at the end, and for callers to read them.
const LAST_ANSWERS: Duration = Duration::from_millis(100);

/// How far the server has come in its end.
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
    accepting: JoinHandle<()>,
    local_addr: SocketAddr,
}

impl FrontendServer {
    /// Returns the address on which the server listens.
    pub const fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Stops accepting, closes idle connections and waits for requests in flight, at most `limit`; those
    /// that take longer are given up and answered.
    pub async fn stop(self, limit: Duration) {
        // Without a receiver the server has ended already.
        let _ = self.stage.send(Stage::Closing);
        let mut accepting = self.accepting;
        let waiting = limit.saturating_sub(LAST_ANSWERS);
        if timeout(waiting, &mut accepting).await.is_ok() {
            return;
        }
        tracing::warn!(
            limit_ms = limit.as_millis(),
            "requests are given up at the end"
        );
        self.shared.cancel_requests();
        if timeout(limit - waiting, &mut accepting).await.is_err() {
            tracing::warn!("connections were cut at the end");
            accepting.abort();
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
    let (stage, watching) = watch::channel(Stage::Serving);
    let accepting = tokio::spawn(accept(listener, Arc::clone(&shared), watching));
    Ok(FrontendServer {
        shared,
        stage,
        accepting,
        local_addr,
    })
}

/// Counts one connection until it is dropped.
struct OpenCaller(Arc<SharedState>);

impl OpenCaller {
    fn new(shared: &Arc<SharedState>) -> Self {
        shared.add_caller_connection();
        Self(Arc::clone(shared))
    }
}

impl Drop for OpenCaller {
    fn drop(&mut self) {
        self.0.remove_caller_connection();
    }
}

async fn accept(
    listener: TcpListener,
    shared: Arc<SharedState>,
    mut stage: watch::Receiver<Stage>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let open = OpenCaller::new(&shared);
                    let serving = serve_connection(stream, Arc::clone(&shared), stage.clone());
                    connections.spawn(async move {
                        let _open = open;
                        serving.await;
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "caller connection not accepted");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
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
            .map_or((HEAD_DEFAULT_BYTES, IDLE_DEFAULT), |table| {
                let limits = &table.config().limits;
                (limits.head_max_bytes, limits.idle_timeout)
            })
    };
    let service_board = Arc::clone(&shared);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&service_board);
        async move { Ok::<_, Infallible>(handle(shared, request).await) }
    });
    // The time for a head runs from the end of the request before it, so it bounds idle time too.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(head_max_bytes.max(HEAD_BUFFER_MIN_BYTES))
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
