//! Availability zones.

use limpet_types::ZoneName;

/// Whether operators let a zone work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneState {
    /// The zone works.
    In,
    /// The zone gets no new work.
    Out,
}

/// One availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Name.
    pub name: ZoneName,
    /// Whether it works.
    pub state: ZoneState,
}
