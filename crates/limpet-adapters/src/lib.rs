//! Adapters to the systems outside: configuration service, VM list, targets.
//!
//! Each outside system is met in exactly one module, so that a change of its wire format stays there.

mod platform_get;

pub mod config_service;
pub mod target;
pub mod vm_list;
