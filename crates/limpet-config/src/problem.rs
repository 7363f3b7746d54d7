//! One fault found in a text.

/// What is wrong at one place of the text, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {wrong}; {right}")]
pub struct Problem {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub wrong: Box<str>,
    /// What would be right.
    pub right: Box<str>,
}
