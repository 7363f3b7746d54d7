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
use crate::target::{
    ConfirmedCrash,
    Target, //
};

/// Time between a failed attempt and the check whether the target still listens.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(30);
/// Timeout of the connection attempt that shows whether the target still listens.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of request ids in the log line of a crash.
const LOGGED_REQUESTS_MAX: usize = 16;

/// Returns whether the error of a connection attempt shows that no process listens on the address.
///
/// A reset may mean that the target is over its connection limit, and a timeout that a network partition
/// separates it from this process; neither shows a crash.
pub const fn is_no_listener(error: ErrorKind) -> bool {
    matches!(error, ErrorKind::ConnectionRefused)
}

/// Checks in the background whether a target crashed, after an attempt without a valid reply; if so, closes
/// the idle connections to the target and records the crash in the strike table, against each query with an attempt that
/// ended that way before the end of the check.
///
/// A broken connection alone does not show a crash, since the target may still be up. Only a target that no
/// longer listens counts as crashed. While a check of the target is running, the attempt only joins it.
pub(super) fn check_for_crash(query: &QueryContext, target: &Arc<Target>) {
    let attempt = query.crash_risk.record_failure(query, target);
    if !target.crash_watch.add(attempt) {
        return;
    }
    let shared = Arc::clone(&query.shared);
    let task_shared = Arc::clone(&shared);
    let target = Arc::clone(target);
    task_shared.background_tasks.spawn(async move {
        sleep(CRASH_CHECK_DELAY).await;
        let connect_result = timeout(CRASH_CHECK_TIMEOUT, TcpStream::connect(target.addr)).await;
        let is_listening =
            !matches!(&connect_result, Ok(Err(error)) if is_no_listener(error.kind()));
        let Some(crash) = target.crash_watch.end_check(is_listening) else {
            return;
        };
        let suspects = crash.suspects();
        let now = shared.now();
        shared
            .strike_table()
            .record_target_crash(&suspects, &crash.others(), now);
        target.pool().close_idle();
        log_crash(&target, &crash, suspects.len());
    });
}

/// Logs and counts a crash, unless that was done when its first attempts failed.
fn log_crash(target: &Target, crash: &ConfirmedCrash, suspect_count: usize) {
    if !crash.recorded.is_empty() {
        return;
    }
    let attempts = crash.attempts.iter().take(LOGGED_REQUESTS_MAX);
    let request_ids: Vec<&str> = attempts.map(|attempt| &*attempt.request_id).collect();
    tracing::warn!(
        target_id = %target.id, addr = %target.addr, suspects = suspect_count,
        attempts = crash.attempts.len(), ?request_ids,
        "target crashed while it ran a request"
    );
    metrics::counter!("limpet_target_crashes_total").increment(1);
}
