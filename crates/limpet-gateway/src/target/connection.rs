//! One HTTP/1.1 connection as a client, to a target or to what the adapter reads.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    HeaderValue,
    Method,
    Request,
    Uri,
    header::CONNECTION, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::client::conn::http1::{
    Builder,
    SendRequest, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{
        Instant,
        timeout_at, //
    },
};

use super::{
    AttemptError,
    AttemptErrorKind,
    TargetReply, //
};

/// Largest body of a reply; the largest that the users state are some ten kilobytes of a target and
/// 1 MB of their store, in base64.
const BODY_MAX_BYTES: usize = 8 << 20;
/// Idle time after which a connection is not used again if the target states no limit.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
/// A connection is given up this long before the target would close it.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// A request as it goes to a target.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers without those that differ from target to target.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Identifies the request; the reply repeats it.
    pub request_id: HeaderValue,
}

#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection; dropping it closes the socket.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    idle_limit: Duration,
    idle_since: Instant,
    is_reused: bool,
    _driver: Driver,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails with [`AttemptErrorKind::Unreachable`].
    pub async fn open(addr: SocketAddr, deadline: Instant) -> Result<Self, AttemptError> {
        let fail = |error: &dyn std::fmt::Display| {
            AttemptError::new(AttemptErrorKind::Unreachable, error) //
        };
        let connecting = timeout_at(deadline, TcpStream::connect(addr));
        let stream = connecting.await.map_err(|elapsed| fail(&elapsed))?;
        let stream = stream.map_err(|error| fail(&error))?;
        stream.set_nodelay(true).map_err(|error| fail(&error))?;
        let handshake = Builder::new().handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|error| fail(&error))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%addr, %error, "connection ended");
            }
        });
        Ok(Self {
            sender,
            idle_limit: IDLE_DEFAULT,
            idle_since: Instant::now(),
            is_reused: false,
            _driver: Driver(driver),
        })
    }

    /// Returns whether another request may be sent.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.idle_since.elapsed() < self.idle_limit
    }

    /// Returns whether the connection carried a request before.
    pub const fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends one request and reads the whole reply.
    ///
    /// The connection comes back only if it may carry another request.
    ///
    /// # Errors
    ///
    /// The kind tells whether the request may have run.
    pub async fn exchange(
        mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<(TargetReply, Option<Self>), AttemptError> {
        let timed_out = |_| AttemptError::new(AttemptErrorKind::Timeout, "no reply in time");
        let ready = timeout_at(deadline, self.sender.ready()).await;
        ready
            .map_err(timed_out)?
            .map_err(|error| AttemptError::new(AttemptErrorKind::Unreachable, error))?;
        let response = timeout_at(deadline, self.sender.try_send_request(request)).await;
        let response = response.map_err(timed_out)?.map_err(|mut error| {
            let is_sent = error.take_message().is_none();
            let kind = match is_sent {
                true => AttemptErrorKind::Broken,
                false => AttemptErrorKind::Unreachable,
            };
            AttemptError::new(kind, error.into_error())
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, BODY_MAX_BYTES).collect();
        let body = timeout_at(deadline, body).await.map_err(timed_out)?;
        let body = body.map_err(|error| AttemptError::new(AttemptErrorKind::Broken, error))?;
        let kept = self.into_kept(&head.headers);
        let reply = TargetReply {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        };
        Ok((reply, kept))
    }

    fn into_kept(mut self, headers: &HeaderMap) -> Option<Self> {
        let closes = headers.get_all(CONNECTION).iter().any(|value| {
            let value = value.to_str().unwrap_or("close");
            value
                .split(',')
                .any(|word| word.trim().eq_ignore_ascii_case("close"))
        });
        if closes || self.sender.is_closed() {
            return None;
        }
        if let Some(limit) = stated_idle_limit(headers) {
            self.idle_limit = limit.saturating_sub(IDLE_MARGIN);
        }
        self.idle_since = Instant::now();
        self.is_reused = true;
        Some(self)
    }
}

/// Returns the idle time that a target states in `Keep-Alive`.
fn stated_idle_limit(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = value.split(',').filter_map(|word| word.split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
