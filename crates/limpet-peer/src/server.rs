//! Server for calls from peers.

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
    SendStream,
    server::SendResponse, //
};
use http::{
    Request,
    Response, //
};
use limpet_types::{codec, message::PeerRequest};
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
use tokio_io_timeout::TimeoutStream;

use crate::{
    GuardedReply,
    body::{
        WRITE_STALL_TIMEOUT,
        read_body,
        write_body, //
    },
    guarded_reply::into_guarded,
    message_metrics,
};

/// Pause after a failed accept, which happens when file descriptors run out. Without the pause,
/// the loop would keep a core busy and flood the log.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of concurrent streams on one connection.
const STREAMS_MAX: u32 = 10_000;
/// Initial flow-control window of a stream; the window of a connection is four times as large.
const STREAM_WINDOW_BYTES: u32 = 2 << 20;

/// How far a server has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Serving,
    /// No new connections and streams are accepted; those that are open finish.
    Draining,
    /// Connections and streams are closed.
    Aborting,
}

/// Handle of a running server.
#[derive(Debug)]
pub struct PeerServer {
    stage_sender: watch::Sender<Stage>,
    accept_task: JoinHandle<()>,
    local_addr: Option<SocketAddr>,
}

impl PeerServer {
    /// Returns the address on which the server listens; `None` if the operating system did not report
    /// the address.
    pub const fn local_addr(&self) -> Option<SocketAddr> {
        self.local_addr
    }

    /// Stops accepting connections and streams, and waits until the streams in flight have finished and
    /// all tasks have ended.
    pub async fn stop(self) {
        let _ = self.stage_sender.send(Stage::Draining);
        let _ = self.accept_task.await;
    }

    /// Works as [`PeerServer::stop`], but closes what is still open at `close_at`.
    pub async fn stop_by(self, close_at: Instant) {
        let _ = self.stage_sender.send(Stage::Draining);
        let mut accept_task = self.accept_task;
        if timeout_at(close_at, &mut accept_task).await.is_err() {
            let _ = self.stage_sender.send(Stage::Aborting);
            let _ = accept_task.await;
        }
    }
}

/// Serves peers on `listener` until [`PeerServer::stop`] is called or the returned handle is dropped.
///
/// `handler` is called once for each request; its future is dropped if the peer resets the stream. It returns a
/// [`PeerReply`](limpet_types::message::PeerReply), or a [`GuardedReply`].
pub fn serve<H, F, R>(listener: TcpListener, handler: H) -> PeerServer
where
    H: Fn(PeerRequest) -> F + Send + Sync + 'static,
    F: Future<Output = R> + Send + 'static,
    R: Into<GuardedReply> + Send + 'static,
{
    let local_addr = listener.local_addr().ok();
    let (stage_sender, stage_receiver) = watch::channel(Stage::Serving);
    let accept_task = tokio::spawn(accept_connections(
        listener,
        Arc::new(handler),
        stage_receiver,
    ));
    PeerServer {
        stage_sender,
        accept_task,
        local_addr,
    }
}

/// Accepts connections until the server stops, then waits for the open ones to close.
async fn accept_connections<H, F, R>(
    listener: TcpListener,
    handler: Arc<H>,
    mut stage_receiver: watch::Receiver<Stage>,
) where
    H: Fn(PeerRequest) -> F + Send + Sync + 'static,
    F: Future<Output = R> + Send + 'static,
    R: Into<GuardedReply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(
                        stream,
                        Arc::clone(&handler),
                        stage_receiver.clone(),
                    ));
                }
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a peer connection");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            _ = stage_receiver.changed() => break,
        }
    }
    drop(listener);
    // The connections end by themselves, also when they are to be closed: each joins its streams.
    while connections.join_next().await.is_some() {}
}

