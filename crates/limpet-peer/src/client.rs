//! Client for calls to peers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::Request;
use limpet_types::{
    codec,
    message::{
        PeerReply,
        PeerRequest, //
    },
};
use tokio::sync::Mutex;

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
        let kind = message_metrics::request_kind(request);
        let body = codec::encode(request)
            .map_err(|error| PeerError::new(PeerErrorKind::NotSent, peer, error))?;
        let started_at = tokio::time::Instant::now();
        let connection = self
            .get_or_open_connection(peer, timeout.min(CONNECT_TIMEOUT))
            .await?;
        let age_at_send_us = connection.age_us();
        let time_left = timeout.saturating_sub(started_at.elapsed());
        match tokio::time::timeout(time_left, exchange(&connection, peer, kind, body.into())).await
        {
            Ok(result) => {
                if result.is_err() {
                    connection.retire();
                }
                result
            }
            Err(_) => {
                if connection.retire_if_silent_since(age_at_send_us) {
                    tracing::info!(%peer, "peer connection retired: no reply since the send");
                }
                Err(PeerError::new(
                    PeerErrorKind::Timeout,
                    peer,
                    "no reply before the timeout",
                ))
            }
        }
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

/// Sends an encoded request on a new stream and decodes the reply; `kind` is the metric label of both.
async fn exchange(
    connection: &Connection,
    peer: SocketAddr,
    kind: &'static str,
    body: Bytes,
) -> Result<PeerReply, PeerError> {
    let not_sent_error = |error: h2::Error| PeerError::new(PeerErrorKind::NotSent, peer, error);
    let connection_lost_error =
        |error: h2::Error| PeerError::new(PeerErrorKind::ConnectionLost, peer, error);
    let mut sender = connection.sender().ready().await.map_err(not_sent_error)?;
    let request = Request::post("http://peer/")
        .body(())
        .map_err(|error| PeerError::new(PeerErrorKind::NotSent, peer, error))?;
    let (reply, mut stream) = sender
        .send_request(request, false)
        .map_err(not_sent_error)?;
    let size_bytes = body.len();
    write_body(&mut stream, body)
        .await
        .map_err(connection_lost_error)?;
    message_metrics::record_sent(kind, size_bytes);
    let reply = reply.await.map_err(connection_lost_error)?;
    let body = read_body(reply.into_body())
        .await
        .map_err(connection_lost_error)?;
    connection.record_reply();
    message_metrics::record_received(kind, body.len());
    codec::decode(&body).map_err(|error| PeerError::new(PeerErrorKind::InvalidReply, peer, error))
}
