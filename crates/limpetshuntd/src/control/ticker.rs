//! Periodic messages to an actor.

use std::time::Duration;

use ractor::{
    ActorRef,
    Message, //
};
use tokio::{
    task::JoinSet,
    time::MissedTickBehavior, //
};

/// Sends `message` every `period` until the tasks are stopped or the actor ends.
pub(super) fn tick<M: Message>(
    tasks: &mut JoinSet<()>,
    actor: ActorRef<M>,
    period: Duration,
    message: impl Fn() -> M + Send + 'static,
) {
    tasks.spawn(async move {
        let mut ticks = tokio::time::interval(period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if actor.cast(message()).is_err() {
                return;
            }
        }
    });
}

/// Forgets the tasks that have ended.
pub(super) fn reap(tasks: &mut JoinSet<()>) {
    while let Some(ended) = tasks.try_join_next() {
        if let Err(error) = ended {
            tracing::error!(%error, "task of a controller ended badly");
        }
    }
}
