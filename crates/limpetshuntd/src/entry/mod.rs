//! The entry role: serves lookups and orders to callers over HTTP/1.1.

mod access;
mod attempt;
mod handler;
mod limits;
mod lookup_graph;
mod lookup_query;
mod orders;
mod query_slots;
mod request_context;
mod response;
mod server;
mod shard_query;
mod state;

use std::{
    sync::Arc,
    time::Duration, //
};

use limpet_types::message::{
    ForwardOrderReply,
    ForwardOrderRequest, //
};
use tokio::net::TcpListener;

use crate::{
    controllers::Controllers,
    daemon::{
        Context,
        StartError, //
    },
    settings::RoleSettings,
};

pub use limits::{
    DRAIN_NOTICE_DEFAULT_MS,
    EntryLimits, //
};
pub use state::Entry;

/// Starts the server for callers, if this process is an entry.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn start(context: &Context, _controllers: &mut Controllers) -> Result<(), StartError> {
    let RoleSettings::Entry(settings) = &context.settings.role else {
        return Ok(());
    };
    let addr = settings.caller_addr;
    let drain_notice = Duration::from_millis(settings.drain_notice_ms);
    let listener = TcpListener::bind(addr)
        .await
        .map_err(|source| StartError::Bind { addr, source })?;
    let entry = Entry::new(
        Arc::clone(&context.board),
        context.peer_client.clone(),
        EntryLimits::default().with_drain_notice(drain_notice),
    );
    entry.serve(listener);
    // `start` runs once for each process, so the cell is still empty.
    let _ = context.module_states.entry.set(entry);
    Ok(())
}

/// Runs an order that another entry forwarded because this entry issued its ticket; `None` on a relay.
pub async fn handle_forward_order(
    context: &Context,
    request: ForwardOrderRequest,
) -> Option<ForwardOrderReply> {
    let entry = context.module_states.entry.get()?;
    Some(Arc::clone(entry).run_forwarded_order(request).await)
}

/// Drains the entry when the process shuts down; see [`Entry::drain`].
pub async fn drain(context: &Context) {
    if let Some(entry) = context.module_states.entry.get() {
        entry.drain().await;
    }
}
