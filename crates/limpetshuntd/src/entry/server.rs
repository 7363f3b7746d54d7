//! HTTP/1.1 server for callers.

use std::{
    convert::Infallible,
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
    task::JoinSet,
};

use crate::entry::state::Entry;

/// Pause after a failed accept. File descriptors have run out; without a pause the loop would keep a
/// core busy and fill the log.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers until `stopped`, then waits for every connection.
pub(super) async fn accept(
    entry: Arc<Entry>,
    listener: TcpListener,
    mut stopped: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(Arc::clone(&entry), stream, stopped.clone()));
                }
                Err(error) => {
                    tracing::warn!(%error, "caller connection not accepted");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
            _ = stopped.changed() => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve(entry: Arc<Entry>, stream: TcpStream, mut stopped: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let entry = Arc::clone(&entry);
        async move { Ok::<_, Infallible>(entry.handle(request).await) }
    });
    // A caller that closes its connection drops the service future and so cancels its query.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut stopping = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    tracing::debug!(%error, "caller connection ended");
                }
                return;
            }
            _ = stopped.changed(), if !stopping => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
