//! Functions of the relay that the rest of the daemon calls.

use std::sync::Arc;

use limpet_types::{
    Refusal, RefusalCode, Role, TargetAddr,
    message::{
        AttemptReply,
        AttemptRequest, //
    },
};
use ractor::Actor;
use tokio::sync::oneshot;

use crate::{
    controllers::Controllers,
    daemon::{
        Context,
        StartError, //
    },
    relay::{
        attempt::{
            Attempt,
            build_refusal_reply, //
        },
        checks::{
            check_phase,
            check_sendable, //
        },
        controller::RelayController,
        state::RelayState,
        target::{
            TargetActorMessage,
            build_maybe_run_refusal, //
        },
    },
};

/// Starts the relay controller, which runs one actor per owned target.
///
/// # Errors
///
/// Fails if the relay was already started or its controller cannot start.
pub async fn start(context: &Context, controllers: &mut Controllers) -> Result<(), StartError> {
    const NAME: &str = "relay";
    let relay = RelayState::new(Arc::clone(&context.board));
    let start_error = |cause: &dyn std::fmt::Display| StartError::Controller {
        name: NAME,
        reason: cause.to_string().into(),
    };
    context
        .module_states
        .relay
        .set(Arc::clone(&relay))
        .map_err(|_| start_error(&"the relay was already started"))?;
    let (actor, handle) = RelayController::spawn(None, RelayController, relay)
        .await
        .map_err(|error| start_error(&error))?;
    controllers.add(NAME, actor.get_cell(), handle);
    Ok(())
}

/// Runs one attempt on the target that the request names, and returns the reply; `None` on an entry.
///
/// Dropping the future cancels the attempt.
pub async fn handle_attempt(
    context: &Context,
    mut request: AttemptRequest,
) -> Option<AttemptReply> {
    let relay = context.module_states.relay.get()?;
    // Stands for the address of a target that the configuration does not contain.
    let unknown_addr = TargetAddr::from(([0, 0, 0, 0], 0));
    let target_config = relay
        .target_table()
        .and_then(|table| table.get_by_name(&request.target));
    let addr = target_config.map_or(unknown_addr, |target_config| target_config.addr);
    // The attempt is counted before the phase is checked: otherwise a drain that starts between the two
    // steps would not wait for the attempt.
    let _in_flight_guard = relay.count_in_flight(addr);
    let arrived_at = relay.board.now();
    let deadline = arrived_at + request.time_left;
    if let Err(refusal) = check_phase(relay) {
        return Some(build_refusal_reply(&request, addr, refusal));
    }
    if target_config.is_none() {
        let reason = "the configuration does not contain the target";
        let refusal = Refusal::not_run(RefusalCode::NoTarget, reason);
        return Some(build_refusal_reply(&request, addr, refusal));
    }
    // The same check runs again before the send. It also runs here, so that an attempt that would fail it
    // is refused without a wait in the queue.
    if let Err(refusal) = check_sendable(relay, addr, deadline, request.fingerprint) {
        return Some(build_refusal_reply(&request, addr, refusal));
    }
    let not_serving_refusal = || {
        let reason = "the relay is not ready to serve the target yet";
        Refusal::not_run(RefusalCode::NotOwner, reason)
    };
    let Some(actor) = relay.target_actor(addr) else {
        relay.controller_wake.notify_one();
        return Some(build_refusal_reply(&request, addr, not_serving_refusal()));
    };
    let (reply_sender, reply_receiver) = oneshot::channel();
    let team_weight = relay
        .target_table()
        .map_or(1, |table| table.team_weight(&request.team));
    // If the actor stops before it replies, the reply is built from this copy, which needs no body.
    let body = std::mem::take(&mut request.body);
    let request_without_body = request.clone();
    request.body = body;
    let attempt = Box::new(Attempt {
        request,
        addr,
        team_weight,
        arrived_at,
        deadline,
        _in_flight_guard: relay.count_in_flight(addr),
        reply_sender,
    });
    if actor.cast(TargetActorMessage::Run(attempt)).is_err() {
        return Some(build_refusal_reply(
            &request_without_body,
            addr,
            not_serving_refusal(),
        ));
    }
    match reply_receiver.await {
        Ok(reply) => Some(reply),
        // The actor stopped before it replied, so the attempt may have been sent.
        Err(_) => {
            let reason = "ownership of the target was lost during the attempt".to_owned();
            let refusal =
                build_maybe_run_refusal(&request_without_body, RefusalCode::TargetFailed, reason);
            Some(build_refusal_reply(&request_without_body, addr, refusal))
        }
    }
}

/// Returns whether no attempt on a target is queued, running, or abandoned while the target may still run
/// it, so that giving back the ownership cuts no attempt off; `true` in a process that is not a relay.
pub fn is_target_idle(context: &Context, addr: TargetAddr) -> bool {
    let relay = context.module_states.relay.get();
    relay.is_none_or(|relay| relay.is_target_idle(addr))
}

/// Waits until no attempt is in flight, so that a draining relay cuts no attempt off; returns at once in a
/// process that is not a relay.
pub async fn drain(context: &Context) {
    if context.board.role == Role::Relay
        && let Some(relay) = context.module_states.relay.get()
    {
        relay.wait_until_idle().await;
    }
}
