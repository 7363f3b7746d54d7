//! A connection to a target, which carries one attempt at a time.

use std::{
    io::ErrorKind,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::{
    Bytes,
    BytesMut, //
};
use http::{
    HeaderMap, Response, StatusCode,
    header::{
        CONTENT_LENGTH,
        TRANSFER_ENCODING, //
    },
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    body::{
        Body,
        Incoming, //
    },
    client::conn::http1::{
        SendRequest,
        handshake, //
    },
};
use hyper_util::rt::TokioIo;
use limpet_types::{
    BootClock,
    TargetAddr, //
};
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::timeout, //
};

use crate::target::{
    TargetError,
    TargetErrorKind,
    TargetRequest,
    TargetResponse,
    headers, //
};

/// Time at which a connection last received a part of a response, as time since boot.
///
/// All clones share the time, so that it can be read while the connection runs an attempt.
#[derive(Clone, Debug, Default)]
pub struct ResponseProgress(Arc<AtomicU64>);

impl ResponseProgress {
    /// Returns the time since boot at which the last part of a response was received; zero if none was.
    pub fn last_received(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Acquire))
    }

    fn record_received(&self) {
        let now_us = BootClock::new().now().as_micros() as u64;
        self.0.store(now_us, Ordering::Release);
    }
}

/// The task that drives a connection; dropping it aborts the task, which closes the socket.
#[derive(Debug)]
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to a target; dropping it closes the socket.
#[derive(Debug)]
pub struct TargetConnection {
    target: TargetAddr,
    sender: SendRequest<Full<Bytes>>,
    response_progress: ResponseProgress,
    _task: ConnectionTask,
}

