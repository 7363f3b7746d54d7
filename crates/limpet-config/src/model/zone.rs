//! Availability zones.

use limpet_types::ZoneName;

/// Whether operators have enabled a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneState {
    /// The zone takes new work; `in` in the configuration text.
    Enabled,
    /// The zone takes no new work; `out` in the configuration text.
    Disabled,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Zone {
    /// Name, unique in the configuration.
    pub name: ZoneName,
    /// Whether operators have enabled the zone.
    pub state: ZoneState,
}
