//! Baseline client that sends a query to every target directly, with one connection each.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{
    Request,
    StatusCode, //
};
use http_body_util::Full;

use crate::load::PooledClient;

/// Client that queries every target directly, without the tier.
#[derive(Debug)]
pub(crate) struct BareClient {
    targets: Vec<PooledClient>,
}

impl BareClient {
    /// Creates a client without connections.
    pub(crate) fn new(targets: Vec<SocketAddr>) -> Self {
        let targets = targets.into_iter().map(PooledClient::new).collect();
        Self { targets }
    }

    /// Sends one query to every target; returns whether all answered.
    pub(crate) async fn query(&self, request_id: &str) -> bool {
        let attempts = self.targets.iter().map(|target| async move {
            let request = Request::post("/v1/search")
                .header("host", "target")
                .header("x-request-id", request_id)
                .header("x-attempt", "1")
                .header("x-index-version", "1")
                .body(Full::new(Bytes::from_static(b"query")));
            let Ok(request) = request else { return false };
            let reply = target.exchange(request).await;
            reply.is_ok_and(|reply| reply.status() == StatusCode::OK)
        });
        let answered = futures::future::join_all(attempts).await;
        answered.into_iter().all(|answered| answered)
    }
}
