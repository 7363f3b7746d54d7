//! Exit codes, which scripts rely on.

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The answer is complete, or the command did what was asked.
    Success,
    /// `check` found problems, or the process cannot tell what was asked.
    Failed,
    /// The command line is wrong; also used by the argument parser.
    Usage,
    /// The answer came but does not cover every shard.
    Partial,
    /// Refused, and nothing ran.
    RefusedNotRun,
    /// Refused, and something may have run.
    RefusedMaybeRun,
    /// The process could not be reached or its response was cut.
    NoResponse,
}

impl Exit {
    /// Returns the exit code.
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Partial => 3,
            Self::RefusedNotRun => 4,
            Self::RefusedMaybeRun => 5,
            Self::NoResponse => 6,
        }
    }
}
