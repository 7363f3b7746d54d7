//! Entries of the list.

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
    /// It is not.
    Live,
    /// It is.
    Leaving,
}

/// One VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name.
    pub name: Box<str>,
    /// Address.
    pub ip: IpAddr,
    /// Zone.
    pub zone: ZoneName,
    /// Whether it is about to stop.
    pub state: VmState,
}
