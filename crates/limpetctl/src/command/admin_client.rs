//! HTTP client for the admin address of a process, used by `status` and `explain`.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde::de::DeserializeOwned;

use crate::{
    exit_status::ExitStatus,
    http_client::{
        self,
        ClientError, //
    },
};

/// Timeout of a request to the admin address.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a document was not received.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdminError {
    /// No complete response was received.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The path is not valid in an HTTP request.
    #[error("path {path} is not valid in an HTTP request: {source}")]
    InvalidPath {
        /// Path with its query.
        path: Box<str>,
        /// Cause.
        source: http::Error,
    },
    /// The process refused the request.
    #[error("{addr} answered HTTP {status}: {message}")]
    Refused {
        /// Address of the process.
        addr: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Body of the response.
        message: Box<str>,
    },
    /// The body of the response is not the expected JSON document.
    #[error("{addr} sent an unexpected document: {source}")]
    InvalidDocument {
        /// Address of the process.
        addr: SocketAddr,
        /// Cause.
        source: serde_json::Error,
    },
}

impl AdminError {
    /// Prints the error and returns the exit status of the command.
    pub(crate) fn report(&self) -> ExitStatus {
        eprintln!("error: {self}");
        match self {
            Self::Client(_) => ExitStatus::NoResponse,
            Self::InvalidPath { .. } => ExitStatus::Usage,
            Self::Refused { .. } | Self::InvalidDocument { .. } => ExitStatus::Failed,
        }
    }
}

/// A parsed document with the JSON text that was received.
#[derive(Debug)]
pub(crate) struct ReceivedDocument<T> {
    /// Parsed document.
    pub(crate) document: T,
    /// JSON text that the document was parsed from.
    pub(crate) json: Box<str>,
}

/// Requests a JSON document and parses it.
pub(crate) async fn get<T: DeserializeOwned>(
    addr: SocketAddr,
    path: &str,
) -> Result<ReceivedDocument<T>, AdminError> {
    let request = Request::get(path)
        .header("host", addr.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|source| AdminError::InvalidPath {
            path: path.into(),
            source,
        })?;
    let response = http_client::exchange(addr, request, REQUEST_TIMEOUT).await?;
    let text = String::from_utf8_lossy(response.body());
    if !response.status().is_success() {
        return Err(AdminError::Refused {
            addr,
            status: response.status().as_u16(),
            message: text.trim().into(),
        });
    }
    let document = serde_json::from_str(&text)
        .map_err(|source| AdminError::InvalidDocument { addr, source })?;
    Ok(ReceivedDocument {
        document,
        json: text.into(),
    })
}

/// Percent-encodes a value for the query part of a path.
pub(crate) fn percent_encode(value: &str) -> String {
    value
        .bytes()
        .map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}
