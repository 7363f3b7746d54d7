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
    board::Board,
    dialect::Dialect,
    follow::{
        Follower,
        serve_follower, //
    },
    front,
    members::{
        Gossip,
        GossipError, //
    },
    settings::Settings,
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
    dialect: Dialect,
    source: Source,
    recorder: Option<PrometheusHandle>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    shutdown: impl Future<Output = ()>,
) -> Result<(), GatewayError> {
    let board = Arc::new(Board::new(settings, dialect));
    let settings = &board.settings;
    let ready = listen(settings.ready_addr).await?;
    let operators = listen(settings.admin_addr).await?;
    let peers = listen(settings.peer_addr).await?;
    let callers = listen(settings.caller_addr).await?;
    let gossip = Arc::new(Gossip::bind(Arc::clone(&board)).await?);

    let mut tasks = JoinSet::new();
    tasks.spawn(admin::serve(ready, Arc::clone(&board), Page::Ready));
    let page = Page::Operators(recorder.clone());
    tasks.spawn(admin::serve(operators, Arc::clone(&board), page));
    tasks.spawn(Arc::clone(&gossip).run());
    tasks.spawn(Follower::new(Arc::clone(&board), source).run());
    tasks.spawn(upkeep(Arc::clone(&board), recorder));
    tasks.spawn(take_seeds(Arc::clone(&board), seeds));
    let peer_server = serve_peers(peers, Arc::clone(&board));
    let front =
        front::serve(callers, Arc::clone(&board)).map_err(|error| GatewayError::Listen {
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
    let limit = settings.stop_limit;
    tracing::info!(limit_ms = limit.as_millis(), "gateway stops");
    board.start_drain();
    sleep(limit.mul_f64(NOTICE_PART)).await;
    let left = limit.mul_f64(CUT_PART).saturating_sub(stopping.elapsed());
    front.stop(left).await;
    gossip.leave().await;
    tasks.shutdown().await;
    drop(peer_server);
    tracing::info!(took_ms = stopping.elapsed().as_millis(), "gateway stopped");
    Ok(())
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, GatewayError> {
    let listener = TcpListener::bind(addr).await;
    listener.map_err(|error| GatewayError::Listen { addr, error })
}

fn serve_peers(listener: TcpListener, board: Arc<Board>) -> PeerServer {
    limpet_peer::serve(listener, move |request| {
        let board = Arc::clone(&board);
        async move {
            match request {
                PeerRequest::Follow(request) => {
                    PeerReply::Follow(serve_follower(&board, request).await)
                }
                _ => PeerReply::Unsupported,
            }
        }
    })
}

async fn take_seeds(board: Arc<Board>, mut seeds: watch::Receiver<Vec<SocketAddr>>) {
    while seeds.changed().await.is_ok() {
        let seeds = seeds.borrow_and_update().clone();
        tracing::info!(?seeds, "seeds replaced");
        board.roster().set_seeds(&seeds);
    }
}

/// Ends graces, closes aged connections and brings gauges up to date.
async fn upkeep(board: Arc<Board>, recorder: Option<PrometheusHandle>) {
    let mut ticks = interval(UPKEEP_PERIOD);
    let mut round = 0_u32;
    loop {
        ticks.tick().await;
        let now = board.now();
        let has_expired = board.state().expire_lapsed(now);
        if has_expired {
            board.sync_fleet();
        }
        round = round.wrapping_add(1);
        if !round.is_multiple_of(UPKEEP_ROUNDS) {
            continue;
        }
        board.fleet().close_expired_connections();
        let (targets, connections) = board.fleet().totals();
        metrics::gauge!("limpet_targets").set(targets as f64);
        metrics::gauge!("limpet_target_connections").set(connections as f64);
        metrics::gauge!("limpet_caller_connections").set(board.caller_connections() as f64);
        metrics::gauge!("limpet_processes").set(board.ledger().presence().processes as f64);
        let age = board.state().age(now);
        metrics::gauge!("limpet_state_age_seconds").set(age.map_or(-1.0, |a| a.as_secs_f64()));
        if let Some(recorder) = &recorder {
            recorder.run_upkeep();
        }
    }
}
