//! HTTP server for readiness checks, metrics and the status page.

use std::{
    convert::Infallible,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    Request,
    Response,
    StatusCode, //
};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};
use tokio::{
    net::TcpListener,
    task::JoinSet,
    time::sleep, //
};

use crate::{
    members::record_load_spreads,
    shared_state::SharedState, //
    slow_reader::{
        is_stalled,
        limit_sends, //
    },
};

/// Delay after a failed accept, which keeps the loop from spinning.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum idle time of a connection, and longest time for which a client may read nothing of an answer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of open connections for metrics and status; each may hold one page of metrics (some 100 KB). Further ones
/// wait to be accepted. Readiness checks have short answers and no limit.
const ADMIN_CONNECTIONS_MAX: usize = 64;

/// Endpoints that one listener serves.
#[derive(Clone, Debug)]
pub enum Endpoints {
    /// Readiness, at any path because the platform chooses the path of its check.
    Readiness,
    /// `/metrics`, if a recorder is given, and `/status`.
    Admin(Option<PrometheusHandle>),
}

/// Installs the Prometheus metrics recorder of the process; if that fails, logs the error and returns `None`.
pub fn install_recorder() -> Option<PrometheusHandle> {
    match PrometheusBuilder::new().install_recorder() {
        Ok(handle) => Some(handle),
        Err(error) => {
            tracing::warn!(%error, "metrics are not recorded");
            None
        }
    }
}

/// Serves the endpoints until the future is dropped.
pub async fn serve(listener: TcpListener, shared: Arc<SharedState>, endpoints: Endpoints) {
    let mut connections = JoinSet::new();
    let connections_max = match endpoints {
        Endpoints::Readiness => usize::MAX,
        Endpoints::Admin(_) => ADMIN_CONNECTIONS_MAX,
    };
    loop {
        tokio::select! {
            accepted = listener.accept(), if connections.len() < connections_max => match accepted {
                Ok((stream, _)) => {
                    let (shared, endpoints) = (Arc::clone(&shared), endpoints.clone());
                    connections.spawn(async move {
                        let Ok(stream) = limit_sends(stream, IDLE_TIMEOUT) else {
                            return;
                        };
                        let service = service_fn(move |request| {
                            let response = build_response(&shared, &endpoints, &request);
                            async move { Ok::<_, Infallible>(response) }
                        });
                        let connection = http1::Builder::new()
                            .timer(TokioTimer::new())
                            .header_read_timeout(IDLE_TIMEOUT)
                            .serve_connection(TokioIo::new(stream), service);
                        if let Err(error) = connection.await {
                            if is_stalled(&error) {
                                metrics::counter!("limpet_stalled_readers_total", "server" => "admin").increment(1);
                            }
                            tracing::debug!(%error, "admin connection ended");
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "admin connection not accepted");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}

/// Builds the response to a request.
fn build_response(
    shared: &SharedState,
    endpoints: &Endpoints,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (status, body) = match (endpoints, request.uri().path()) {
        (Endpoints::Readiness, _) if shared.is_ready() => (StatusCode::OK, String::new()),
        (Endpoints::Readiness, _) => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        (Endpoints::Admin(Some(recorder)), "/metrics") => {
            // These are worked out for each reading instead of at each change.
            record_load_spreads(shared);
            shared.admission().set_gauges(shared.now());
            (StatusCode::OK, recorder.render())
        }
        (Endpoints::Admin(_), "/status") => (StatusCode::OK, status_page(shared)),
        (Endpoints::Admin(_), _) => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

/// Renders the state of the process as lines of text.
fn status_page(shared: &SharedState) -> String {
    let config_version = shared
        .route_table
        .load()
        .as_ref()
        .map(|route_table| route_table.config().version);
    let (target_count, connection_count) = shared.fleet().target_and_connection_counts();
    let process_counts = shared.rate_limiter().process_counts();
    let now = shared.suspend_aware_now();
    let deployment_state = shared.deployment_state();
    format!(
        "name {}\nzone {}\nready {}\ndraining {}\ntext version {config_version:?}\nrevision {}\n\
         state age {:?}\ntargets {target_count}\ntarget connections {connection_count}\nprocesses {}\n\
         silent processes {}\n",
        shared.settings.name,
        shared.settings.zone,
        !shared.shutdown.has_begun() && config_version.is_some() && deployment_state.has_targets(),
        shared.shutdown.has_begun(),
        deployment_state.revision(),
        deployment_state.age(now),
        process_counts.total,
        process_counts.silent,
    )
}
