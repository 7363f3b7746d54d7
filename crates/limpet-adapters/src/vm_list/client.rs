//! Reading of the list.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use http::StatusCode;
use serde::Deserialize;

use crate::{
    platform_get::{
        GetError,
        get, //
    },
    vm_list::Vm,
};

/// Room for 6,400 VMs of about 100 bytes each, several times over.
const BODY_SIZE_MAX_BYTES: usize = 8_000_000;
/// Time for one read.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why the list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// No response.
    #[error(transparent)]
    Get(#[from] GetError),
    /// A status that the protocol does not have.
    #[error("VM list answered {0}")]
    Status(StatusCode),
    /// A body that is not a list.
    #[error("VM list is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

#[derive(Deserialize)]
struct Document {
    vms: Vec<Vm>,
}

/// Client of the list of VMs.
#[derive(Clone, Copy, Debug)]
pub struct VmList {
    addr: SocketAddr,
}

impl VmList {
    /// Creates a client.
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails when the service is down, silent or answers outside its protocol.
    pub async fn fetch(&self) -> Result<Vec<Vm>, ListError> {
        let answer = get(self.addr, "/v1/vms", TIMEOUT, BODY_SIZE_MAX_BYTES).await?;
        if answer.status != StatusCode::OK {
            return Err(ListError::Status(answer.status));
        }
        let document: Document = serde_json::from_slice(&answer.body)?;
        Ok(document.vms)
    }
}
