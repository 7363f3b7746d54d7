//! Lookups, the queries that callers can run.

use limpet_types::{
    LookupName,
    ServiceName,
    TeamName,
    message::AttemptKind, //
};

/// A named query that callers can run.
#[derive(Clone, Debug, PartialEq)]
pub struct Lookup {
    /// Name, unique in the configuration.
    pub name: LookupName,
    /// Service that answers the lookup.
    pub service: ServiceName,
    /// Kind of the attempts sent to the targets.
    pub kind: AttemptKind,
    /// Lookups that run before this one and whose answers are part of its answer.
    pub depends_on: Vec<LookupName>,
    /// Teams that may use the lookup; if empty, every team may.
    pub allowed_teams: Vec<TeamName>,
}

impl Lookup {
    /// Returns whether the team named `team_name` may use the lookup.
    pub fn allows_team(&self, team_name: &str) -> bool {
        self.allowed_teams.is_empty()
            || self
                .allowed_teams
                .iter()
                .any(|allowed| &**allowed == team_name)
    }
}
