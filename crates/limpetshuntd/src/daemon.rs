//! Start, drain and stop of a process.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        OnceLock, //
    },
};

use limpet_peer::PeerClient;
use limpet_types::{
    NodeId,
    Phase,
    Role, //
};
use tokio::net::TcpListener;

use crate::{
    admin,
    blackboard::Blackboard,
    control,
    controllers::Controllers,
    entry,
    lease::{
        self,
        LeaseState, //
    },
    peer_requests, relay,
    settings::{
        RoleSettings,
        Settings, //
    },
};

/// Reason why a process could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The process cannot listen on an address.
    #[error("cannot listen on {addr}: {source}")]
    Bind {
        /// Address to listen on.
        addr: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A controller cannot be started.
    #[error("cannot start controller {name}: {reason}")]
    Controller {
        /// Name of the controller.
        name: &'static str,
        /// Reason of the failure.
        reason: Box<str>,
    },
}

/// What the modules of a process share: state, settings and the client for requests to peers.
#[derive(Clone, Debug)]
pub struct Context {
    /// State that the controllers share.
    pub board: Arc<Blackboard>,
    /// Client for requests to the other processes of the fleet.
    pub peer_client: PeerClient,
    /// Settings of the process.
    pub settings: Arc<Settings>,
    /// State of the modules that answer peers and callers.
    pub module_states: Arc<ModuleStates>,
}

/// State that the modules keep between requests; the `start` function of each module sets its field.
///
/// While a field is not set, requests to its module are answered as unsupported.
#[derive(Debug, Default)]
pub struct ModuleStates {
    /// Votes, coordinators and grant clients.
    pub lease: OnceLock<Arc<LeaseState>>,
    /// State by which requests of callers are served; set on entries only.
    pub entry: OnceLock<Arc<entry::Entry>>,
    /// Controllers that answer gossip.
    pub(crate) control: OnceLock<control::ControlPlane>,
    /// State by which attempts on the owned targets are run; set on relays only.
    pub relay: OnceLock<Arc<relay::RelayState>>,
}

/// Runs a process until `shutdown` completes, then drains and stops it.
///
/// # Errors
///
/// Fails when the process cannot start.
pub async fn run(settings: Settings, shutdown: impl Future<Output = ()>) -> Result<(), StartError> {
    let common = settings.role.common();
    let (role, peer_port) = match &settings.role {
        RoleSettings::Entry(_) => (Role::Entry, common.entry_peer_port),
        RoleSettings::Relay(_) => (Role::Relay, common.relay_peer_port),
    };
    let addr = SocketAddr::new(common.ip, peer_port);
    let listener = TcpListener::bind(addr)
        .await
        .map_err(|source| StartError::Bind { addr, source })?;
    let board = Blackboard::new(NodeId::new(addr, rand::random()), role, common.zone.clone());
    let context = Context {
        board,
        peer_client: PeerClient::new(),
        settings: Arc::new(settings),
        module_states: Arc::new(ModuleStates::default()),
    };
    let mut controllers = Controllers::new();
    admin::start(&context, &mut controllers).await?;
    control::start(&context, &mut controllers).await?;
    lease::start(&context, &mut controllers).await?;
    match role {
        Role::Entry => entry::start(&context, &mut controllers).await?,
        Role::Relay => relay::start(&context, &mut controllers).await?,
    }
    let server_context = context.clone();
    let server = limpet_peer::serve(listener, move |request| {
        peer_requests::dispatch(server_context.clone(), request)
    });
    tracing::info!(node = %context.board.node, ?role, "started");
    shutdown.await;
    tracing::info!("draining");
    context.board.phase.send_replace(Phase::Draining);
    match role {
        Role::Entry => entry::drain(&context).await,
        Role::Relay => relay::drain(&context).await,
    }
    lease::release_all(&context).await;
    // Entries report spent tokens until the leases are released, so the server stops only after that.
    server.stop().await;
    controllers.stop().await;
    context.peer_client.close().await;
    tracing::info!("stopped");
    Ok(())
}
