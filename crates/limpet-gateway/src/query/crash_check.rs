//! Detection of targets that crash while they run a request.

use std::{
    io::ErrorKind,
    sync::Arc,
    time::Duration, //
};

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
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(30);
/// Timeout of the connection attempt that shows whether the target still listens.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns whether the error of a connection attempt shows that no process listens on the address.
///
/// A reset may mean that the target is over its connection limit, and a timeout that a network partition
/// separates it from this process; neither shows a crash.
pub const fn is_no_listener(error: ErrorKind) -> bool {
    matches!(error, ErrorKind::ConnectionRefused)
}

/// Checks in the background whether a target crashed, after an attempt without a valid reply; if so, closes
/// the idle connections to the target and records the crash against the request in the strike table.
///
/// A broken connection alone does not show a crash, since the target may still be up. Only a target that no
/// longer listens counts as crashed. Does nothing while another check of the target is running.
pub(super) fn check_for_crash(query: &QueryContext, target: &Arc<Target>) {
    if !target.try_begin_crash_check() {
        return;
    }
    let shared = Arc::clone(&query.shared);
    let task_shared = Arc::clone(&shared);
    let target = Arc::clone(target);
    let fingerprint = query.fingerprint;
    let known_strikes = query.known_strikes;
    let request_id: Box<str> = query.request_id().into();
    task_shared.spawn_background(async move {
        sleep(CRASH_CHECK_DELAY).await;
        let connect_result = timeout(CRASH_CHECK_TIMEOUT, TcpStream::connect(target.addr)).await;
        target.end_crash_check();
        if !matches!(&connect_result, Ok(Err(error)) if is_no_listener(error.kind())) {
            return;
        }
        let now = shared.now();
        target.pool().close_idle();
        shared
            .strike_table()
            .record_query_crash(fingerprint, known_strikes, now);
        tracing::warn!(
            %request_id, target_id = %target.id, fingerprint, known_strikes,
            "target crashed while it ran a request"
        );
        metrics::counter!("limpet_target_crashes_total").increment(1);
    });
}
