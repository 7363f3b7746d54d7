//! One connection to one target.

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

/// Boot time at which a connection last delivered a part of a response.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<AtomicU64>);

impl Progress {
    /// Returns the boot time of the last delivered part; zero before the first.
    pub fn last(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Acquire))
    }

    fn note(&self) {
        let now_us = BootClock::new().now().as_micros() as u64;
        self.0.store(now_us, Ordering::Release);
    }
}

/// Ends the task that drives a connection, which closes its socket.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// One connection to one target; dropping it closes the socket.
#[derive(Debug)]
pub struct TargetConnection {
    target: TargetAddr,
    sender: SendRequest<Full<Bytes>>,
    progress: Progress,
    _driver: Driver,
}

impl TargetConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails with [`TargetErrorKind::Refused`] or [`TargetErrorKind::Unreachable`].
    pub async fn open(target: TargetAddr, limit: Duration) -> Result<Self, TargetError> {
        let fail = |kind, context: &dyn std::fmt::Display| TargetError::new(kind, target, context);
        let stream = match timeout(limit, TcpStream::connect(target)).await {
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
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%target, %error, "target connection ended");
            }
        });
        Ok(Self {
            target,
            sender,
            progress: Progress::default(),
            _driver: Driver(driver),
        })
    }

    /// Returns whether the connection is still open as far as this side knows.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns the record of delivered parts.
    pub fn progress(&self) -> Progress {
        self.progress.clone()
    }

    /// Sends one attempt and reads its whole response.
    ///
    /// The connection comes back only if it can be used again. Dropping the future closes the
    /// connection, so that a late response can never meet a later attempt.
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
        let message = request
            .to_http(target)
            .map_err(|error| fail(TargetErrorKind::NotWritten, &error))?;
        if let Err(error) = self.sender.ready().await {
            return Err(fail(TargetErrorKind::NotWritten, &error));
        }
        let response = match self.sender.try_send_request(message).await {
            Ok(response) => response,
            // The request comes back only if no byte of it was written.
            Err(mut error) => {
                let kind = if error.take_message().is_some() {
                    TargetErrorKind::NotWritten
                } else {
                    TargetErrorKind::Broken
                };
                return Err(fail(kind, &error.into_error()));
            }
        };
        self.progress.note();
        let (head, body) = response.into_parts();
        // A body that ends with the connection has no announced length, so a cut would go unseen.
        let has_length = head.headers.contains_key(CONTENT_LENGTH);
        if !has_length && !head.headers.contains_key(TRANSFER_ENCODING) {
            return Err(fail(TargetErrorKind::Malformed, &"body has no length"));
        }
        let body = self.read_body(body).await?;
        self.check(request, &Response::from_parts(head, ()), body)
    }

    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, TargetError> {
        let broken = |context: &dyn std::fmt::Display| {
            TargetError::new(TargetErrorKind::Broken, self.target, context)
        };
        let announced_bytes = body.size_hint().exact();
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| broken(&error))?;
            self.progress.note();
            if let Some(data) = frame.data_ref() {
                whole.extend_from_slice(data);
            }
        }
        match announced_bytes {
            Some(bytes) if bytes != whole.len() as u64 => Err(broken(&format_args!(
                "body has {} of {bytes} bytes",
                whole.len()
            ))),
            _ => Ok(whole.freeze()),
        }
    }

    fn check(
        &self,
        request: &TargetRequest,
        head: &Response<()>,
        body: Bytes,
    ) -> Result<TargetResponse, TargetError> {
        let fail =
            |kind, context: &dyn std::fmt::Display| TargetError::new(kind, self.target, context);
        let malformed = |context: String| fail(TargetErrorKind::Malformed, &context);
        let headers = head.headers();
        // Whose response it is comes first: nothing else in a crossed response concerns this attempt.
        if !echoes(headers, request).map_err(malformed)? {
            return Err(fail(
                TargetErrorKind::Crossed,
                &"response names another attempt",
            ));
        }
        let report = headers::report(headers).map_err(malformed)?;
        let says_not_run = headers
            .get("x-not-run")
            .is_some_and(|value| value == "true");
        let kind = match head.status() {
            StatusCode::OK => None,
            StatusCode::CONFLICT if says_not_run => Some(TargetErrorKind::VersionNotHeld),
            StatusCode::SERVICE_UNAVAILABLE if says_not_run => Some(TargetErrorKind::Shed),
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
            let context = "response comes from another index version";
            return Err(fail(TargetErrorKind::Malformed, &context).with_report(report));
        }
        Ok(TargetResponse {
            report,
            snapshot,
            range: headers::range(headers).map_err(malformed)?,
            found: headers::text(headers, "x-found").map_err(malformed)? == "true",
            body,
        })
    }
}

fn echoes(headers: &HeaderMap, request: &TargetRequest) -> Result<bool, String> {
    let request_id = headers::text(headers, "x-request-id")?;
    let attempt: u32 = headers::number(headers, "x-attempt")?;
    Ok(request_id == request.request_id_text() && attempt == request.attempt)
}
