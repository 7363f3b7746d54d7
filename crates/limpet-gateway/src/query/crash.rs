//! Whether a target crashed under a request.

use std::{
    sync::Arc,
    time::Duration, //
};

use limpet_decide::quarantine::crash_id;
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
        let crash = crash_id(target.addr, None, now);
        board.strikes().record_crash(crash, &[fingerprint], now);
        tracing::warn!(
            %request_id, target_id = %target.id, fingerprint, crash, "target crashed under a request"
        );
        metrics::counter!("limpet_target_crashes_total").increment(1);
    });
}
