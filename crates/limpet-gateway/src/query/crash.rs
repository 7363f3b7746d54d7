//! Whether a target crashed under a request.

use std::{
    sync::Arc,
    time::Duration, //
};

use limpet_types::hash::stable_hash_parts;
use tokio::time::{
    Instant,
    sleep, //
};

use super::QueryContext;
use crate::target::{
    Connection,
    Target, //
};

/// Time between a broken connection and the check whether the target still listens.
const CHECK_DELAY: Duration = Duration::from_millis(30);
/// Longest time for the check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Checks after a broken connection whether the target is gone.
///
/// A lost reply also breaks the connection, but leaves the target up; only a target that no longer
/// listens counts as crashed, and the request under which that happened as suspected.
pub(super) fn check(query: &QueryContext, target: &Arc<Target>) {
    if !target.begin_crash_check() {
        return;
    }
    let board = Arc::clone(&query.board);
    let target = Arc::clone(target);
    let fingerprint = query.fingerprint;
    let request_id: Box<str> = query.request_id().into();
    tokio::spawn(async move {
        sleep(CHECK_DELAY).await;
        let opened = Connection::open(target.addr, Instant::now() + CHECK_TIMEOUT).await;
        target.end_crash_check();
        if opened.is_ok() {
            return;
        }
        let now = board.now();
        target.pool().clear();
        // One request that takes down a target of each shard, or that is in flight while many targets go
        // down at once, is struck once; only when it comes again it is suspected twice.
        let crash = stable_hash_parts(&[request_id.as_bytes()]);
        board.strikes().record_crash(crash, &[fingerprint], now);
        tracing::warn!(
            %request_id, target_id = %target.id, fingerprint, crash, "target crashed under a request"
        );
        metrics::counter!("limpet_target_crashes_total").increment(1);
    });
}
