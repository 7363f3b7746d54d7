//! A connection to a target.

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

/// Time at which a connection last received a part of a response, on the boot clock.
#[derive(Clone, Debug, Default)]
pub struct ResponseProgress(Arc<AtomicU64>);

impl ResponseProgress {
    /// Returns when the last part was received, or zero if none was.
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
    /// Connects to a target.
    ///
    /// # Errors
    ///
    /// Fails with [`TargetErrorKind::Refused`] or [`TargetErrorKind::Unreachable`].
    pub async fn open(target: TargetAddr, connect_timeout: Duration) -> Result<Self, TargetError> {
        let fail = |kind, context: &dyn std::fmt::Display| TargetError::new(kind, target, context);
        let stream = match timeout(connect_timeout, TcpStream::connect(target)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(fail(TargetErrorKind::Refused, &error));
            }
            Ok(Err(error)) => return Err(fail(TargetErrorKind::Unreachable, &error)),
            Err(elapsed) => return Err(fail(TargetErrorKind::Unreachable, &elapsed)),
        };
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|error| fail(TargetErrorKind::Unreachable, &error))?;
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
    /// that a late response cannot be taken for that of a later attempt.
    pub async fn send(
        mut self,
        request: &TargetRequest,
    ) -> (Result<TargetResponse, TargetError>, Option<Self>) {
        let result = self.exchange(request).await;
        let is_reusable = match &result {
            Ok(_) => true,
            Err(error) => matches!(
                error.kind,
                TargetErrorKind::Shed | TargetErrorKind::VersionNotHeld
            ),
        };
        let is_reusable = is_reusable && self.is_open();
        (result, is_reusable.then_some(self))
    }

    async fn exchange(&mut self, request: &TargetRequest) -> Result<TargetResponse, TargetError> {
        let target = self.target;
        let fail = |kind, context: &dyn std::fmt::Display| TargetError::new(kind, target, context);
        let http_request = request
            .to_http(target)
            .map_err(|error| fail(TargetErrorKind::NotWritten, &error))?;
        if let Err(error) = self.sender.ready().await {
            return Err(fail(TargetErrorKind::NotWritten, &error));
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
                return Err(fail(kind, &error.into_error()));
            }
        };
        self.response_progress.record_received();
        let (parts, body) = response.into_parts();
        // Without a length the end of the connection would end the body, so a truncated body would look
        // complete.
        let has_length = parts.headers.contains_key(CONTENT_LENGTH);
        if !has_length && !parts.headers.contains_key(TRANSFER_ENCODING) {
            return Err(fail(
                TargetErrorKind::Malformed,
                &"response has neither a content-length nor a transfer-encoding header",
            ));
        }
        let body = self.read_body(body).await?;
        self.check_response(request, &Response::from_parts(parts, ()), body)
    }

    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, TargetError> {
        let broken = |context: &dyn std::fmt::Display| {
            TargetError::new(TargetErrorKind::Broken, self.target, context)
        };
        let content_length = body.size_hint().exact();
        let mut received = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| broken(&error))?;
            self.response_progress.record_received();
            if let Some(data) = frame.data_ref() {
                received.extend_from_slice(data);
            }
        }
        match content_length {
            Some(bytes) if bytes != received.len() as u64 => Err(broken(&format_args!(
                "body has {} instead of {bytes} bytes",
                received.len()
            ))),
            _ => Ok(received.freeze()),
        }
    }

    fn check_response(
        &self,
        request: &TargetRequest,
        head: &Response<()>,
        body: Bytes,
    ) -> Result<TargetResponse, TargetError> {
        let fail =
            |kind, context: &dyn std::fmt::Display| TargetError::new(kind, self.target, context);
        let malformed = |context: String| fail(TargetErrorKind::Malformed, &context);
        let headers = head.headers();
        // The identity is checked first: no other header of a response to another attempt is relevant.
        if !belongs_to_attempt(headers, request).map_err(malformed)? {
            return Err(fail(
                TargetErrorKind::Crossed,
                &"response belongs to another attempt",
            ));
        }
        let report = headers::parse_report(headers).map_err(malformed)?;
        let is_not_run = headers
            .get("x-not-run")
            .is_some_and(|value| value == "true");
        let kind = match head.status() {
            StatusCode::OK => None,
            StatusCode::CONFLICT if is_not_run => Some(TargetErrorKind::VersionNotHeld),
            StatusCode::SERVICE_UNAVAILABLE if is_not_run => Some(TargetErrorKind::Shed),
            _ => Some(TargetErrorKind::Failed),
        };
        if let Some(kind) = kind {
            let context = format_args!("status {}", head.status());
            return Err(fail(kind, &context).with_report(report));
        }
        let snapshot = match request.snapshot {
            None => None,
            Some(_) => Some(headers::number(headers, "x-index-version").map_err(malformed)?),
        };
        if snapshot != request.snapshot {
            let context = "response was read from another index version than requested";
            return Err(fail(TargetErrorKind::Malformed, &context).with_report(report));
        }
        Ok(TargetResponse {
            report,
            snapshot,
            range: headers::parse_range(headers).map_err(malformed)?,
            found: headers::text(headers, "x-found").map_err(malformed)? == "true",
            body,
        })
    }
}

fn belongs_to_attempt(headers: &HeaderMap, request: &TargetRequest) -> Result<bool, String> {
    let request_id = headers::text(headers, "x-request-id")?;
    let attempt: u32 = headers::number(headers, "x-attempt")?;
    Ok(request_id == request.request_id_text() && attempt == request.attempt)
}
