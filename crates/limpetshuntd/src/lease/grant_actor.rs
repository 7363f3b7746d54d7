//! Timing of the grant requests of one group.

use std::{
    sync::Arc,
    time::Duration, //
};

use limpet_types::GroupId;
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};

use crate::{
    daemon::Context,
    lease::state::LeaseState, //
};

/// Asks the coordinator of one group.
pub(super) struct GrantActor {
    pub(super) group: GroupId,
}

/// Time for the next step.
pub(super) struct Tick;

impl Actor for GrantActor {
    type Msg = Tick;
    type State = (Context, Arc<LeaseState>);
    type Arguments = (Context, Arc<LeaseState>);

    async fn pre_start(
        &self,
        myself: ActorRef<Tick>,
        arguments: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.send_after(Duration::ZERO, || Tick);
        Ok(arguments)
    }

    async fn handle(
        &self,
        myself: ActorRef<Tick>,
        _message: Tick,
        (context, lease): &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let missed = context.board.token_shortage.notified();
        tokio::pin!(missed);
        // Registered before the step, so that a miss in between is not overlooked.
        missed.as_mut().enable();
        let wait = lease
            .client(self.group)
            .lock()
            .await
            .step(context, lease)
            .await;
        // A request that found no token waits for the next step, so it does not wait for the clock.
        let _ = tokio::time::timeout(wait, missed).await;
        myself.cast(Tick)?;
        Ok(())
    }
}
