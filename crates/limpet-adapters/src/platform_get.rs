//! One GET request to a service of the platform.

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

/// A response, read whole.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Why there is no response.
#[derive(Debug, thiserror::Error)]
pub enum GetError {
    /// No connection.
    #[error("cannot connect to {addr}: {source}")]
    Connect {
        /// Address of the service.
        addr: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// No whole response within the time.
    #[error("no response of {addr} within {timeout:?}")]
    Timeout {
        /// Address of the service.
        addr: SocketAddr,
        /// Time waited.
        timeout: Duration,
    },
    /// The exchange failed.
    #[error("exchange with {addr} failed: {context}")]
    Exchange {
        /// Address of the service.
        addr: SocketAddr,
        /// Cause.
        context: Box<str>,
    },
}

/// Sends a GET request on a connection of its own and reads at most `limit_bytes` of body.
///
/// A connection of its own cannot have gone silent since its last use.
pub(crate) async fn get(
    addr: SocketAddr,
    path: &str,
    timeout: Duration,
    limit_bytes: usize,
) -> Result<Answer, GetError> {
    tokio::time::timeout(timeout, exchange(addr, path, limit_bytes))
        .await
        .unwrap_or(Err(GetError::Timeout { addr, timeout }))
}

async fn exchange(addr: SocketAddr, path: &str, limit_bytes: usize) -> Result<Answer, GetError> {
    let failed = |context: String| GetError::Exchange {
        addr,
        context: context.into(),
    };
    let stream = TcpStream::connect(addr)
        .await
        .map_err(|source| GetError::Connect { addr, source })?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| failed(error.to_string()))?;
    let request = Request::get(path)
        .header(header::HOST, addr.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|error| failed(error.to_string()))?;
    let answer = async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|error| failed(error.to_string()))?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, limit_bytes)
            .collect()
            .await
            .map_err(|error| failed(error.to_string()))?;
        Ok(Answer {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    };
    // The connection is driven here, so that a dropped call leaves no task behind.
    let mut answer = std::pin::pin!(answer);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        result = &mut answer => result,
        _ = &mut connection => answer.await,
    }
}
