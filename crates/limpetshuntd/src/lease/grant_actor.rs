//! Actor that runs the grant client of one lease group, step by step.

use std::{
    sync::Arc,
    time::Duration, //
};

use limpet_types::LeaseGroupId;
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};

use crate::{
    daemon::Context,
    lease::lease_state::LeaseState, //
};

/// Runs the [`GrantClient`](crate::lease::grant_client::GrantClient) of one lease group. A step follows
/// after the delay that the last step returned, or at once when a caller's request finds no token.
pub(super) struct GrantActor {
    pub(super) group: LeaseGroupId,
}

/// Starts the next step of the grant client.
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
        _tick: Tick,
        (context, lease_state): &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let token_shortage = context.board.token_shortage.notified();
        tokio::pin!(token_shortage);
        // Registered before the step, so that a notification during the step is not lost.
        token_shortage.as_mut().enable();
        let wait = lease_state
            .grant_client(self.group)
            .lock()
            .await
            .run_step(context, lease_state)
            .await;
        // A caller's request that found no token waits only briefly, so the next step runs at once.
        let _ = tokio::time::timeout(wait, token_shortage).await;
        myself.cast(Tick)?;
        Ok(())
    }
}
