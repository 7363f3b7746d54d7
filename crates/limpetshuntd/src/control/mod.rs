//! Control plane of a process: puts configuration texts in force, tracks by evidence whether the text in
//! force is current, and exchanges texts and evidence with the other processes by gossip.

mod actor_tasks;
mod config_installer;
mod config_reader;
mod control_state;
mod freshness;
mod gossip;
mod gossip_messages;
mod membership;
mod node_records;
mod text_history;

use std::sync::Arc;

use limpet_types::message::{
    GossipReply,
    GossipRequest, //
};
use ractor::{
    Actor,
    ActorRef, //
};

use crate::{
    controllers::Controllers,
    daemon::{
        Context,
        StartError, //
    },
};

use config_installer::ConfigInstaller;
use config_reader::ConfigReader;
use control_state::{
    ControlHandles,
    ControlState, //
};
use freshness::FreshnessController;
use gossip::{
    GossipController,
    GossipMessage, //
};
use membership::MembershipController;

/// Running controllers of this module, kept to answer gossip requests.
#[derive(Clone, Debug)]
pub struct ControlPlane {
    handles: ControlHandles,
    gossip: ActorRef<GossipMessage>,
}

/// Starts the controllers of this module, adds them to `controllers`, and stores in `context` what
/// [`handle_gossip`] needs.
///
/// # Errors
///
/// Fails when a controller cannot start.
pub async fn start(context: &Context, controllers: &mut Controllers) -> Result<(), StartError> {
    let control_state = Arc::new(ControlState::new(context));
    let freshness = spawn(
        "freshness",
        FreshnessController,
        Arc::clone(&control_state),
        controllers,
    )
    .await?;
    let arguments = (Arc::clone(&control_state), freshness.clone());
    let installer = spawn(
        "configuration",
        ConfigInstaller,
        arguments.clone(),
        controllers,
    )
    .await?;
    let membership = spawn("membership", MembershipController, arguments, controllers).await?;
    let handles = ControlHandles {
        control_state,
        freshness,
        installer,
        membership,
    };
    let gossip = spawn("gossip", GossipController, handles.clone(), controllers).await?;
    spawn("reader", ConfigReader, handles.clone(), controllers).await?;
    let _ = context
        .module_states
        .control
        .set(ControlPlane { handles, gossip });
    Ok(())
}

/// Starts an actor as a controller; `name` identifies the controller in logs and errors.
async fn spawn<A: Actor>(
    name: &'static str,
    actor: A,
    arguments: A::Arguments,
    controllers: &mut Controllers,
) -> Result<ActorRef<A::Msg>, StartError> {
    let (actor, handle) = Actor::spawn(None, actor, arguments)
        .await
        .map_err(|error| StartError::Controller {
            name,
            reason: error.to_string().into(),
        })?;
    controllers.add(name, actor.get_cell(), handle);
    Ok(actor)
}

/// Answers a gossip request, and calls the sender back if it has a newer revision in force; returns `None`
/// before the controllers are started.
pub async fn handle_gossip(context: &Context, request: GossipRequest) -> Option<GossipReply> {
    let control = context.module_states.control.get()?;
    let sender_addr = request.sender.node.addr;
    let (reply, is_sender_newer) = gossip_messages::handle_request(&control.handles, request).await;
    if is_sender_newer {
        // The reply cannot ask for the sender's text, so the text is fetched by a call to the sender.
        let _ = control.gossip.cast(GossipMessage::CallPeer(sender_addr));
    }
    Some(reply)
}
