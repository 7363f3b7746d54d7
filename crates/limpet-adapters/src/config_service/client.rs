//! Reads of the configuration text, with an optional wait for a newer revision.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use http::{
    HeaderMap,
    StatusCode, //
};
use limpet_types::Revision;

use crate::http_get::{
    HttpGetError,
    get, //
};

/// Response header with the revision of the text.
const REVISION_HEADER: &str = "x-revision";
/// Maximum size of a response body; twice the maximum size of a text, so that a text that is slightly
/// too large is read and reported as such.
const BODY_MAX_BYTES: usize = 2_000_000;
/// Time to connect and to receive the response, in addition to the requested wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Result of a read of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigReadOutcome {
    /// A text; a stale service may return an older one than requested.
    Text {
        /// Revision of the text.
        revision: Revision,
        /// Configuration text.
        text: Box<str>,
    },
    /// The service has no text newer than the revision given as `after`.
    Unchanged {
        /// Revision that the service holds, if the response contains it.
        revision: Option<Revision>,
    },
}

/// Why the configuration could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ConfigReadError {
    /// The GET request failed.
    #[error(transparent)]
    Get(#[from] HttpGetError),
    /// The response has a status that the protocol does not define.
    #[error("configuration service responded with unexpected status {0}")]
    UnexpectedStatus(StatusCode),
    /// The response contains a text but no valid revision.
    #[error("response of the configuration service has no valid {REVISION_HEADER} header")]
    InvalidRevision,
    /// The text is not valid UTF-8.
    #[error("text of the configuration service is not valid UTF-8: {0}")]
    Utf8(#[from] std::str::Utf8Error),
}

/// Client of the configuration service.
///
/// # Examples
///
/// ```no_run
/// # async fn example() -> Result<(), limpet_adapters::config_service::ConfigReadError> {
/// use std::time::Duration;
///
/// use limpet_adapters::config_service::ConfigServiceClient;
///
/// let service = ConfigServiceClient::new(([127, 0, 0, 1], 7000).into());
/// let outcome = service.read(0, Duration::ZERO).await?;
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ConfigServiceClient {
    addr: SocketAddr,
}

impl ConfigServiceClient {
    /// Creates a client.
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// Requests the text; if the service has none newer than `after`, it waits up to `wait` for one.
    ///
    /// # Errors
    ///
    /// Fails if the service is down, does not respond in time or violates the protocol.
    pub async fn read(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<ConfigReadOutcome, ConfigReadError> {
        let path = format!("/v1/config?after={after}&wait_ms={}", wait.as_millis());
        let timeout = wait + RESPONSE_TIMEOUT;
        let response = get(self.addr, &path, timeout, BODY_MAX_BYTES).await?;
        let revision = parse_revision(&response.headers);
        match response.status {
            StatusCode::OK => Ok(ConfigReadOutcome::Text {
                revision: revision.ok_or(ConfigReadError::InvalidRevision)?,
                text: std::str::from_utf8(&response.body)?.into(),
            }),
            StatusCode::NOT_MODIFIED => Ok(ConfigReadOutcome::Unchanged { revision }),
            status => Err(ConfigReadError::UnexpectedStatus(status)),
        }
    }
}

/// Returns the revision in the headers; 0 is invalid, because it means "none" in peer messages.
fn parse_revision(headers: &HeaderMap) -> Option<Revision> {
    let revision = headers.get(REVISION_HEADER)?.to_str().ok()?.parse().ok()?;
    (revision > 0).then_some(revision)
}
