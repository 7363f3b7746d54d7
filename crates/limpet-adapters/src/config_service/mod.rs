//! Client of the configuration service.

mod client;

pub use client::{
    ConfigService,
    Read,
    ReadError, //
};

pub use crate::platform_get::GetError;
