//! Client of the platform's list of VMs.

mod client;
mod vm;

pub use client::{
    ListError,
    VmList, //
};
pub use vm::{
    Vm,
    VmState, //
};

pub use crate::platform_get::GetError;
