//! Why a fleet cannot be run.

use std::{
    io,
    path::PathBuf, //
};

/// Why a fleet cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The daemon was not built.
    #[error("{path} is missing: run `cargo build --workspace` first")]
    NotBuilt {
        /// Where it should be.
        path: PathBuf,
    },
    /// A system call failed.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: Box<str>,
        /// Cause.
        source: io::Error,
    },
    /// Something awaited did not happen.
    #[error("{what} did not come within {limit_s} s")]
    Late {
        /// What was awaited.
        what: Box<str>,
        /// Time waited.
        limit_s: u64,
    },
}

impl FleetError {
    pub(super) fn io(what: impl Into<Box<str>>) -> impl FnOnce(io::Error) -> Self {
        let what = what.into();
        move |source| Self::Io { what, source }
    }
}
