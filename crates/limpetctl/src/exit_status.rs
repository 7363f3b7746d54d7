//! Exit codes of the program. Scripts rely on the numbers, so they must not change.

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The answer is complete, or the command did what was asked.
    Success,
    /// `check` found problems, or `status` or `explain` got no usable answer.
    Failed,
    /// The command line is wrong or a file cannot be read; clap uses the same code.
    Usage,
    /// The answer does not cover every shard.
    Partial,
    /// The query was refused, and nothing ran.
    RefusedNotRun,
    /// The query was refused, but something may have run.
    RefusedMaybeRun,
    /// The process could not be reached, or sent no complete and readable response to the request.
    NoResponse,
}

impl ExitStatus {
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
