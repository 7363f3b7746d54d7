//! Coordinators, rate tokens and target ownership.

mod candidate_actor;
mod grant_actor;
mod grant_client;
mod group_state;
mod moves_away;
mod resign;
mod rules_cache;
mod service;
mod state;

use std::sync::Arc;

use limpet_types::{
    GroupId, Role,
    hash::LEASE_GROUP_COUNT,
    message::{
        GrantReply,
        GrantRequest,
        VoteReply,
        VoteRequest, //
    },
};
use ractor::Actor;

use crate::{
    controllers::Controllers,
    daemon::{
        Context,
        StartError, //
    },
    lease::{
        candidate_actor::CandidateActor,
        grant_actor::GrantActor, //
    },
};

pub use state::LeaseState;

/// Starts the controllers of this module.
///
/// # Errors
///
/// Fails when a controller cannot start.
pub async fn start(context: &Context, controllers: &mut Controllers) -> Result<(), StartError> {
    let state = Arc::new(LeaseState::new(&context.board));
    // A second start of the same process keeps the first state: a new voter would forget promises.
    let state = Arc::clone(context.module_states.lease.get_or_init(|| state));
    for group in 0..LEASE_GROUP_COUNT {
        if context.board.role == Role::Relay {
            let actor = CandidateActor { group };
            let arguments = (context.clone(), Arc::clone(&state));
            let spawned = Actor::spawn(None, actor, arguments).await;
            let (actor, handle) = spawned.map_err(|e| start_error("candidate", &e))?;
            controllers.add("candidate", actor.get_cell(), handle);
        }
        let arguments = (context.clone(), Arc::clone(&state));
        let spawned = Actor::spawn(None, GrantActor { group }, arguments).await;
        let (actor, handle) = spawned.map_err(|e| start_error("grants", &e))?;
        controllers.add("grants", actor.get_cell(), handle);
    }
    Ok(())
}

fn start_error(name: &'static str, error: &ractor::SpawnErr) -> StartError {
    StartError::Controller {
        name,
        reason: error.to_string().into(),
    }
}

/// Returns the groups that this process coordinates at this moment.
pub fn coordinated_groups(context: &Context) -> Vec<GroupId> {
    let state = context.module_states.lease.get();
    state.map_or_else(Vec::new, |state| state.coordinated(context.board.now()))
}

/// Answers a vote request; `None` on an entry, which does not vote.
pub async fn handle_vote(context: &Context, request: VoteRequest) -> Option<VoteReply> {
    let state = context.module_states.lease.get()?;
    (context.board.role == Role::Relay).then(|| service::vote(context, state, &request))
}

/// Answers a grant request; `None` on an entry, which never coordinates.
pub async fn handle_grant(context: &Context, request: GrantRequest) -> Option<GrantReply> {
    let state = context.module_states.lease.get()?;
    if context.board.role != Role::Relay {
        return None;
    }
    service::grant(context, state, &request)
}

/// Gives back every right; called after the last work of a draining process has ended.
pub async fn release(context: &Context) {
    let Some(state) = context.module_states.lease.get() else {
        return;
    };
    for group in 0..LEASE_GROUP_COUNT {
        let mut client = state.client(group).lock().await;
        client.release(context).await;
    }
    if context.board.role == Role::Relay {
        resign::resign_all(context, state).await;
    }
}
