//! Errors of starting, controlling and awaiting a test fleet.

use std::{
    io,
    path::PathBuf, //
};

/// Why a test fleet cannot be started, controlled or awaited.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The `limpetshuntd` executable was not built.
    #[error("{path} is missing: run `cargo build --workspace` first")]
    NotBuilt {
        /// Path of the executable.
        path: PathBuf,
    },
    /// An operation of the operating system failed.
    #[error("{context}: {source}")]
    Io {
        /// What was attempted.
        context: Box<str>,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An awaited event did not happen in time.
    #[error("timed out after {limit_s} s waiting for {awaited}")]
    Timeout {
        /// Awaited event.
        awaited: Box<str>,
        /// Timeout in seconds.
        limit_s: u64,
    },
}

impl FleetError {
    /// Returns a function that adds the context to an I/O error, for `map_err`.
    pub(super) fn io(context: impl Into<Box<str>>) -> impl FnOnce(io::Error) -> Self {
        let context = context.into();
        move |source| Self::Io { context, source }
    }
}
