//! Reads of the VM list.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use http::StatusCode;
use serde::Deserialize;

use crate::{
    http_get::{
        HttpGetError,
        get, //
    },
    vm_list::Vm,
};

/// Maximum size of a response body; 6,400 VMs of about 100 bytes each take less than a tenth of it.
const BODY_MAX_BYTES: usize = 8_000_000;
/// Time to connect and to receive the complete VM list.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why the VM list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum VmListError {
    /// The GET request failed.
    #[error(transparent)]
    Get(#[from] HttpGetError),
    /// The response has a status that the protocol does not define.
    #[error("VM list service responded with unexpected status {0}")]
    UnexpectedStatus(StatusCode),
    /// The body is not a valid VM list.
    #[error("VM list is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Body of a response of the VM list service.
#[derive(Deserialize)]
struct VmListDocument {
    vms: Vec<Vm>,
}

/// Client of the platform's VM list.
#[derive(Clone, Copy, Debug)]
pub struct VmListClient {
    addr: SocketAddr,
}

impl VmListClient {
    /// Creates a client.
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// Reads the VM list.
    ///
    /// # Errors
    ///
    /// Fails if the service is down, does not respond in time or violates the protocol.
    pub async fn fetch(&self) -> Result<Vec<Vm>, VmListError> {
        let response = get(self.addr, "/v1/vms", READ_TIMEOUT, BODY_MAX_BYTES).await?;
        if response.status != StatusCode::OK {
            return Err(VmListError::UnexpectedStatus(response.status));
        }
        let document: VmListDocument = serde_json::from_slice(&response.body)?;
        Ok(document.vms)
    }
}
