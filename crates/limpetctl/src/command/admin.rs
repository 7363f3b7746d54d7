//! Requests to the admin address of a process.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde::de::DeserializeOwned;

use crate::{
    exit::Exit,
    http_client::{
        self,
        ClientError, //
    },
};

/// Longest wait for a document.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Why a document was not received.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdminError {
    /// No complete response came.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The path cannot stand in a request.
    #[error("cannot ask for {path}: {source}")]
    Path {
        /// Path with its query.
        path: Box<str>,
        /// Cause.
        source: http::Error,
    },
    /// The process refused.
    #[error("{addr} answered HTTP {status}: {message}")]
    Refused {
        /// Address.
        addr: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Body of the response.
        message: Box<str>,
    },
    /// The document has another form.
    #[error("{addr} sent a document of another form: {source}")]
    Form {
        /// Address.
        addr: SocketAddr,
        /// Cause.
        source: serde_json::Error,
    },
}

impl AdminError {
    /// Prints the error and returns how the command ended.
    pub(crate) fn report(&self) -> Exit {
        eprintln!("error: {self}");
        match self {
            Self::Client(_) => Exit::NoResponse,
            Self::Path { .. } => Exit::Usage,
            Self::Refused { .. } | Self::Form { .. } => Exit::Failed,
        }
    }
}

/// A document with the JSON text it came as.
#[derive(Debug)]
pub(crate) struct Received<T> {
    /// Document.
    pub(crate) document: T,
    /// JSON text.
    pub(crate) json: Box<str>,
}

/// Gets a document.
pub(crate) async fn get<T: DeserializeOwned>(
    addr: SocketAddr,
    path: &str,
) -> Result<Received<T>, AdminError> {
    let request = Request::get(path)
        .header("host", addr.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|source| AdminError::Path {
            path: path.into(),
            source,
        })?;
    let response = http_client::exchange(addr, request, TIMEOUT).await?;
    let text = String::from_utf8_lossy(response.body());
    if !response.status().is_success() {
        return Err(AdminError::Refused {
            addr,
            status: response.status().as_u16(),
            message: text.trim().into(),
        });
    }
    let document =
        serde_json::from_str(&text).map_err(|source| AdminError::Form { addr, source })?;
    Ok(Received {
        document,
        json: text.into(),
    })
}

/// Escapes a value for the query part of a path.
pub(crate) fn escape(value: &str) -> String {
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