impl TargetConnection {
    /// Connects to a target within the timeout.
    ///
    /// # Errors
    ///
    /// Fails with [`TargetErrorKind::Refused`] or [`TargetErrorKind::Unreachable`].
    pub async fn open(target: TargetAddr, connect_timeout: Duration) -> Result<Self, TargetError> {
        let error_of_kind =
            |kind, context: &dyn std::fmt::Display| TargetError::new(kind, target, context);
        let stream = match timeout(connect_timeout, TcpStream::connect(target)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(error_of_kind(TargetErrorKind::Refused, &error));
            }
            Ok(Err(error)) => return Err(error_of_kind(TargetErrorKind::Unreachable, &error)),
            Err(elapsed) => return Err(error_of_kind(TargetErrorKind::Unreachable, &elapsed)),
        };
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error_of_kind(TargetErrorKind::Unreachable, &error))?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%target, %error, "target connection ended");
            }
        });
        Ok(Self {
            target,
            sender,
            response_progress: ResponseProgress::default(),
            _task: ConnectionTask(task),
        })
    }

    /// Returns whether the connection is not known to be closed.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns a handle to the time at which the last part of a response was received.
    pub fn response_progress(&self) -> ResponseProgress {
        self.response_progress.clone()
    }

    /// Sends one attempt and reads its complete response.
    ///
    /// Returns the connection only if it can be reused. Dropping the future closes the connection, so
    /// that a late response cannot be mistaken for the response to a later attempt.
    pub async fn send(
        mut self,
        request: &TargetRequest,
    ) -> (Result<TargetResponse, TargetError>, Option<Self>) {
        let result = self.exchange(request).await;
        let is_response_complete = match &result {
            Ok(_) => true,
            Err(error) => matches!(
                error.kind,
                TargetErrorKind::Shed | TargetErrorKind::VersionNotHeld
            ),
        };
        let is_reusable = is_response_complete && self.is_open();
        (result, is_reusable.then_some(self))
    }

    /// Sends a request and returns its response after all checks.
    async fn exchange(&mut self, request: &TargetRequest) -> Result<TargetResponse, TargetError> {
        let target = self.target;
        let error_of_kind =
            |kind, context: &dyn std::fmt::Display| TargetError::new(kind, target, context);
        let http_request = request
            .to_http(target)
            .map_err(|error| error_of_kind(TargetErrorKind::NotWritten, &error))?;
        if let Err(error) = self.sender.ready().await {
            return Err(error_of_kind(TargetErrorKind::NotWritten, &error));
        }
        let response = match self.sender.try_send_request(http_request).await {
            Ok(response) => response,
            // hyper returns the request only if it wrote no byte of it.
            Err(mut error) => {
                let kind = if error.take_message().is_some() {
                    TargetErrorKind::NotWritten
                } else {
                    TargetErrorKind::Broken
                };
                return Err(error_of_kind(kind, &error.into_error()));
            }
        };
        self.response_progress.record_received();
        let (head, body) = response.into_parts();
        // Without a length, the body ends when the connection closes, so a truncated body would look
        // complete.
        let has_content_length = head.headers.contains_key(CONTENT_LENGTH);
        if !has_content_length && !head.headers.contains_key(TRANSFER_ENCODING) {
            return Err(error_of_kind(
                TargetErrorKind::Malformed,
                &"response has neither a content-length nor a transfer-encoding header",
            ));
        }
        let body = self.read_body(body).await?;
        self.check_response(request, &Response::from_parts(head, ()), body)
    }

    /// Reads the whole body; fails if its length differs from the `content-length` header, if there is one.
    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, TargetError> {
        let broken_error = |context: &dyn std::fmt::Display| {
            TargetError::new(TargetErrorKind::Broken, self.target, context)
        };
        let content_length = body.size_hint().exact();
        let mut received = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| broken_error(&error))?;
            self.response_progress.record_received();
            if let Some(data) = frame.data_ref() {
                received.extend_from_slice(data);
            }
        }
        match content_length {
            Some(expected_bytes) if expected_bytes != received.len() as u64 => {
                Err(broken_error(&format_args!(
                    "body has {} instead of {expected_bytes} bytes",
                    received.len()
                )))
            }
            _ => Ok(received.freeze()),
        }
    }

    /// Checks that a response belongs to the request and reports success, and parses its headers.
    fn check_response(
        &self,
        request: &TargetRequest,
        head: &Response<()>,
        body: Bytes,
    ) -> Result<TargetResponse, TargetError> {
        let error_of_kind =
            |kind, context: &dyn std::fmt::Display| TargetError::new(kind, self.target, context);
        let malformed_error = |context: String| error_of_kind(TargetErrorKind::Malformed, &context);
        let headers = head.headers();
        // The identifiers are checked first: a response to another attempt says nothing about this one.
        if !belongs_to_attempt(headers, request).map_err(malformed_error)? {
            return Err(error_of_kind(
                TargetErrorKind::Crossed,
                &"response belongs to another attempt",
            ));
        }
        let report = headers::parse_report(headers).map_err(malformed_error)?;
        let is_not_run = headers
            .get("x-not-run")
            .is_some_and(|value| value == "true");
        let error_kind = match head.status() {
            StatusCode::OK => None,
            StatusCode::CONFLICT if is_not_run => Some(TargetErrorKind::VersionNotHeld),
            StatusCode::SERVICE_UNAVAILABLE if is_not_run => Some(TargetErrorKind::Shed),
            _ => Some(TargetErrorKind::Failed),
        };
        if let Some(kind) = error_kind {
            let context = format_args!("status {}", head.status());
            return Err(error_of_kind(kind, &context).with_report(report));
        }
        let snapshot = match request.snapshot {
            None => None,
            Some(_) => Some(
                headers::required_number(headers, "x-index-version").map_err(malformed_error)?,
            ),
        };
        if snapshot != request.snapshot {
            let context = "response was read from another index version than requested";
            return Err(error_of_kind(TargetErrorKind::Malformed, &context).with_report(report));
        }
        Ok(TargetResponse {
            report,
            snapshot,
            range: headers::parse_range(headers).map_err(malformed_error)?,
            found: headers::required_text(headers, "x-found").map_err(malformed_error)? == "true",
            body,
        })
    }
}

/// Returns whether the headers repeat the request identifier and the attempt number of a request.
fn belongs_to_attempt(headers: &HeaderMap, request: &TargetRequest) -> Result<bool, String> {
    let request_id = headers::required_text(headers, "x-request-id")?;
    let attempt: u32 = headers::required_number(headers, "x-attempt")?;
    Ok(request_id == request.request_id_text() && attempt == request.attempt)
}
