//! Serving of peers.

use std::{
    future::{
        Future,
        poll_fn, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use h2::{
    RecvStream,
    server::SendResponse, //
};
use http::{
    Request,
    Response, //
};
use limpet_types::{
    codec,
    message::{
        PeerReply,
        PeerRequest, //
    },
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
};

use crate::{
    body::{
        read_body,
        write_body, //
    },
    traffic,
};

/// Pause after a failed accept. File descriptors have run out; without a pause the loop would keep a
/// core busy and fill the log.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Streams that one peer may have open at a time.
const STREAMS_MAX: u32 = 10_000;
/// Flow-control window of a stream and of a connection.
const WINDOW_BYTES: u32 = 2 << 20;

/// A running server.
#[derive(Debug)]
pub struct PeerServer {
    stop: watch::Sender<bool>,
    accepting: JoinHandle<()>,
    local_addr: Option<SocketAddr>,
}

impl PeerServer {
    /// Returns the address on which the server listens.
    pub const fn local_addr(&self) -> Option<SocketAddr> {
        self.local_addr
    }

    /// Stops accepting, lets the streams in flight finish and waits for every task.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.accepting.await;
    }
}

/// Serves peers on `listener` until [`PeerServer::stop`].
///
/// `handler` runs once for each request; its future is dropped when the peer resets the stream.
pub fn serve<H, F>(listener: TcpListener, handler: H) -> PeerServer
where
    H: Fn(PeerRequest) -> F + Send + Sync + 'static,
    F: Future<Output = PeerReply> + Send + 'static,
{
    let local_addr = listener.local_addr().ok();
    let (stop, stopped) = watch::channel(false);
    let accepting = tokio::spawn(accept(listener, Arc::new(handler), stopped));
    PeerServer {
        stop,
        accepting,
        local_addr,
    }
}

async fn accept<H, F>(listener: TcpListener, handler: Arc<H>, mut stopped: watch::Receiver<bool>)
where
    H: Fn(PeerRequest) -> F + Send + Sync + 'static,
    F: Future<Output = PeerReply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(
                        stream,
                        Arc::clone(&handler),
                        stopped.clone(),
                    ));
                }
                Err(error) => {
                    tracing::warn!(%error, "peer connection not accepted");
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

async fn serve_connection<H, F>(
    stream: TcpStream,
    handler: Arc<H>,
    mut stopped: watch::Receiver<bool>,
) where
    H: Fn(PeerRequest) -> F + Send + Sync + 'static,
    F: Future<Output = PeerReply> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .max_concurrent_streams(STREAMS_MAX)
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES * 4)
        .handshake(stream);
    let mut connection = match handshake.await {
        Ok(connection) => connection,
        Err(error) => {
            tracing::debug!(%error, "peer handshake failed");
            return;
        }
    };
    let mut streams = JoinSet::new();
    let mut stopping = false;
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, respond))) => {
                    streams.spawn(serve_stream(request, respond, Arc::clone(&handler)));
                }
                Some(Err(error)) => {
                    tracing::debug!(%error, "peer connection failed");
                    break;
                }
                None => break,
            },
            Some(_) = streams.join_next() => {}
            _ = stopped.changed(), if !stopping => {
                stopping = true;
                connection.graceful_shutdown();
            }
        }
    }
    streams.shutdown().await;
}

async fn serve_stream<H, F>(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: Arc<H>,
) where
    H: Fn(PeerRequest) -> F,
    F: Future<Output = PeerReply>,
{
    let Ok(body) = read_body(request.into_body()).await else {
        return;
    };
    let request = match codec::decode(&body) {
        Ok(request) => request,
        Err(error) => {
            tracing::warn!(%error, "peer request refused");
            respond.send_reset(h2::Reason::PROTOCOL_ERROR);
            return;
        }
    };
    traffic::note_received(traffic::request_kind(&request), body.len());
    let reply = tokio::select! {
        reply = handler(request) => reply,
        _ = poll_fn(|cx| respond.poll_reset(cx)) => return,
    };
    if let Err(error) = send_reply(&mut respond, &reply).await {
        tracing::debug!(%error, "peer reply not sent");
    }
}

async fn send_reply(respond: &mut SendResponse<Bytes>, reply: &PeerReply) -> Result<(), h2::Error> {
    let Ok(body) = codec::encode(reply) else {
        respond.send_reset(h2::Reason::INTERNAL_ERROR);
        return Ok(());
    };
    let mut stream = respond.send_response(Response::new(()), false)?;
    let size_bytes = body.len();
    write_body(&mut stream, body.into()).await?;
    traffic::note_sent(traffic::reply_kind(reply), size_bytes);
    Ok(())
}
