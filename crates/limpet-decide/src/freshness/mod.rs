//! Evidence that the configuration in force is current.

mod evidence;
mod peer_view;

pub use evidence::Freshness;
pub use peer_view::PeerEvidence;
