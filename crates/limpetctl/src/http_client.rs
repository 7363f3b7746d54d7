//! HTTP client that opens a new connection for each request.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Largest response body that is read.
const RESPONSE_BODY_MAX_BYTES: usize = 64 << 20;

/// Why no complete response was received.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The connection could not be established.
    #[error("cannot connect to {addr}: {source}")]
    Connect {
        /// Address of the process.
        addr: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// Sending the request or reading the response failed.
    #[error("HTTP exchange with {addr} failed: {source}")]
    Http {
        /// Address of the process.
        addr: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// The response body is too large.
    #[error("response body of {addr} is larger than {RESPONSE_BODY_MAX_BYTES} bytes")]
    TooLarge {
        /// Address of the process.
        addr: SocketAddr,
    },
    /// No complete response was received before the timeout.
    #[error("no response from {addr} within {} ms", timeout.as_millis())]
    Timeout {
        /// Address of the process.
        addr: SocketAddr,
        /// Timeout that elapsed.
        timeout: Duration,
    },
}

/// Sends a request and reads the whole response.
///
/// # Errors
///
/// Fails when no complete response is received before the timeout.
pub async fn exchange(
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Response<Bytes>, ClientError> {
    let exchange = exchange_without_timeout(addr, request);
    match tokio::time::timeout(timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(ClientError::Timeout { addr, timeout }),
    }
}

async fn exchange_without_timeout(
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, ClientError> {
    let http_error = |source| ClientError::Http { addr, source };
    let stream = TcpStream::connect(addr)
        .await
        .map_err(|source| ClientError::Connect { addr, source })?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(http_error)?;
    let exchange = async {
        let response = sender.send_request(request).await.map_err(http_error)?;
        let (head, body) = response.into_parts();
        let body = http_body_util::Limited::new(body, RESPONSE_BODY_MAX_BYTES)
            .collect()
            .await
            .map_err(|error| match error.downcast::<hyper::Error>() {
                Ok(source) => http_error(*source),
                Err(_) => ClientError::TooLarge { addr },
            })?;
        Ok(Response::from_parts(head, body.to_bytes()))
    };
    // The connection does the I/O of the exchange, so both must be polled.
    let mut exchange = std::pin::pin!(exchange);
    tokio::select! {
        result = exchange.as_mut() => result,
        _ = connection => exchange.await,
    }
}
