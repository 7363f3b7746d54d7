//! Load balancer of the load generator: distributes requests over the entries that are ready.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::Bytes;
use http::{
    Request,
    StatusCode, //
};
use http_body_util::Full;
use tokio::sync::Notify;

use crate::load::{
    arguments::EntryAddrs,
    client::PooledClient, //
};

/// Interval between readiness checks of an entry.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one readiness check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// The error when not every entry became ready in time.
#[derive(Debug, thiserror::Error)]
#[error("not every entry became ready within {} s", timeout.as_secs())]
pub(crate) struct NotReadyError {
    timeout: Duration,
}

/// An entry and whether it was ready at the last check.
#[derive(Debug)]
struct EntryState {
    caller_client: PooledClient,
    admin_client: PooledClient,
    is_ready: AtomicBool,
}

/// Distributes requests over the ready entries, round robin.
#[derive(Debug)]
pub(crate) struct LoadBalancer {
    entries: Vec<EntryState>,
    next_index: AtomicUsize,
    stop_requested: Notify,
}

impl LoadBalancer {
    /// Creates a balancer in which no entry is ready until it has been checked.
    pub(crate) fn new(entries: &[EntryAddrs]) -> Self {
        let new_entry = |addrs: &EntryAddrs| EntryState {
            caller_client: PooledClient::new(addrs.caller),
            admin_client: PooledClient::new(addrs.admin),
            is_ready: AtomicBool::new(false),
        };
        Self {
            entries: entries.iter().map(new_entry).collect(),
            next_index: AtomicUsize::new(0),
            stop_requested: Notify::new(),
        }
    }

    /// Returns the client of the next ready entry, or `None` if no entry is ready.
    pub(crate) fn next_ready(&self) -> Option<&PooledClient> {
        let entry_count = self.entries.len();
        let first_index = self.next_index.fetch_add(1, Ordering::Relaxed);
        (0..entry_count)
            .map(|offset| &self.entries[(first_index + offset) % entry_count])
            .find(|entry| entry.is_ready.load(Ordering::Relaxed))
            .map(|entry| &entry.caller_client)
    }

    /// Checks readiness until every entry is ready, for at most `timeout`.
    pub(crate) async fn wait_until_all_ready(
        &self,
        timeout: Duration,
    ) -> Result<(), NotReadyError> {
        let all_ready = async {
            loop {
                self.check_readiness().await;
                let is_ready = |entry: &EntryState| entry.is_ready.load(Ordering::Relaxed);
                if self.entries.iter().all(is_ready) {
                    break;
                }
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        };
        tokio::time::timeout(timeout, all_ready)
            .await
            .map_err(|_| NotReadyError { timeout })
    }

    /// Checks readiness until [`Self::stop`].
    pub(crate) async fn run_readiness_checks(self: Arc<Self>) {
        let checks = async {
            loop {
                tokio::time::sleep(CHECK_INTERVAL).await;
                self.check_readiness().await;
            }
        };
        tokio::select! {
            () = checks => {}
            () = self.stop_requested.notified() => {}
        }
    }

    /// Ends [`Self::run_readiness_checks`].
    pub(crate) fn stop(&self) {
        self.stop_requested.notify_one();
    }

    /// Checks the readiness of every entry once.
    async fn check_readiness(&self) {
        let checks = self.entries.iter().map(|entry| async {
            let request = Request::get("/ready").header("host", "entry");
            let Ok(request) = request.body(Full::new(Bytes::new())) else {
                return;
            };
            let reply =
                tokio::time::timeout(CHECK_TIMEOUT, entry.admin_client.exchange(request)).await;
            let is_ready = matches!(&reply, Ok(Ok(reply)) if reply.status() == StatusCode::OK);
            entry.is_ready.store(is_ready, Ordering::Relaxed);
        });
        futures::future::join_all(checks).await;
    }
}
