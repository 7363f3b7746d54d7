//! Entries of the VM list, one for each VM.

use std::net::IpAddr;

use limpet_types::ZoneName;
use serde::{
    Deserialize,
    Serialize, //
};

/// Whether the platform is about to stop a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM keeps running.
    Live,
    /// The platform is about to stop the VM.
    Leaving,
}

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Box<str>,
    /// IP address at which the VM is reached.
    pub ip: IpAddr,
    /// Availability zone that the VM runs in.
    pub zone: ZoneName,
    /// Whether the platform is about to stop the VM.
    pub state: VmState,
}
