//! Metrics, readiness and status.

use limpet_types::message::StatusReply;

use crate::{
    controllers::Controllers,
    daemon::{
        Context,
        StartError, //
    },
};

/// Starts the admin server.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn start(_context: &Context, _controllers: &mut Controllers) -> Result<(), StartError> {
    Ok(())
}

/// Returns this process's view as JSON.
pub async fn handle_status(_context: &Context) -> StatusReply {
    StatusReply { json: "{}".into() }
}
