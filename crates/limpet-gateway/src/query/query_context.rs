//! What all attempts of one request share.

use std::{
    sync::Arc,
    time::Duration, //
};

use limpet_types::deployment::Route;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    shared_state::SharedState,
    table::RouteTable,
    target::OutgoingRequest, //
};

/// One admitted request.
#[derive(Debug)]
pub struct QueryContext {
    /// State that the tasks of the process share.
    pub shared: Arc<SharedState>,
    /// The text under which the request was admitted.
    pub table: Arc<RouteTable>,
    /// Its route.
    pub route: Route,
    /// The request as it goes to targets.
    pub request: OutgoingRequest,
    /// When it arrived.
    pub arrived: Instant,
    /// When an answer must be on its way.
    pub deadline: Instant,
    /// Hash of what makes two requests the same to a target.
    pub fingerprint: u64,
}

impl QueryContext {
    /// Returns the request id for logs.
    pub fn request_id(&self) -> &str {
        self.request.request_id.to_str().unwrap_or("?")
    }

    /// Returns the time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Hashes what makes two requests the same to a target.
pub fn fingerprint(request: &OutgoingRequest, host: &str, team: Option<&str>) -> u64 {
    let mut hasher = Xxh3::new();
    let uri = request.uri.to_string();
    let parts = [
        request.method.as_str().as_bytes(),
        host.as_bytes(),
        uri.as_bytes(),
        team.unwrap_or_default().as_bytes(),
        &request.body,
    ];
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