/// Serves the streams of one connection until the connection fails or the peer closes it.
///
/// When the server stops, the connection accepts no further streams and closes after the streams in flight
/// have finished.
async fn serve_connection<H, F, R>(
    stream: TcpStream,
    handler: Arc<H>,
    mut stage_receiver: watch::Receiver<Stage>,
) where
    H: Fn(PeerRequest) -> F + Send + Sync + 'static,
    F: Future<Output = R> + Send + 'static,
    R: Into<GuardedReply> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    // What h2 has queued is dropped with the connection only.
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(WRITE_STALL_TIMEOUT));
    let handshake = h2::server::Builder::new()
        .max_concurrent_streams(STREAMS_MAX)
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(STREAM_WINDOW_BYTES * 4)
        .handshake(Box::pin(stream));
    let mut abort_receiver = stage_receiver.clone();
    let aborted = async move {
        let abort = abort_receiver.wait_for(|stage| *stage == Stage::Aborting);
        if abort.await.is_err() {
            // The handle was dropped: the connection ends with its streams.
            std::future::pending::<()>().await;
        }
    };
    tokio::pin!(aborted);
    let handshake = tokio::select! {
        result = handshake => result,
        () = &mut aborted => return,
    };
    let mut connection = match handshake {
        Ok(connection) => connection,
        Err(error) => {
            tracing::debug!(%error, "peer handshake failed");
            return;
        }
    };
    let mut streams = JoinSet::new();
    let mut is_stopping = false;
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, responder))) => {
                    streams.spawn(serve_stream(request, responder, Arc::clone(&handler)));
                }
                Some(Err(error)) => {
                    tracing::debug!(%error, "peer connection failed");
                    break;
                }
                None => break,
            },
            Some(_) = streams.join_next() => {}
            _ = stage_receiver.changed(), if !is_stopping => {
                is_stopping = true;
                connection.graceful_shutdown();
            }
            () = &mut aborted => break,
        }
    }
    streams.shutdown().await;
}

/// Reads one request, runs the handler and sends its reply.
///
/// Resets the stream if the request cannot be decoded, and drops the handler's future if the peer resets
/// the stream.
async fn serve_stream<H, F, R>(
    request: Request<RecvStream>,
    mut responder: SendResponse<Bytes>,
    handler: Arc<H>,
) where
    H: Fn(PeerRequest) -> F,
    F: Future<Output = R>,
    R: Into<GuardedReply>,
{
    // Tells the peer that this process reacts, before the peer sends a request that it would not know the fate of.
    let Ok(mut stream) = responder.send_response(Response::new(()), false) else {
        return;
    };
    let Ok(body) = read_body(request.into_body()).await else {
        return;
    };
    let request = match codec::decode(&body) {
        Ok(request) => request,
        Err(error) => {
            tracing::warn!(%error, "peer request rejected: cannot decode it");
            stream.send_reset(h2::Reason::PROTOCOL_ERROR);
            return;
        }
    };
    message_metrics::record_received(message_metrics::request_kind(&request), body.len());
    let reply = tokio::select! {
        biased;
        _ = poll_fn(|cx| stream.poll_reset(cx)) => return,
        reply = handler(request) => reply,
    };
    if let Err(error) = send_reply(&mut stream, reply.into()).await {
        tracing::debug!(%error, "failed to send a reply to a peer");
    }
}

/// Sends a reply, or resets the stream if the reply cannot be encoded.
async fn send_reply(stream: &mut SendStream<Bytes>, reply: GuardedReply) -> Result<(), h2::Error> {
    let GuardedReply { reply, guard } = reply;
    let Ok(body) = codec::encode(&reply) else {
        stream.send_reset(h2::Reason::INTERNAL_ERROR);
        return Ok(());
    };
    let kind = message_metrics::reply_kind(&reply);
    // The reader may be slow; only the encoded reply is kept meanwhile.
    drop(reply);
    let size_bytes = body.len();
    write_body(stream, into_guarded(body, guard)).await?;
    message_metrics::record_sent(kind, size_bytes);
    Ok(())
}
