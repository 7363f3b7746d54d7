//! Detection of targets that crash while they run a request.

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

/// Time between a failed attempt and the check whether the target still listens.
const CHECK_DELAY: Duration = Duration::from_millis(30);
/// Timeout of the check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns whether the error of a connection attempt shows that no process listens on the address.
///
/// A target that resets connections is over its connection limit, and one that does not respond may be
/// partitioned from this process; neither has crashed.
pub const fn is_no_listener(error: ErrorKind) -> bool {
    matches!(error, ErrorKind::ConnectionRefused)
}

/// Checks in the background, after an attempt without a valid reply, whether the target crashed.
///
/// A broken connection alone is no evidence, since the target may still be up. Only a target that no longer
/// listens counts as crashed; its request then gets a strike.
pub(super) fn check_for_crash(query: &QueryContext, target: &Arc<Target>) {
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
        // All crashes under one request id count as one strike: a request that crashes a target of each
        // shard, or that is in flight while many targets go down at once, gets a second strike only if it
        // is sent again.
        let crash_id = stable_hash_parts(&[request_id.as_bytes()]);
        shared.strikes().record_crash(crash_id, &[fingerprint], now);
        tracing::warn!(
            %request_id, target_id = %target.id, fingerprint, crash = crash_id,
            "target crashed under a request"
        );
        metrics::counter!("limpet_target_crashes_total").increment(1);
    });
}
