//! Client of the VM list of the platform.

mod client;
mod vm;

pub use client::{
    VmList, //
    VmListError,
};
pub use vm::{
    Vm,
    VmState, //
};

pub use crate::platform_get::GetError;
