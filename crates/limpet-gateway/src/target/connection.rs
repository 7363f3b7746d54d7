//! HTTP/1.1 client connection, to a target or to the service that an adapter reads.

use std::{
    net::SocketAddr,
    sync::Arc,
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
use http_body_util::Full;
use hyper::client::conn::http1::{
    Builder,
    SendRequest, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::{
        Instant,
        timeout_at, //
    },
};

use super::{
    AttemptError, AttemptErrorKind, TargetReply,
    head_limit::{
        HeadLimit,
        HeadLimitedStream, //
    },
};
use crate::{
    background_tasks::BackgroundTasks,
    memory::{
        BodyMemory,
        receive_body, //
    },
};

/// Largest head of a reply. A target in trouble may send one without end.
const HEAD_MAX_BYTES: usize = 64 << 10;
/// Most bytes that are read before the head of a reply is complete, interim replies included: the largest head, and the
/// begin of the body that the same read returns.
const HEAD_READ_MAX_BYTES: usize = 2 * HEAD_MAX_BYTES;
/// Idle time after which a connection is not reused if the target sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Subtracted from the target's `Keep-Alive` timeout, so that no request is sent while the target closes the
/// connection.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// A request as it is sent to targets.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, except those that differ between targets.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Id of the request, which the target echoes in its reply.
    pub request_id: HeaderValue,
}

/// Limits of a reply.
#[derive(Clone, Debug)]
pub struct ReplyLimits {
    /// Largest body.
    pub body_max_bytes: usize,
    /// Memory that all bodies share.
    pub memory: Arc<BodyMemory>,
}

/// Handle of the task that drives the I/O of a connection; aborts the task on drop. The set that it belongs to joins it.
#[derive(Debug)]
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection; closed on drop.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    head_limit: Arc<HeadLimit>,
    idle_timeout: Duration,
    /// End of the latest request, or the time at which the connection was opened.
    idle_since: Instant,
    is_reused: bool,
    /// Id of the latest request, if its reply said that it did not run.
    rejected_request_id: Option<HeaderValue>,
    _task: ConnectionTask,
}

impl Connection {
    /// Connects to `addr`; the task of the connection belongs to `tasks`.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptErrorKind::Unreachable`] if no connection is established.
    pub async fn open(
        addr: SocketAddr,
        deadline: Instant,
        tasks: &BackgroundTasks,
    ) -> Result<Self, AttemptError> {
        let unreachable_error = |error: &dyn std::fmt::Display| {
            AttemptError::new(AttemptErrorKind::Unreachable, error) //
        };
        let connecting = timeout_at(deadline, TcpStream::connect(addr));
        let stream = connecting
            .await
            .map_err(|elapsed| unreachable_error(&elapsed))?;
        let stream = stream.map_err(|error| unreachable_error(&error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| unreachable_error(&error))?;
        let head_limit = HeadLimit::new();
        let stream = HeadLimitedStream::new(stream, Arc::clone(&head_limit));
        let handshake = Builder::new()
            .max_buf_size(HEAD_MAX_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|error| unreachable_error(&error))?;
        let task = tasks.spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%addr, %error, "connection ended");
            }
        });
        let task = task.ok_or_else(|| unreachable_error(&"the process stops"))?;
        Ok(Self {
            sender,
            head_limit,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            idle_since: Instant::now(),
            is_reused: false,
            rejected_request_id: None,
            _task: ConnectionTask(task),
        })
    }

    /// Returns whether the connection can carry another request.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.idle_since.elapsed() < self.idle_timeout
    }

    /// Returns the time after which the connection is not reused if it stays idle.
    pub const fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Returns whether the connection has already carried a request.
    pub const fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Records the id of the latest request if its reply said that it did not run, else `None`.
    pub fn record_rejection(&mut self, request_id: Option<HeaderValue>) {
        self.rejected_request_id = request_id;
    }

    /// Returns whether the latest request had this id and did not run: a late copy of the reply would be taken for the
    /// reply to another attempt of that request, which then runs although its caller is told that it did not.
    pub fn has_rejected(&self, request_id: &HeaderValue) -> bool {
        self.rejected_request_id.as_ref() == Some(request_id)
    }

    /// Sends a request and reads the whole reply.
    ///
    /// Returns the connection with the reply if it can carry another request.
    ///
    /// # Errors
    ///
    /// The kind of the error tells whether the request may have run.
    pub async fn exchange(
        mut self,
        request: Request<Full<Bytes>>,
        limits: &ReplyLimits,
        deadline: Instant,
    ) -> Result<(TargetReply, Option<Self>), AttemptError> {
        let timeout_error =
            |_| AttemptError::new(AttemptErrorKind::Timeout, "no reply before the deadline");
        let ready_result = timeout_at(deadline, self.sender.ready()).await;
        ready_result
            .map_err(timeout_error)?
            .map_err(|error| AttemptError::new(AttemptErrorKind::Unreachable, error))?;
        self.head_limit.expect_head(HEAD_READ_MAX_BYTES);
        let response = timeout_at(deadline, self.sender.try_send_request(request)).await;
        self.head_limit.record_head();
        let response = response.map_err(timeout_error)?.map_err(|mut error| {
            let is_sent = error.take_message().is_none();
            let kind = match is_sent {
                true => AttemptErrorKind::NoValidReply,
                false => AttemptErrorKind::Unreachable,
            };
            AttemptError::new(kind, error.into_error())
        })?;
        let (head, body) = response.into_parts();
        let body = receive_body(body, limits.body_max_bytes, &limits.memory);
        let body = timeout_at(deadline, body).await.map_err(timeout_error)?;
        let body =
            body.map_err(|error| AttemptError::new(AttemptErrorKind::NoValidReply, error))?;
        let reusable = self.into_reusable(&head.headers);
        let reply = TargetReply {
            status: head.status,
            headers: head.headers,
            body,
        };
        Ok((reply, reusable))
    }

    /// Returns the connection unless the target closes it after this reply.
    fn into_reusable(mut self, headers: &HeaderMap) -> Option<Self> {
        let is_closing = headers.get_all(CONNECTION).iter().any(|value| {
            let value = value.to_str().unwrap_or("close");
            value
                .split(',')
                .any(|option| option.trim().eq_ignore_ascii_case("close"))
        });
        if is_closing || self.sender.is_closed() {
            return None;
        }
        if let Some(timeout) = keep_alive_timeout(headers) {
            self.idle_timeout = timeout.saturating_sub(IDLE_TIMEOUT_MARGIN);
        }
        self.idle_since = Instant::now();
        self.is_reused = true;
        Some(self)
    }
}

/// Returns the timeout of the `Keep-Alive` header, or `None` if there is no valid one.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = value
        .split(',')
        .filter_map(|parameter| parameter.split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
