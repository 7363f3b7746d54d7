//! Election of the coordinators of the lease groups, and the rate tokens and target ownership that
//! they grant.
//!
//! Each lease group grants its part of every team's tokens and the ownership of its part of the targets. It
//! has at most one coordinator at a time, so that only one process counts its tokens and decides who owns its
//! targets.

mod candidate_actor;
mod grant_actor;
mod grant_client;
mod group_state;
mod handlers;
mod lease_state;
mod outgoing_moves;
mod resignation;
mod rules_cache;

use std::sync::Arc;

use limpet_types::{
    LeaseGroupId, Role,
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

pub use lease_state::LeaseState;

/// Starts a grant client for each lease group and, on a relay, a candidate for each.
///
/// # Errors
///
/// Fails when a controller cannot start.
pub async fn start(context: &Context, controllers: &mut Controllers) -> Result<(), StartError> {
    let lease_state = Arc::new(LeaseState::new(&context.board));
    // A second start in the same process keeps the first state, because a new voter would not know
    // the promises given so far.
    let lease_state = Arc::clone(context.module_states.lease.get_or_init(|| lease_state));
    for group in 0..LEASE_GROUP_COUNT {
        if context.board.role == Role::Relay {
            let actor = CandidateActor { group };
            let arguments = (context.clone(), Arc::clone(&lease_state));
            let spawned = Actor::spawn(None, actor, arguments).await;
            let (actor, handle) = spawned.map_err(|error| start_error("candidate", &error))?;
            controllers.add("candidate", actor.get_cell(), handle);
        }
        let arguments = (context.clone(), Arc::clone(&lease_state));
        let spawned = Actor::spawn(None, GrantActor { group }, arguments).await;
        let (actor, handle) = spawned.map_err(|error| start_error("grants", &error))?;
        controllers.add("grants", actor.get_cell(), handle);
    }
    Ok(())
}

/// Converts the error of an actor that could not be spawned; `name` identifies its controller.
fn start_error(name: &'static str, error: &ractor::SpawnErr) -> StartError {
    StartError::Controller {
        name,
        reason: error.to_string().into(),
    }
}

/// Returns the lease groups that this process coordinates now; none before the module is started.
pub fn coordinated_groups(context: &Context) -> Vec<LeaseGroupId> {
    let lease_state = context.module_states.lease.get();
    lease_state.map_or_else(Vec::new, |lease_state| {
        lease_state.coordinated_groups(context.board.now())
    })
}

/// Answers a vote request; `None` on an entry, which does not vote, and before the module is started.
pub async fn handle_vote(context: &Context, request: VoteRequest) -> Option<VoteReply> {
    let lease_state = context.module_states.lease.get()?;
    (context.board.role == Role::Relay).then(|| handlers::vote(context, lease_state, &request))
}

/// Answers a grant request; `None` on an entry, which never coordinates, for an unknown lease group, and
/// before the module is started.
pub async fn handle_grant(context: &Context, request: GrantRequest) -> Option<GrantReply> {
    let lease_state = context.module_states.lease.get()?;
    if context.board.role != Role::Relay {
        return None;
    }
    handlers::grant(context, lease_state, &request)
}

/// Releases every ownership and every lease, so that other relays need not wait for their expiration; called
/// when a draining process has finished its work.
pub async fn release_all(context: &Context) {
    let Some(lease_state) = context.module_states.lease.get() else {
        return;
    };
    for group in 0..LEASE_GROUP_COUNT {
        let mut grant_client = lease_state.grant_client(group).lock().await;
        grant_client.release_all(context).await;
    }
    if context.board.role == Role::Relay {
        resignation::resign_all(context, lease_state).await;
    }
}
