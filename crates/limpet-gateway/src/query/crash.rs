//! Whether a target crashed under a request.

use std::{
    io::ErrorKind,
    sync::Arc,
    time::Duration, //
};

use limpet_types::hash::stable_hash_parts;
use tokio::{
    net::TcpStream,
    time::{
        sleep,
        timeout, //
    },
};

use super::QueryContext;
use crate::target::Target;

/// Time between a broken connection and the check whether the target still listens.
const CHECK_DELAY: Duration = Duration::from_millis(30);
/// Longest time for the check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns whether a failed connection shows that nobody listens.
///
/// A target that resets connections has too many of them, and one that is silent may be cut off: neither
/// crashed.
pub const fn is_no_listener(error: ErrorKind) -> bool {
    matches!(error, ErrorKind::ConnectionRefused)
}

/// Checks after a broken connection whether the target is gone.
///
/// A lost reply also breaks the connection, but leaves the target up; only a target that no longer
/// listens counts as crashed, and the request under which that happened as suspected.
pub(super) fn check(query: &QueryContext, target: &Arc<Target>) {
    if !target.begin_crash_check() {
        return;
    }
    let shared = Arc::clone(&query.shared);
    let target = Arc::clone(target);
    let fingerprint = query.fingerprint;
    let request_id: Box<str> = query.request_id().into();
    tokio::spawn(async move {
        sleep(CHECK_DELAY).await;
        let opened = timeout(CHECK_TIMEOUT, TcpStream::connect(target.addr)).await;
        target.end_crash_check();
        if !matches!(&opened, Ok(Err(error)) if is_no_listener(error.kind())) {
            return;
        }
        let now = shared.now();
        target.pool().close_idle();
        // One request that takes down a target of each shard, or that is in flight while many targets go
        // down at once, is struck once; only when it comes again it is suspected twice.
        let crash = stable_hash_parts(&[request_id.as_bytes()]);
        shared.strikes().record_crash(crash, &[fingerprint], now);
        tracing::warn!(
            %request_id, target_id = %target.id, fingerprint, crash, "target crashed under a request"
        );
        metrics::counter!("limpet_target_crashes_total").increment(1);
    });
}
