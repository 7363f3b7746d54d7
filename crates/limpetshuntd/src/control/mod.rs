//! Configuration, freshness, gossip and membership.

mod exchange;
mod freshness;
mod gossip;
mod installer;
mod membership;
mod reader;
mod records;
mod shared;
mod texts;
mod ticker;

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

use freshness::FreshnessController;
use gossip::{
    GossipController,
    GossipMessage, //
};
use installer::Installer;
use membership::Membership;
use reader::Reader;
use shared::{
    Links,
    Shared, //
};

/// The running controllers of this module.
#[derive(Clone, Debug)]
pub struct ControlPlane {
    links: Links,
    gossip: ActorRef<GossipMessage>,
}

/// Starts the controllers of this module.
///
/// # Errors
///
/// Fails when a controller cannot start.
pub async fn start(context: &Context, controllers: &mut Controllers) -> Result<(), StartError> {
    let shared = Arc::new(Shared::new(context));
    let freshness = spawn(
        "freshness",
        FreshnessController,
        Arc::clone(&shared),
        controllers,
    )
    .await?;
    let arguments = (Arc::clone(&shared), freshness.clone());
    let installer = spawn("configuration", Installer, arguments.clone(), controllers).await?;
    let membership = spawn("membership", Membership, arguments, controllers).await?;
    let links = Links {
        shared,
        freshness,
        installer,
        membership,
    };
    let gossip = spawn("gossip", GossipController, links.clone(), controllers).await?;
    spawn("reader", Reader, links.clone(), controllers).await?;
    let _ = context
        .module_states
        .control
        .set(ControlPlane { links, gossip });
    Ok(())
}

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

/// Answers gossip; `None` before the process can answer.
pub async fn handle_gossip(context: &Context, request: GossipRequest) -> Option<GossipReply> {
    let control = context.module_states.control.get()?;
    let sender = request.sender.node.addr;
    let (reply, is_behind) = exchange::answer(&control.links, request).await;
    if is_behind {
        let _ = control.gossip.cast(GossipMessage::Ask(sender));
    }
    Some(reply)
}
