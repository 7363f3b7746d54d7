//! Client for calls to peers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use h2::RecvStream;
use http::Request;
use limpet_types::{
    codec,
    message::{
        PeerReply,
        PeerRequest, //
    },
};
use tokio::{
    sync::Mutex,
    time::{
        Instant,
        timeout_at, //
    },
};

use crate::{
    body::{
        read_body,
        write_body, //
    },
    connection::Connection,
    error::{
        PeerError,
        PeerErrorKind, //
    },
    message_metrics,
};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Lateness of the accept timeout from which on this process counts as stalled, for example because its share of the
/// processor was used up.
const STALL_MIN: Duration = Duration::from_millis(5);
/// Time after a stall in which this process reads what has arrived meanwhile.
const STALL_READ_TIME: Duration = Duration::from_millis(10);

/// Current connection to one peer, if any.
///
/// The lock is held while a connection is opened, so that concurrent calls share the new connection.
type ConnectionSlot = Arc<Mutex<Option<Arc<Connection>>>>;

/// Client that calls each peer over one shared connection.
///
/// # Examples
///
/// ```
/// # async fn example(client: limpet_peer::PeerClient) {
/// use std::time::Duration;
///
/// use limpet_types::message::PeerRequest;
///
/// let peer = "127.0.0.1:7102".parse().unwrap();
/// let reply = client.call(peer, &PeerRequest::Status, Duration::from_millis(200)).await;
/// # }
/// ```
#[derive(Clone, Debug, Default)]
pub struct PeerClient {
    slots: Arc<Mutex<HashMap<SocketAddr, ConnectionSlot>>>,
}

impl PeerClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request and waits for the reply; opens a connection first if there is none that new calls may
    /// use.
    ///
    /// New calls do not use the connection after a failed call, nor after a timeout if no reply to any call
    /// has arrived on the connection since the request was sent.
    ///
    /// Dropping the future resets the stream, which cancels the handler at the peer.
    ///
    /// # Errors
    ///
    /// Fails if no connection opens, the connection is lost, no reply arrives within `timeout` or a
    /// message cannot be encoded or decoded. [`PeerError::is_not_sent`] returns whether it is
    /// certain that the peer did not get the request.
    pub async fn call(
        &self,
        peer: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        self.call_with_accept_timeout(peer, request, timeout, timeout)
            .await
    }

    /// Works as [`PeerClient::call`], but sends the request only once the peer reacts, and gives up if it does not
    /// within `accept_timeout`.
    ///
    /// A peer begins its answer to a new stream at once, so one that is gone or frozen is noticed before it has the
    /// request. This takes a round trip more. Opening a connection counts towards the timeout.
    ///
    /// # Errors
    ///
    /// In addition to those of [`PeerClient::call`], [`PeerErrorKind::NotAccepted`].
    pub async fn call_with_accept_timeout(
        &self,
        peer: SocketAddr,
        request: &PeerRequest,
        accept_timeout: Duration,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let kind = message_metrics::request_kind(request);
        let body = codec::encode(request)
            .map_err(|error| PeerError::new(PeerErrorKind::NotSent, peer, error))?;
        let started_at = Instant::now();
        let connect_timeout = accept_timeout.min(timeout).min(CONNECT_TIMEOUT);
        let connection = self.get_or_open_connection(peer, connect_timeout);
        let connection = tokio::time::timeout(connect_timeout, connection)
            .await
            .map_err(|elapsed| PeerError::new(PeerErrorKind::Unreachable, peer, elapsed))??;
        let age_at_send_us = connection.age_us();
        let timeouts = ExchangeTimeouts {
            accept_at: (accept_timeout < timeout).then_some(started_at + accept_timeout),
            reply_at: started_at + timeout,
        };
        let result = exchange(&connection, peer, kind, body.into(), timeouts).await;
        match &result {
            Ok(_) => {}
            Err(error) if error.is_timeout() => {
                if connection.retire_if_silent_since(age_at_send_us) {
                    tracing::info!(%peer, "peer connection retired: no reply since the send");
                }
            }
            Err(_) => connection.retire(),
        }
        result
    }

    /// Closes all connections, so that calls in flight fail, and waits for the connections' tasks to end.
    pub async fn close(&self) {
        let slots: Vec<ConnectionSlot> = self
            .slots
            .lock()
            .await
            .drain()
            .map(|(_, slot)| slot)
            .collect();
        for slot in slots {
            if let Some(connection) = slot.lock().await.take() {
                connection.close().await;
            }
        }
    }

    /// Drops the connections to peers for which `keep` returns false; each one closes when the calls in
    /// flight on it have ended.
    pub async fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        self.slots.lock().await.retain(|peer, _| keep(*peer));
    }

    /// Returns the current connection to `peer`; opens a new one if there is none that new calls may use.
    async fn get_or_open_connection(
        &self,
        peer: SocketAddr,
        timeout: Duration,
    ) -> Result<Arc<Connection>, PeerError> {
        let slot = Arc::clone(self.slots.lock().await.entry(peer).or_default());
        let mut slot = slot.lock().await;
        if let Some(connection) = slot.as_ref().filter(|connection| connection.is_usable()) {
            return Ok(Arc::clone(connection));
        }
        let connection = Arc::new(Connection::open(peer, timeout).await?);
        *slot = Some(Arc::clone(&connection));
        Ok(connection)
    }
}

