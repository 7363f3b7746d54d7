//! Round robin over the entries that are ready, as a load balancer does it.

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
    arguments::EntryAddr,
    client::PooledClient, //
};

/// Interval between two readiness checks of an entry.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for one readiness check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Why the load did not start.
#[derive(Debug, thiserror::Error)]
#[error("not every entry became ready within {} s", waited.as_secs())]
pub(crate) struct NotReadyError {
    waited: Duration,
}

/// One entry with its readiness.
#[derive(Debug)]
struct Backend {
    client: PooledClient,
    admin: PooledClient,
    ready: AtomicBool,
}

/// Chooses entries in turn.
#[derive(Debug)]
pub(crate) struct Balancer {
    backends: Vec<Backend>,
    next: AtomicUsize,
    stopped: Notify,
}

impl Balancer {
    /// Creates a balancer that takes no entry for ready yet.
    pub(crate) fn new(entries: &[EntryAddr]) -> Self {
        let backend = |entry: &EntryAddr| Backend {
            client: PooledClient::new(entry.caller),
            admin: PooledClient::new(entry.admin),
            ready: AtomicBool::new(false),
        };
        Self {
            backends: entries.iter().map(backend).collect(),
            next: AtomicUsize::new(0),
            stopped: Notify::new(),
        }
    }

    /// Returns the next ready entry.
    pub(crate) fn choose(&self) -> Option<&PooledClient> {
        let count = self.backends.len();
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        (0..count)
            .map(|offset| &self.backends[(first + offset) % count])
            .find(|backend| backend.ready.load(Ordering::Relaxed))
            .map(|backend| &backend.client)
    }

    /// Waits until every entry is ready.
    pub(crate) async fn check_readiness_until(&self, limit: Duration) -> Result<(), NotReadyError> {
        let all_ready = async {
            loop {
                self.check_once().await;
                let is_ready = |backend: &Backend| backend.ready.load(Ordering::Relaxed);
                if self.backends.iter().all(is_ready) {
                    break;
                }
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        };
        tokio::time::timeout(limit, all_ready)
            .await
            .map_err(|_| NotReadyError { waited: limit })
    }

    /// Checks readiness until [`Self::stop`].
    pub(crate) async fn keep_checking(self: Arc<Self>) {
        let checks = async {
            loop {
                tokio::time::sleep(CHECK_INTERVAL).await;
                self.check_once().await;
            }
        };
        tokio::select! {
            () = checks => {}
            () = self.stopped.notified() => {}
        }
    }

    /// Ends the checks.
    pub(crate) fn stop(&self) {
        self.stopped.notify_one();
    }

    async fn check_once(&self) {
        let checks = self.backends.iter().map(|backend| async {
            let request = Request::get("/ready").header("host", "entry");
            let Ok(request) = request.body(Full::new(Bytes::new())) else {
                return;
            };
            let reply = tokio::time::timeout(CHECK_TIMEOUT, backend.admin.exchange(request)).await;
            let ready = matches!(&reply, Ok(Ok(reply)) if reply.status() == StatusCode::OK);
            backend.ready.store(ready, Ordering::Relaxed);
        });
        futures::future::join_all(checks).await;
    }
}
