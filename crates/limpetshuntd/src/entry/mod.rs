//! The side that faces callers.

use limpet_types::message::{
    ForwardOrderReply,
    ForwardOrderRequest, //
};

use crate::{
    controllers::Controllers,
    daemon::{
        Context,
        StartError, //
    },
};

/// Starts the controllers of this module and the server for callers.
///
/// # Errors
///
/// Fails when a controller cannot start or the address cannot be bound.
pub async fn start(_context: &Context, _controllers: &mut Controllers) -> Result<(), StartError> {
    Ok(())
}

/// Runs an order under a ticket of this entry; `None` on a relay.
pub async fn handle_forward_order(
    _context: &Context,
    _request: ForwardOrderRequest,
) -> Option<ForwardOrderReply> {
    None
}

/// Waits until no caller request is in flight; called when the process drains.
pub async fn drain(_context: &Context) {}
