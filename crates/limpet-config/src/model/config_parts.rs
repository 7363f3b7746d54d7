//! The sections of a configuration.

use crate::model::{
    Fleet,
    Lookup,
    Service,
    Team,
    Zone, //
};

/// The sections of a checked configuration, without the indexes of [`Config`](crate::Config).
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigParts {
    /// Settings of the whole fleet.
    pub fleet: Fleet,
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Services.
    pub services: Vec<Service>,
    /// Lookups.
    pub lookups: Vec<Lookup>,
}
