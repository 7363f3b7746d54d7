//! Runs a gateway process: starts its tasks, waits for the shutdown signal and stops them in order.

use std::{
    net::SocketAddr,
    panic::AssertUnwindSafe,
    sync::Arc,
    time::Duration, //
};

use futures::{
    Future,
    FutureExt, //
};
use limpet_decide::shutdown::StopSchedule;
use limpet_peer::{
    GuardedReply,
    PeerServer, //
};
use limpet_types::message::{
    GatherReply,
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
        sleep,
        timeout, //
    },
};

use crate::{
    admin::{
        self,
        Endpoints, //
    },
    frontend,
    header_names::HeaderNames,
    members::{
        Gossip,
        GossipError, //
    },
    query::serve_aggregation,
    settings::Settings,
    shared_state::SharedState,
    source::Source,
    state_updater::{
        StateUpdater,
        serve_follower, //
    },
};

/// Delay before a task that panicked is started anew.
const TASK_RESTART_DELAY: Duration = Duration::from_millis(100);
/// Longest time between two maintenance rounds; each round removes lapsed targets.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// One in this many maintenance rounds also closes expired connections and updates gauges, which costs more.
const ROUNDS_PER_FULL_MAINTENANCE: u32 = 8;

/// Longest time at the end of a stop for which connections of other processes may still send what is ready. Followers wait
/// for changes on theirs for longer.
const PEER_CLOSE_TIME: Duration = Duration::from_millis(50);

/// Why a gateway cannot start.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The process cannot listen on a TCP address.
    #[error("cannot listen on {addr}: {error}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The UDP socket for reports between processes cannot be set up.
    #[error(transparent)]
    Gossip(#[from] GossipError),
}

/// Runs a gateway until `shutdown` completes and all its tasks have stopped.
///
/// `recorder` renders the metrics, if they are recorded. `seed_updates` receives the new seeds after a reload
/// of the settings.
///
/// # Errors
///
/// Fails if the process cannot listen on one of the addresses in `settings`.
pub async fn run(
    settings: Settings,
    header_names: HeaderNames,
    source: Source,
    recorder: Option<PrometheusHandle>,
    seed_updates: watch::Receiver<Vec<SocketAddr>>,
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
    let admin_endpoints = Endpoints::Admin(recorder.clone());
    tasks.spawn(admin::serve(
        admin_listener,
        Arc::clone(&shared),
        admin_endpoints,
    ));
    let reporter = Arc::clone(&gossip);
    tasks.spawn(supervise("reports", move || Arc::clone(&reporter).run()));
    let (updater_shared, source) = (Arc::clone(&shared), Arc::new(source));
    tasks.spawn(supervise("state", move || {
        StateUpdater::new(Arc::clone(&updater_shared), Arc::clone(&source)).run()
    }));
    let maintained = Arc::clone(&shared);
    tasks.spawn(supervise("maintenance", move || {
        run_maintenance(Arc::clone(&maintained), recorder.clone())
    }));
    tasks.spawn(apply_seed_updates(Arc::clone(&shared), seed_updates));
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
    let stop_started = Instant::now();
    let shutdown_timeout = settings.shutdown_timeout;
    tracing::info!(limit_ms = shutdown_timeout.as_millis(), "gateway stopping");
    let schedule = StopSchedule::new(shutdown_timeout);
    shared.shutdown.begin(stop_started);
    sleep(schedule.notice_end()).await;
    frontend_server
        .stop(
            stop_started + schedule.cancel_at(),
            stop_started + schedule.close_at(),
        )
        .await;
    let aggregation_timeout = schedule.close_at().saturating_sub(stop_started.elapsed());
    if timeout(aggregation_timeout, shared.aggregation_slots.finished())
        .await
        .is_err()
    {
        tracing::warn!("queries of other processes cancelled at shutdown");
    }
    gossip.announce_leave().await;
    tasks.shutdown().await;
    let peer_close_at = Instant::now() + PEER_CLOSE_TIME;
    peer_server
        .stop_by(peer_close_at.min(stop_started + schedule.close_at()))
        .await;
    shared.peer_client.close().await;
    // The last ones: connections to targets belong to them, and ending requests may have started some.
    shared.background_tasks.stop().await;
    tracing::info!(
        took_ms = stop_started.elapsed().as_millis(),
        "gateway stopped"
    );
    Ok(())
}

