//! Tokens of every team, by lease group.

use std::time::Duration;

/// Tokens that this entry holds.
#[derive(Clone, Debug, Default)]
pub struct Shares {}

impl Shares {
    /// Creates shares without tokens.
    pub fn new() -> Self {
        Self::default()
    }

    /// Spends one token of a team; false if none is valid at `now`.
    pub fn take(&mut self, _team: &str, _now: Duration) -> bool {
        false
    }
}
