//! HTTP GET requests, each on a new connection.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    HeaderMap,
    Request,
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt,
    Empty,
    Limited, //
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// A complete response to a GET request.
#[derive(Debug)]
pub(crate) struct GetResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why a GET request failed.
#[derive(Debug, thiserror::Error)]
pub enum HttpGetError {
    /// Connecting failed.
    #[error("cannot connect to {addr}: {source}")]
    Connect {
        /// Address of the service.
        addr: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The response was not complete within the timeout.
    #[error("no complete response from {addr} within {timeout:?}")]
    Timeout {
        /// Address of the service.
        addr: SocketAddr,
        /// Timeout that elapsed.
        timeout: Duration,
    },
    /// Sending the request or reading the response failed.
    #[error("HTTP exchange with {addr} failed: {context}")]
    Exchange {
        /// Address of the service.
        addr: SocketAddr,
        /// Cause.
        context: Box<str>,
    },
}

/// Sends a GET request on a new connection and fails if the body exceeds `body_max_bytes`.
///
/// Connections are not reused, because one could have been lost unnoticed since its last use.
pub(crate) async fn get(
    addr: SocketAddr,
    path: &str,
    timeout: Duration,
    body_max_bytes: usize,
) -> Result<GetResponse, HttpGetError> {
    tokio::time::timeout(
        timeout,
        exchange_without_timeout(addr, path, body_max_bytes),
    )
    .await
    .unwrap_or(Err(HttpGetError::Timeout { addr, timeout }))
}

async fn exchange_without_timeout(
    addr: SocketAddr,
    path: &str,
    body_max_bytes: usize,
) -> Result<GetResponse, HttpGetError> {
    let exchange_error = |context: String| HttpGetError::Exchange {
        addr,
        context: context.into(),
    };
    let stream = TcpStream::connect(addr)
        .await
        .map_err(|source| HttpGetError::Connect { addr, source })?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| exchange_error(error.to_string()))?;
    let request = Request::get(path)
        .header(header::HOST, addr.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| exchange_error(error.to_string()))?;
    let response_future = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| exchange_error(error.to_string()))?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, body_max_bytes)
            .collect()
            .await
            .map_err(|error| exchange_error(error.to_string()))?;
        Ok(GetResponse {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    };
    // The connection is polled here, not in a task, so that dropping the future leaves no task behind.
    let mut response_future = std::pin::pin!(response_future);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        result = &mut response_future => result,
        _ = &mut connection => response_future.await,
    }
}
