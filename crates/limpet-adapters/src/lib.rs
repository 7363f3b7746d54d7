//! Clients of the external systems: the configuration service, the VM list and the targets.
//!
//! Only one module knows the wire format of each external system, so a format change stays local.

mod http_get;

pub mod config_service;
pub mod target;
pub mod vm_list;
