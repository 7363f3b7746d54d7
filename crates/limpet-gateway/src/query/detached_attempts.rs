//! Attempts whose replies nobody needs any more.

use std::{
    pin::{
        Pin,
        pin, //
    },
    sync::Arc,
    time::Duration,
};

use futures::{
    Future,
    StreamExt,
    stream::FuturesUnordered, //
};
use tokio::time::timeout;

use crate::{
    shared_state::SharedState,
    target::{
        AttemptError,
        ServiceRoom,
        Target,
        TargetReply, //
    },
};

/// How long detached attempts may run on, because a connection is reusable only after a complete reply.
const DETACHED_ATTEMPTS_TIMEOUT: Duration = Duration::from_millis(150);

/// An attempt in flight; resolves to its target and its result.
type AttemptFuture =
    Pin<Box<dyn Future<Output = (Arc<Target>, Result<TargetReply, AttemptError>)> + Send>>;

/// Attempts at one service that are in flight.
pub(super) type AttemptsInFlight = FuturesUnordered<AttemptFuture>;

/// Lets attempts run on for a while in the background, so that their connections can be reused. They are cancelled at
/// once if a request needs their room.
pub(super) fn detach(
    shared: &SharedState,
    room: &Arc<ServiceRoom>,
    mut attempts: AttemptsInFlight,
) {
    if attempts.is_empty() || !room.waiters.is_empty() {
        return;
    }
    let room = Arc::clone(room);
    shared.background_tasks.spawn(async move {
        let mut wanted = pin!(room.wanted.notified());
        // A request may have begun to wait before this task listens for the notification.
        wanted.as_mut().enable();
        if !room.waiters.is_empty() {
            return;
        }
        let drive_attempts = async { while attempts.next().await.is_some() {} };
        // The attempts that are still in flight then are cancelled.
        tokio::select! {
            _ = timeout(DETACHED_ATTEMPTS_TIMEOUT, drive_attempts) => {}
            () = wanted => {}
        }
    });
}
