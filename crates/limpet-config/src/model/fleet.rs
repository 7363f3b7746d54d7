//! Settings that apply to the whole fleet.

use std::time::Duration;

/// Value of `freshness_limit_ms` if the text sets none.
pub const FRESHNESS_LIMIT_DEFAULT: Duration = Duration::from_secs(4);

/// Settings that apply to the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Maximum number of relay processes that exist at the same time, replacements included.
    pub vms_max: u32,
    /// Time for which a process counts its configuration as current after the last evidence that no newer one
    /// exists, or that the configuration service is down for all processes.
    pub freshness_limit: Duration,
}
