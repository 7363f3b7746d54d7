//! The sections of a configuration.

use crate::model::{
    FleetSettings,
    Lookup,
    Service,
    Team,
    Zone, //
};

/// The sections of a checked configuration, without the indexes of [`Config`](crate::Config).
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigSections {
    /// Settings of the whole fleet.
    pub fleet: FleetSettings,
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Services.
    pub services: Vec<Service>,
    /// Lookups.
    pub lookups: Vec<Lookup>,
}
