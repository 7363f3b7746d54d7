//! The sections of a configuration.

use crate::model::{
    FleetSettings,
    Lookup,
    Service,
    Team,
    Zone, //
};

/// The sections of a validated configuration, without the indexes of [`Config`](crate::Config).
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigSections {
    /// Settings of the whole fleet.
    pub fleet: FleetSettings,
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Teams, the tenants of the fleet.
    pub teams: Vec<Team>,
    /// Services that answer lookups.
    pub services: Vec<Service>,
    /// Lookups that callers can run.
    pub lookups: Vec<Lookup>,
}
