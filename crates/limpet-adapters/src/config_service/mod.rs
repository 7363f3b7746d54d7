//! Client of the configuration service.

mod client;

pub use client::{
    ConfigService,
    ReadError, //
    ReadOutcome,
};

pub use crate::platform_get::GetError;
