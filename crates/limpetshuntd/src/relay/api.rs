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
        controller::RelayController,
        gate::{
            check_send,
            check_serving, //
        },
        state::RelayState,
        target::{
            TargetMessage,
            maybe_run, //
        },
        work::{
            Work,
            refused, //
        },
    },
};

/// Starts the controllers of this module.
///
/// # Errors
///
/// Fails when a controller cannot start.
pub async fn start(context: &Context, controllers: &mut Controllers) -> Result<(), StartError> {
    const NAME: &str = "relay";
    let relay = RelayState::new(Arc::clone(&context.board));
    let failed = |cause: &dyn std::fmt::Display| StartError::Controller {
        name: NAME,
        reason: cause.to_string().into(),
    };
    context
        .module_states
        .relay
        .set(Arc::clone(&relay))
        .map_err(|_| failed(&"started twice"))?;
    let (actor, handle) = RelayController::spawn(None, RelayController, relay)
        .await
        .map_err(|error| failed(&error))?;
    controllers.add(NAME, actor.get_cell(), handle);
    Ok(())
}

/// Runs one attempt; `None` on an entry.
///
/// Dropping the future cancels the attempt.
pub async fn handle_attempt(
    context: &Context,
    mut request: AttemptRequest,
) -> Option<AttemptReply> {
    let relay = context.module_states.relay.get()?;
    let nowhere = TargetAddr::from(([0, 0, 0, 0], 0));
    let site = relay.sites().and_then(|s| s.named(&request.target));
    let addr = site.map_or(nowhere, |site| site.addr);
    // Counted before the phase is checked, so that a drain cannot miss an attempt it let pass.
    let _in_flight = relay.enter(addr);
    let arrived = relay.board.now();
    let deadline = arrived + request.time_left;
    if let Err(refusal) = check_serving(relay) {
        return Some(refused(&request, addr, refusal));
    }
    if site.is_none() {
        let reason = "the configuration does not have the target";
        let refusal = Refusal::not_run(RefusalCode::NoTarget, reason);
        return Some(refused(&request, addr, refusal));
    }
    if let Err(refusal) = check_send(relay, addr, deadline, request.fingerprint) {
        return Some(refused(&request, addr, refusal));
    }
    let not_ready = || {
        let reason = "the relay has only just become the owner";
        Refusal::not_run(RefusalCode::NotOwner, reason)
    };
    let Some(actor) = relay.target(addr) else {
        relay.wake.notify_one();
        return Some(refused(&request, addr, not_ready()));
    };
    let (reply, replied) = oneshot::channel();
    let weight = relay.sites().map_or(1, |s| s.weight(&request.team));
    // Kept for the reply to an attempt that is lost with its actor; the body is not needed there.
    let body = std::mem::take(&mut request.body);
    let head = request.clone();
    request.body = body;
    let work = Box::new(Work {
        request,
        addr,
        weight,
        arrived,
        deadline,
        _in_flight: relay.enter(addr),
        reply,
    });
    if actor.cast(TargetMessage::Run(work)).is_err() {
        return Some(refused(&head, addr, not_ready()));
    }
    match replied.await {
        Ok(reply) => Some(reply),
        // The actor stopped while the attempt was on its way: it may have been sent.
        Err(_) => {
            let reason = "ownership of the target was lost during the attempt".to_owned();
            let refusal = maybe_run(&head, RefusalCode::TargetFailed, reason);
            Some(refused(&head, addr, refusal))
        }
    }
}

/// Returns whether no attempt at a target is queued or running, so that its ownership can be given
/// back without cutting one.
pub fn is_target_idle(context: &Context, addr: TargetAddr) -> bool {
    let relay = context.module_states.relay.get();
    relay.is_none_or(|relay| relay.is_target_idle(addr))
}

/// Waits until no attempt is in flight; called when the process drains.
pub async fn drain(context: &Context) {
    if context.board.role == Role::Relay
        && let Some(relay) = context.module_states.relay.get()
    {
        relay.idle().await;
    }
}
