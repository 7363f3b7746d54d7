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

/// Pause after a failed accept. While no file descriptors are left, each accept fails at once; without a
/// pause the loop would keep a core busy and fill the log.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for which open connections are still served after the listener was closed. A request that is on
/// its way when its idle connection is closed would get no response.
const CONNECTION_LINGER: Duration = Duration::from_millis(250);

/// Accepts connections until `should_stop` is set, then waits until each connection has ended.
pub(super) async fn accept_connections(
    entry: Arc<Entry>,
    listener: TcpListener,
    mut should_stop: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(
                        Arc::clone(&entry),
                        stream,
                        should_stop.clone(),
                    ));
                }
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a caller connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            // Removes a connection that has ended from the set, which would otherwise grow without bound.
            Some(_) = connections.join_next() => {}
            _ = should_stop.changed() => break,
        }
    }
    for stream in take_backlog(listener) {
        connections.spawn(serve_connection(
            Arc::clone(&entry),
            stream,
            should_stop.clone(),
        ));
    }
    while connections.join_next().await.is_some() {}
}

/// Closes the listener and returns the connections that wait in its backlog.
///
/// Closing the listener would otherwise reset these connections, although their callers may have sent a
/// request.
fn take_backlog(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    // The listener does not block, so the iterator ends once the backlog is empty.
    let accepted = std::iter::from_fn(|| listener.accept().ok());
    accepted
        .filter_map(|(stream, _)| {
            stream.set_nonblocking(true).ok()?;
            TcpStream::from_std(stream).ok()
        })
        .collect()
}

/// Serves the requests of one connection; shuts it down [`CONNECTION_LINGER`] after `should_stop` is set.
async fn serve_connection(
    entry: Arc<Entry>,
    stream: TcpStream,
    mut should_stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let entry = Arc::clone(&entry);
        async move { Ok::<_, Infallible>(entry.handle_request(request).await) }
    });
    // When a caller closes its connection, the service future is dropped, which cancels the query.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let linger_end = async move {
        // Fails only if the entry was dropped, which ends the connection as well.
        let _ = should_stop.wait_for(|should_stop| *should_stop).await;
        tokio::time::sleep(CONNECTION_LINGER).await;
    };
    tokio::pin!(linger_end);
    let mut is_shutting_down = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    tracing::debug!(%error, "caller connection failed");
                }
                return;
            }
            () = &mut linger_end, if !is_shutting_down => {
                is_shutting_down = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
