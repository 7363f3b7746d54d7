//! One HTTP exchange.

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

/// Largest response that is read.
const RESPONSE_SIZE_MAX_BYTES: usize = 64 << 20;

/// Why no complete response came.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The process does not accept connections.
    #[error("cannot connect to {addr}: {source}")]
    Connect {
        /// Address.
        addr: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The exchange broke.
    #[error("exchange with {addr} broke: {source}")]
    Broken {
        /// Address.
        addr: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
    /// The response is too large.
    #[error("response of {addr} is larger than {RESPONSE_SIZE_MAX_BYTES} bytes")]
    TooLarge {
        /// Address.
        addr: SocketAddr,
    },
    /// No response came in time.
    #[error("no response from {addr} within {} ms", timeout.as_millis())]
    Timeout {
        /// Address.
        addr: SocketAddr,
        /// Time waited.
        timeout: Duration,
    },
}

/// Sends a request and reads the whole response.
///
/// # Errors
///
/// Fails when no complete response came within the time.
pub async fn exchange(
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<Response<Bytes>, ClientError> {
    let run = exchange_without_limit(addr, request);
    match tokio::time::timeout(timeout, run).await {
        Ok(result) => result,
        Err(_) => Err(ClientError::Timeout { addr, timeout }),
    }
}

async fn exchange_without_limit(
    addr: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, ClientError> {
    let broken = |source| ClientError::Broken { addr, source };
    let stream = TcpStream::connect(addr)
        .await
        .map_err(|source| ClientError::Connect { addr, source })?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(broken)?;
    let exchange = async {
        let response = sender.send_request(request).await.map_err(broken)?;
        let (head, body) = response.into_parts();
        let body = http_body_util::Limited::new(body, RESPONSE_SIZE_MAX_BYTES)
            .collect()
            .await
            .map_err(|error| match error.downcast::<hyper::Error>() {
                Ok(source) => broken(*source),
                Err(_) => ClientError::TooLarge { addr },
            })?;
        Ok(Response::from_parts(head, body.to_bytes()))
    };
    // The connection makes progress only while it is polled next to the exchange.
    let mut exchange = std::pin::pin!(exchange);
    tokio::select! {
        result = exchange.as_mut() => result,
        _ = connection => exchange.await,
    }
}
