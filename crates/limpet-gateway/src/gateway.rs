//! A whole gateway process: starts the parts, waits for the end and stops them in order.

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
        Page, //
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

/// Time between two rounds of upkeep.
const UPKEEP_PERIOD: Duration = Duration::from_millis(250);
/// Rounds of upkeep between two of the costlier ones.
const UPKEEP_ROUNDS: u32 = 8;
/// Part of the time to stop in which new connections are still served, because the balancer notices
/// an unready process only after two checks.
const NOTICE_PART: f64 = 0.45;
/// Part of the time to stop after which requests in flight are cut.
const CUT_PART: f64 = 0.92;

/// Why a gateway cannot start.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// An address cannot be used.
    #[error("cannot listen on {addr}: {error}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Error of the system.
        error: std::io::Error,
    },
    /// Reports cannot be exchanged.
    #[error(transparent)]
    Gossip(#[from] GossipError),
}

/// Runs a gateway until `shutdown` ends; `seeds` carries new seeds after a reload.
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
    let ready = listen(settings.ready_addr).await?;
    let operators = listen(settings.admin_addr).await?;
    let peers = listen(settings.peer_addr).await?;
    let callers = listen(settings.caller_addr).await?;
    let gossip = Arc::new(Gossip::bind(Arc::clone(&shared)).await?);

    let mut tasks = JoinSet::new();
    tasks.spawn(admin::serve(ready, Arc::clone(&shared), Page::Ready));
    let page = Page::Operators(recorder.clone());
    tasks.spawn(admin::serve(operators, Arc::clone(&shared), page));
    tasks.spawn(Arc::clone(&gossip).run());
    tasks.spawn(Follower::new(Arc::clone(&shared), source).run());
    tasks.spawn(upkeep(Arc::clone(&shared), recorder));
    tasks.spawn(take_seeds(Arc::clone(&shared), seeds));
    let peer_server = serve_peers(peers, Arc::clone(&shared));
    let front =
        frontend::serve(callers, Arc::clone(&shared)).map_err(|error| GatewayError::Listen {
            addr: settings.caller_addr,
            error,
        })?;
    tracing::info!(
        name = %settings.name, zone = %settings.zone, caller_addr = %settings.caller_addr,
        peer_addr = %settings.peer_addr, seeds = ?settings.seeds,
        first_start = settings.is_first_start, "gateway started"
    );

    shutdown.await;
    let stopping = Instant::now();
    let limit = settings.shutdown_timeout;
    tracing::info!(limit_ms = limit.as_millis(), "gateway stops");
    shared.start_drain();
    sleep(limit.mul_f64(NOTICE_PART)).await;
    let left = limit.mul_f64(CUT_PART).saturating_sub(stopping.elapsed());
    front.stop(left).await;
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

async fn take_seeds(shared: Arc<SharedState>, mut seeds: watch::Receiver<Vec<SocketAddr>>) {
    while seeds.changed().await.is_ok() {
        let seeds = seeds.borrow_and_update().clone();
        tracing::info!(?seeds, "seeds replaced");
        shared.membership().set_seeds(&seeds);
    }
}

/// Ends graces, closes aged connections and brings gauges up to date.
async fn upkeep(shared: Arc<SharedState>, recorder: Option<PrometheusHandle>) {
    let mut ticks = interval(UPKEEP_PERIOD);
    let mut round = 0_u32;
    loop {
        ticks.tick().await;
        let now = shared.now();
        let has_expired = shared.state().expire_lapsed(now);
        if has_expired {
            shared.sync_fleet();
        }
        round = round.wrapping_add(1);
        if !round.is_multiple_of(UPKEEP_ROUNDS) {
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
