//! Client of the configuration service.

mod client;

pub use client::{
    ConfigReadError,
    ConfigReadOutcome,
    ConfigServiceClient, //
};

pub use crate::http_get::HttpGetError;