/// Runs a task, and starts it anew if it panics: one unexpected input must not leave the process without it.
async fn supervise<F: Future<Output = ()>>(name: &'static str, start: impl Fn() -> F) {
    while AssertUnwindSafe(start()).catch_unwind().await.is_err() {
        tracing::error!(task = name, "task panicked and is started anew");
        metrics::counter!("limpet_task_panics_total", "task" => name).increment(1);
        sleep(TASK_RESTART_DELAY).await;
    }
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, GatewayError> {
    let listener = TcpListener::bind(addr).await;
    listener.map_err(|error| GatewayError::Listen { addr, error })
}

/// Serves the requests of other gateway processes.
fn serve_peers(listener: TcpListener, shared: Arc<SharedState>) -> PeerServer {
    limpet_peer::serve(listener, move |request| {
        let shared = Arc::clone(&shared);
        async move {
            match request {
                PeerRequest::Follow(request) => {
                    PeerReply::Follow(serve_follower(&shared, request).await).into()
                }
                PeerRequest::Gather(request) => {
                    reserve_reply(&shared, serve_aggregation(&shared, *request).await)
                }
                _ => PeerReply::Unsupported.into(),
            }
        }
    })
}

/// Reserves the memory of a merged answer until the process that asked for it has got it.
fn reserve_reply(shared: &SharedState, reply: GatherReply) -> GuardedReply {
    let size_bytes = match &reply {
        GatherReply::Gathered { body, .. } => body.len(),
        _ => 0,
    };
    let mut reservation = shared.body_memory.reservation();
    reservation.extend(size_bytes);
    GuardedReply {
        reply: PeerReply::Gather(reply),
        guard: Some(Box::new(reservation)),
    }
}

/// Replaces the seeds of the membership after each reload of the settings.
async fn apply_seed_updates(
    shared: Arc<SharedState>,
    mut seed_updates: watch::Receiver<Vec<SocketAddr>>,
) {
    while seed_updates.changed().await.is_ok() {
        let seeds = seed_updates.borrow_and_update().clone();
        tracing::info!(?seeds, "seeds replaced");
        shared.membership().set_seeds(&seeds);
    }
}

/// Removes lapsed targets, closes expired connections and updates gauges.
async fn run_maintenance(shared: Arc<SharedState>, recorder: Option<PrometheusHandle>) {
    let mut round = 0_u32;
    loop {
        let lapse_end = shared.deployment_state().next_lapse_end();
        let now = shared.suspend_aware_now();
        let lapse_time = lapse_end.map_or(Duration::MAX, |end| end.saturating_sub(now));
        sleep(lapse_time.min(MAINTENANCE_INTERVAL)).await;
        let now = shared.suspend_aware_now();
        let has_removed = shared.deployment_state().remove_lapsed_targets(now);
        if has_removed {
            shared.sync_fleet();
        }
        round = round.wrapping_add(1);
        if !round.is_multiple_of(ROUNDS_PER_FULL_MAINTENANCE) {
            continue;
        }
        shared.fleet().close_expired_connections();
        let (target_count, connection_count) = shared.fleet().target_and_connection_counts();
        metrics::gauge!("limpet_targets").set(target_count as f64);
        metrics::gauge!("limpet_target_connections").set(connection_count as f64);
        metrics::gauge!("limpet_caller_connections").set(shared.caller_connection_count() as f64);
        metrics::gauge!("limpet_processes")
            .set(shared.rate_limiter().process_counts().total as f64);
        let age = shared.deployment_state().age(now);
        metrics::gauge!("limpet_state_age_seconds").set(age.map_or(-1.0, |age| age.as_secs_f64()));
        if let Some(recorder) = &recorder {
            recorder.run_upkeep();
        }
    }
}
