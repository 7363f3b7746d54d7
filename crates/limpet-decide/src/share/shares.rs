//! Tokens of every team, by lease group.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_types::TeamName;

#[derive(Clone, Debug)]
struct Lot {
    count: u32,
    expires_at: Duration,
}

/// Tokens that this entry holds.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    lots: HashMap<TeamName, Vec<Lot>>,
}

impl Shares {
    /// Creates shares without tokens.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds tokens that are valid until `expires_at`.
    pub fn add(&mut self, team: &str, count: u32, expires_at: Duration) {
        let lots = self.lots.entry(team.into()).or_default();
        lots.push(Lot { count, expires_at });
    }

    /// Spends one token of a team; false if none is valid at `now`.
    pub fn take(&mut self, team: &str, now: Duration) -> bool {
        let Some(lots) = self.lots.get_mut(team) else {
            return false;
        };
        lots.retain(|lot| lot.count > 0 && now < lot.expires_at);
        let Some(lot) = lots.first_mut() else {
            return false;
        };
        lot.count -= 1;
        true
    }
}
