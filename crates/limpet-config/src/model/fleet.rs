//! Settings that apply to the whole fleet.

use std::time::Duration;

/// Freshness limit of a text that sets none.
pub const FRESHNESS_LIMIT_DEFAULT: Duration = Duration::from_secs(4);

/// Settings that apply to the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Maximum number of relay processes that exist at the same time, replacements included.
    pub vms_max: u32,
    /// Maximum time since the last evidence that the configuration is current.
    pub freshness_limit: Duration,
}
