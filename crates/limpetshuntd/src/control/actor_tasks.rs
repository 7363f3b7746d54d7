//! Background tasks of an actor.

use std::time::Duration;

use ractor::{
    ActorRef,
    Message, //
};
use tokio::{
    task::JoinSet,
    time::MissedTickBehavior, //
};

/// Spawns a task that sends the result of `build_message` to an actor every `period` until the tasks are shut
/// down or the actor stops.
pub(super) fn send_periodically<M: Message>(
    tasks: &mut JoinSet<()>,
    actor: ActorRef<M>,
    period: Duration,
    build_message: impl Fn() -> M + Send + 'static,
) {
    tasks.spawn(async move {
        let mut ticks = tokio::time::interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if actor.cast(build_message()).is_err() {
                return;
            }
        }
    });
}

/// Removes the tasks that have ended, and logs those that failed.
pub(super) fn reap_finished_tasks(tasks: &mut JoinSet<()>) {
    while let Some(ended) = tasks.try_join_next() {
        if let Err(error) = ended {
            tracing::error!(%error, "task of a controller failed");
        }
    }
}
