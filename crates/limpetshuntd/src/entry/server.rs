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

/// How long an open connection may still bring a request after the listener was closed. A request
/// that is on its way when an idle connection is closed would be cut without a response.
const LINGER: Duration = Duration::from_millis(250);

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
    for stream in waiting(listener) {
        connections.spawn(serve(Arc::clone(&entry), stream, stopped.clone()));
    }
    while connections.join_next().await.is_some() {}
}

/// Closes the listener and returns the connections that the kernel has accepted for it.
///
/// They would be reset with the listener, although their callers may have sent a request.
fn waiting(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let accepted = std::iter::from_fn(|| listener.accept().ok());
    accepted
        .filter_map(|(stream, _)| {
            stream.set_nonblocking(true).ok()?;
            TcpStream::from_std(stream).ok()
        })
        .collect()
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
    let linger_end = async move {
        // Fails only if the entry is gone, which ends the connection as well.
        let _ = stopped.wait_for(|is_stopped| *is_stopped).await;
        tokio::time::sleep(LINGER).await;
    };
    tokio::pin!(linger_end);
    let mut stopping = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    tracing::debug!(%error, "caller connection ended");
                }
                return;
            }
            () = &mut linger_end, if !stopping => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}
