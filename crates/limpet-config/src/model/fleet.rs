//! Figures of the fleet itself.

use std::time::Duration;

/// Longest time without evidence that the configuration is current, if the text names none.
pub const FRESHNESS_LIMIT_DEFAULT: Duration = Duration::from_secs(4);

/// Figures of the fleet itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Most relay processes that exist at one instant, replacements included.
    pub vms_max: u32,
    /// Longest time without evidence that the configuration is current.
    pub freshness_limit: Duration,
}
