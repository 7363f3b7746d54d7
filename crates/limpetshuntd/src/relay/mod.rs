//! The side that faces targets.

use limpet_types::message::{
    AttemptReply,
    AttemptRequest, //
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

/// Runs one attempt; `None` on an entry.
pub async fn handle_attempt(_context: &Context, _request: AttemptRequest) -> Option<AttemptReply> {
    None
}

/// Waits until no attempt is in flight; called when the process drains.
pub async fn drain(_context: &Context) {}
