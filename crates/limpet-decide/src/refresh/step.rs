//! Steps by which a process keeps its state current, and their outcomes.

use std::{
    net::SocketAddr,
    time::Duration, //
};

/// What a process does next to keep its state current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefreshStep {
    /// Ask another process for changes.
    AskPeer {
        /// Address of the process.
        peer: SocketAddr,
        /// Longest time for which that process delays its reply while nothing changes.
        hold_max: Duration,
        /// Time after which the reply counts as missing.
        timeout: Duration,
    },
    /// Ask the source for changes.
    AskSource {
        /// Longest time for which the source delays its reply while nothing changes.
        hold_max: Duration,
        /// Time after which the reply counts as missing.
        timeout: Duration,
    },
    /// Do nothing for a while.
    Wait(Duration),
}

/// Outcome of [`RefreshStep::AskPeer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    /// The process answered, and its state is current.
    Current,
    /// The process answered with a state that is too old to follow.
    Outdated,
    /// No valid answer came in time.
    Missing,
}

impl PeerAnswer {
    /// Returns the label used in metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Outdated => "outdated",
            Self::Missing => "missing",
        }
    }
}

/// Outcome of [`RefreshStep::AskSource`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceAnswer {
    /// The source answered.
    Answered,
    /// The connection ended, or the time was over, before the source answered. Another call may succeed.
    Interrupted,
    /// The source answered that it does not serve this process.
    Rejected,
}

impl SourceAnswer {
    /// Returns the label used in metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Interrupted => "interrupted",
            Self::Rejected => "rejected",
        }
    }
}
