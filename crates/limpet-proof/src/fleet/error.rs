//! Errors of running a fleet.

use std::{
    io,
    path::PathBuf, //
};

/// Error of running a fleet.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The `limpetshuntd` executable was not built.
    #[error("{path} is missing: run `cargo build --workspace` first")]
    NotBuilt {
        /// Path of the executable.
        path: PathBuf,
    },
    /// A system call failed.
    #[error("{context}: {source}")]
    Io {
        /// What the call was for.
        context: Box<str>,
        /// Cause.
        source: io::Error,
    },
    /// An awaited event did not happen in time.
    #[error("timed out after {limit_s} s waiting for {awaited}")]
    Timeout {
        /// Awaited event.
        awaited: Box<str>,
        /// Time limit.
        limit_s: u64,
    },
}

impl FleetError {
    pub(super) fn io(context: impl Into<Box<str>>) -> impl FnOnce(io::Error) -> Self {
        let context = context.into();
        move |source| Self::Io { context, source }
    }
}
