//! The sections of the text.

use crate::model::{
    Fleet,
    Lookup,
    Service,
    Team,
    Zone, //
};

/// The sections of a checked text, without the look-ups of [`Config`](crate::Config).
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigParts {
    /// Figures of the fleet.
    pub fleet: Fleet,
    /// Zones.
    pub zones: Vec<Zone>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Services.
    pub services: Vec<Service>,
    /// Lookups.
    pub lookups: Vec<Lookup>,
}
