//! Admin endpoints, for operators and load balancers: metrics, readiness, status and explanation of routes.

mod explain;
mod metrics_recorder;
mod readiness;
mod server;
mod status;

use limpet_types::message::StatusReply;
use ractor::Actor;
use tokio::net::TcpListener;

use crate::{
    admin::server::AdminServer,
    controllers::Controllers,
    daemon::{
        Context,
        StartError, //
    },
};

pub use readiness::NotReadyReason;

/// Starts the admin server.
///
/// # Errors
///
/// Fails when the address cannot be bound or the server cannot start.
pub async fn start(context: &Context, controllers: &mut Controllers) -> Result<(), StartError> {
    let addr = context.settings.role.common().admin_addr;
    let bind_error = |source| StartError::Bind { addr, source };
    let listener = TcpListener::bind(addr).await.map_err(bind_error)?;
    metrics_recorder::get_or_install();
    let arguments = (context.clone(), listener);
    let (actor, handle) = Actor::spawn(None, AdminServer, arguments)
        .await
        .map_err(|error| StartError::Controller {
            name: "admin",
            reason: error.to_string().into(),
        })?;
    controllers.add("admin", actor.get_cell(), handle);
    Ok(())
}

/// Returns the status document of this process as JSON, the same that `/status` shows.
pub async fn handle_status(context: &Context) -> StatusReply {
    let document = status::build_document(&context.board);
    let json = serde_json::to_string(&document).unwrap_or_else(|_| "{}".into());
    StatusReply { json: json.into() }
}
