//! Configuration, freshness, gossip and membership.

use limpet_types::message::{
    GossipReply,
    GossipRequest, //
};

use crate::{
    controllers::Controllers,
    daemon::{
        Context,
        StartError, //
    },
};

/// Starts the controllers of this module.
///
/// # Errors
///
/// Fails when a controller cannot start.
pub async fn start(_context: &Context, _controllers: &mut Controllers) -> Result<(), StartError> {
    Ok(())
}

/// Answers gossip; `None` before the process can answer.
pub async fn handle_gossip(_context: &Context, _request: GossipRequest) -> Option<GossipReply> {
    None
}
