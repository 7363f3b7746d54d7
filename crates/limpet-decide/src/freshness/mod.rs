//! Whether the configuration in force is current, by evidence from the service and from peers.

mod evidence;
mod peer_view;

pub use evidence::Freshness;
pub use peer_view::PeerEvidence;
