//! Reads and waiting watches.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use http::{
    HeaderMap,
    StatusCode, //
};
use limpet_types::Revision;

use crate::platform_get::{
    GetError,
    get, //
};

const REVISION_HEADER: &str = "x-revision";
/// Largest value that the service holds, with room to recognize one that is too large.
const BODY_SIZE_MAX_BYTES: usize = 2_000_000;
/// Time for connecting and answering, beyond the wait asked for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What a read showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// A text, newer or not.
    Text {
        /// Revision.
        revision: Revision,
        /// Text.
        text: Box<str>,
    },
    /// Nothing after the revision asked for.
    Unchanged {
        /// Revision that the service holds, if it told.
        revision: Option<Revision>,
    },
}

/// Why a read failed.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// No response.
    #[error(transparent)]
    Get(#[from] GetError),
    /// A status that the protocol does not have.
    #[error("configuration service answered {0}")]
    Status(StatusCode),
    /// A text without a usable revision.
    #[error("configuration service sent no usable {REVISION_HEADER} header")]
    Revision,
    /// A text that is not UTF-8.
    #[error("configuration service sent a text that is not UTF-8: {0}")]
    Utf8(#[from] std::str::Utf8Error),
}

/// Client of the configuration service.
///
/// # Examples
///
/// ```no_run
/// # async fn example() -> Result<(), limpet_adapters::config_service::ReadError> {
/// use std::time::Duration;
///
/// use limpet_adapters::config_service::ConfigService;
///
/// let service = ConfigService::new(([127, 0, 0, 1], 7000).into());
/// let read = service.read(0, Duration::ZERO).await?;
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ConfigService {
    addr: SocketAddr,
}

impl ConfigService {
    /// Creates a client.
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// Reads the text if it is newer than `after`, else waits up to `wait` for a newer one.
    ///
    /// # Errors
    ///
    /// Fails when the service is down, silent or answers outside its protocol.
    pub async fn read(&self, after: Revision, wait: Duration) -> Result<Read, ReadError> {
        let path = format!("/v1/config?after={after}&wait_ms={}", wait.as_millis());
        let timeout = wait + ANSWER_TIMEOUT;
        let answer = get(self.addr, &path, timeout, BODY_SIZE_MAX_BYTES).await?;
        let revision = revision_of(&answer.headers);
        match answer.status {
            StatusCode::OK => Ok(Read::Text {
                revision: revision.ok_or(ReadError::Revision)?,
                text: std::str::from_utf8(&answer.body)?.into(),
            }),
            StatusCode::NOT_MODIFIED => Ok(Read::Unchanged { revision }),
            status => Err(ReadError::Status(status)),
        }
    }
}

/// Returns the revision; 0 stands for "none" in peer messages, so it is not usable.
fn revision_of(headers: &HeaderMap) -> Option<Revision> {
    let revision = headers.get(REVISION_HEADER)?.to_str().ok()?.parse().ok()?;
    (revision > 0).then_some(revision)
}