/// Points in time until which an exchange waits.
#[derive(Clone, Copy, Debug)]
struct ExchangeTimeouts {
    /// When the peer must have reacted, before the request is sent; `None` if the request is sent at once.
    accept_at: Option<Instant>,
    /// When the whole reply must have arrived.
    reply_at: Instant,
}

/// Sends an encoded request on a new stream and decodes the reply; `kind` is the metric label of both.
async fn exchange(
    connection: &Connection,
    peer: SocketAddr,
    kind: &'static str,
    body: Bytes,
    timeouts: ExchangeTimeouts,
) -> Result<PeerReply, PeerError> {
    let timeout_error =
        |_| PeerError::new(PeerErrorKind::Timeout, peer, "no reply before the timeout");
    let connection_lost_error =
        |error: h2::Error| PeerError::new(PeerErrorKind::ConnectionLost, peer, error);
    let sent = send_request(connection, peer, kind, body, timeouts.accept_at);
    let stream = timeout_at(timeouts.reply_at, sent)
        .await
        .map_err(timeout_error)??;
    let body = timeout_at(timeouts.reply_at, read_body(stream))
        .await
        .map_err(timeout_error)?
        .map_err(connection_lost_error)?;
    connection.record_reply();
    message_metrics::record_received(kind, body.len());
    codec::decode(&body).map_err(|error| PeerError::new(PeerErrorKind::InvalidReply, peer, error))
}

/// Sends an encoded request on a new stream and waits until the peer begins to answer; with `accept_at`, sends it
/// only after that, and not at all if the peer has not reacted by then.
async fn send_request(
    connection: &Connection,
    peer: SocketAddr,
    kind: &'static str,
    body: Bytes,
    accept_at: Option<Instant>,
) -> Result<RecvStream, PeerError> {
    let not_sent_error = |error: h2::Error| PeerError::new(PeerErrorKind::NotSent, peer, error);
    let connection_lost_error =
        |error: h2::Error| PeerError::new(PeerErrorKind::ConnectionLost, peer, error);
    let mut sender = connection.sender().ready().await.map_err(not_sent_error)?;
    let request = Request::post("http://peer/")
        .body(())
        .map_err(|error| PeerError::new(PeerErrorKind::NotSent, peer, error))?;
    let (mut reply, mut stream) = sender
        .send_request(request, false)
        .map_err(not_sent_error)?;
    let mut accepted = None;
    if let Some(accept_at) = accept_at {
        let mut result = timeout_at(accept_at, &mut reply).await;
        // After a stall, the timeout is noticed before the connection has read a reaction that arrived in time.
        if result.is_err() && accept_at.elapsed() >= STALL_MIN {
            result = timeout_at(Instant::now() + STALL_READ_TIME, &mut reply).await;
        }
        let context = "the peer did not react before the timeout";
        let result =
            result.map_err(|_| PeerError::new(PeerErrorKind::NotAccepted, peer, context))?;
        accepted = Some(result.map_err(not_sent_error)?);
    }
    let size_bytes = body.len();
    write_body(&mut stream, body)
        .await
        .map_err(connection_lost_error)?;
    message_metrics::record_sent(kind, size_bytes);
    let reply = match accepted {
        Some(reply) => reply,
        None => reply.await.map_err(connection_lost_error)?,
    };
    Ok(reply.into_body())
}
