//! Lookups that callers may ask for.

use limpet_types::{
    LookupName,
    ServiceName,
    TeamName,
    message::AttemptKind, //
};

/// One lookup and what it depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct Lookup {
    /// Name.
    pub name: LookupName,
    /// Service asked.
    pub service: ServiceName,
    /// Kind of query.
    pub kind: AttemptKind,
    /// Lookups that run first and whose answers come along.
    pub depends_on: Vec<LookupName>,
    /// Teams that may use it; empty means every team.
    pub teams: Vec<TeamName>,
}

impl Lookup {
    /// Returns whether a team may use the lookup.
    pub fn allows(&self, team: &str) -> bool {
        self.teams.is_empty() || self.teams.iter().any(|name| &**name == team)
    }
}
