//! Runs a gateway process: starts its tasks, waits for the shutdown signal and stops them in order.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use futures::Future;
use limpet_peer::PeerServer;
use limpet_types::message::{
    PeerReply,
    PeerRequest, //
};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinSet,
    time::{
        Instant,
        interval,
        sleep, //
    },
};

use crate::{
    admin::{
        self,
        Endpoints, //
    },
    follower::{
        Follower,
        serve_follower, //
    },
    frontend,
    header_names::HeaderNames,
    members::{
        Gossip,
        GossipError, //
    },
    settings::Settings,
    shared_state::SharedState,
    source::Source,
};

/// Interval at which lapsed targets are removed.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Every how many maintenance rounds aged connections are closed and gauges are updated, which costs more.
const FULL_MAINTENANCE_ROUNDS: u32 = 8;
/// Fraction of the shutdown timeout in which new connections are still served, because the load balancer
/// needs two failed checks to notice an unready process.
const DRAIN_NOTICE_FRACTION: f64 = 0.45;
/// Fraction of the shutdown timeout after which requests in flight are cancelled.
const REQUEST_CANCEL_FRACTION: f64 = 0.92;

/// Why a gateway cannot start.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// An address cannot be used.
    #[error("cannot listen on {addr}: {error}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The gossip socket cannot be used.
    #[error(transparent)]
    Gossip(#[from] GossipError),
}

/// Runs a gateway until `shutdown` completes; `seeds` receives new seeds after a reload of the settings.
///
/// # Errors
///
/// Fails if an address cannot be used.
pub async fn run(
    settings: Settings,
    header_names: HeaderNames,
    source: Source,
    recorder: Option<PrometheusHandle>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    shutdown: impl Future<Output = ()>,
) -> Result<(), GatewayError> {
    let shared = Arc::new(SharedState::new(settings, header_names));
    let settings = &shared.settings;
    let ready_listener = listen(settings.ready_addr).await?;
    let admin_listener = listen(settings.admin_addr).await?;
    let peer_listener = listen(settings.peer_addr).await?;
    let caller_listener = listen(settings.caller_addr).await?;
    let gossip = Arc::new(Gossip::bind(Arc::clone(&shared)).await?);

    let mut tasks = JoinSet::new();
    tasks.spawn(admin::serve(
        ready_listener,
        Arc::clone(&shared),
        Endpoints::Readiness,
    ));
    let endpoints = Endpoints::Admin(recorder.clone());
    tasks.spawn(admin::serve(admin_listener, Arc::clone(&shared), endpoints));
    tasks.spawn(Arc::clone(&gossip).run());
    tasks.spawn(Follower::new(Arc::clone(&shared), source).run());
    tasks.spawn(run_maintenance(Arc::clone(&shared), recorder));
    tasks.spawn(apply_seed_updates(Arc::clone(&shared), seeds));
    let peer_server = serve_peers(peer_listener, Arc::clone(&shared));
    let frontend_server =
        frontend::serve(caller_listener, Arc::clone(&shared)).map_err(|error| {
            GatewayError::Listen {
                addr: settings.caller_addr,
                error,
            }
        })?;
    tracing::info!(
        name = %settings.name, zone = %settings.zone, caller_addr = %settings.caller_addr,
        peer_addr = %settings.peer_addr, seeds = ?settings.seeds,
        first_start = settings.is_first_start, "gateway started"
    );

    shutdown.await;
    let stopping = Instant::now();
    let limit = settings.shutdown_timeout;
    tracing::info!(limit_ms = limit.as_millis(), "gateway stopping");
    shared.start_drain();
    sleep(limit.mul_f64(DRAIN_NOTICE_FRACTION)).await;
    let left = limit
        .mul_f64(REQUEST_CANCEL_FRACTION)
        .saturating_sub(stopping.elapsed());
    frontend_server.stop(left).await;
    gossip.announce_leave().await;
    tasks.shutdown().await;
    drop(peer_server);
    tracing::info!(took_ms = stopping.elapsed().as_millis(), "gateway stopped");
    Ok(())
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, GatewayError> {
    let listener = TcpListener::bind(addr).await;
    listener.map_err(|error| GatewayError::Listen { addr, error })
}

fn serve_peers(listener: TcpListener, shared: Arc<SharedState>) -> PeerServer {
    limpet_peer::serve(listener, move |request| {
        let shared = Arc::clone(&shared);
        async move {
            match request {
                PeerRequest::Follow(request) => {
                    PeerReply::Follow(serve_follower(&shared, request).await)
                }
                _ => PeerReply::Unsupported,
            }
        }
    })
}

async fn apply_seed_updates(shared: Arc<SharedState>, mut seeds: watch::Receiver<Vec<SocketAddr>>) {
    while seeds.changed().await.is_ok() {
        let seeds = seeds.borrow_and_update().clone();
        tracing::info!(?seeds, "seeds replaced");
        shared.membership().set_seeds(&seeds);
    }
}

/// Removes lapsed targets, closes aged connections and updates gauges.
async fn run_maintenance(shared: Arc<SharedState>, recorder: Option<PrometheusHandle>) {
    let mut ticks = interval(MAINTENANCE_INTERVAL);
    let mut round = 0_u32;
    loop {
        ticks.tick().await;
        let now = shared.now();
        let has_expired = shared.state().expire_lapsed(now);
        if has_expired {
            shared.sync_fleet();
        }
        round = round.wrapping_add(1);
        if !round.is_multiple_of(FULL_MAINTENANCE_ROUNDS) {
            continue;
        }
        shared.fleet().close_expired_connections();
        let (targets, connections) = shared.fleet().totals();
        metrics::gauge!("limpet_targets").set(targets as f64);
        metrics::gauge!("limpet_target_connections").set(connections as f64);
        metrics::gauge!("limpet_caller_connections").set(shared.caller_connections() as f64);
        metrics::gauge!("limpet_processes")
            .set(shared.rate_limiter().process_counts().total as f64);
        let age = shared.state().age(now);
        metrics::gauge!("limpet_state_age_seconds").set(age.map_or(-1.0, |a| a.as_secs_f64()));
        if let Some(recorder) = &recorder {
            recorder.run_upkeep();
        }
    }
}
