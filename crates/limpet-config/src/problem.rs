//! One error in a configuration text.

/// An error at one position of a configuration text, and how to correct it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {message}; {help}")]
pub struct Problem {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// What is wrong at this position.
    pub message: Box<str>,
    /// How to correct it.
    pub help: Box<str>,
}
