//! Whether the configuration in force is current, by evidence from the configuration service and from peers.

mod freshness_tracker;
mod peer_view;

pub use freshness_tracker::FreshnessTracker;
pub use peer_view::PeerEvidence;
