//! Client of the platform's VM list.

mod client;
mod vm;

pub use client::{
    VmListClient,
    VmListError, //
};
pub use vm::{
    Vm,
    VmState, //
};

pub use crate::http_get::HttpGetError;
