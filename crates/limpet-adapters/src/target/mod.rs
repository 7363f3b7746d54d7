//! HTTP/1.1 connections to targets.

mod connection;
mod error;
mod headers;
mod request;
mod response;

pub use connection::{
    ResponseProgress,
    TargetConnection, //
};
pub use error::{
    TargetError,
    TargetErrorKind, //
};
pub use request::TargetRequest;
pub use response::{
    ReportedState,
    TargetReport,
    TargetResponse, //
};
