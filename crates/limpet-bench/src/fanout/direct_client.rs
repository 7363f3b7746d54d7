//! Baseline of the fan-out benchmark: a client that sends a query to every target directly.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{
    Request,
    StatusCode, //
};
use http_body_util::Full;

use crate::load::PooledClient;

/// Client that queries every target directly, without an entry and a relay in between.
#[derive(Debug)]
pub(crate) struct DirectClient {
    target_clients: Vec<PooledClient>,
}

impl DirectClient {
    /// Creates a client without connections.
    pub(crate) fn new(targets: Vec<SocketAddr>) -> Self {
        let target_clients = targets.into_iter().map(PooledClient::new).collect();
        Self { target_clients }
    }

    /// Sends one query to every target and returns whether all answered.
    pub(crate) async fn query(&self, request_id: &str) -> bool {
        let queries = self.target_clients.iter().map(|client| async move {
            let request = Request::post("/v1/search")
                .header("host", "target")
                .header("x-request-id", request_id)
                .header("x-attempt", "1")
                .header("x-index-version", "1")
                .body(Full::new(Bytes::from_static(b"query")));
            let Ok(request) = request else { return false };
            let response = client.exchange(request).await;
            response.is_ok_and(|response| response.status() == StatusCode::OK)
        });
        let answered = futures::future::join_all(queries).await;
        answered.into_iter().all(|has_answered| has_answered)
    }
}
