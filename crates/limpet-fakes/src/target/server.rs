//! A fake target and its accept loop.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use hyper::{
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    task::{
        JoinHandle,
        JoinSet, //
    },
};

use crate::target::{
    FakeTargetStats,
    Fault,
    ReceivedRequest,
    TargetSpec,
    answer::answer,
    state::TargetState, //
};

/// A running fake target.
///
/// [`FakeTarget::stop`] stops it.
#[derive(Debug)]
pub struct FakeTarget {
    pub(crate) state: Arc<TargetState>,
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    accept_task: JoinHandle<()>,
}

impl FakeTarget {
    /// Starts a target.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(spec: TargetSpec) -> std::io::Result<Self> {
        let listener = TcpListener::bind(spec.addr).await?;
        let addr = listener.local_addr()?;
        let state = Arc::new(TargetState::new(spec));
        let (stop, stopped) = watch::channel(false);
        let accept_task = tokio::spawn(accept_connections(
            listener,
            addr,
            Arc::clone(&state),
            stopped,
        ));
        Ok(Self {
            state,
            addr,
            stop,
            accept_task,
        })
    }

    /// Returns the address on which the target listens.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the name of the target.
    pub fn name(&self) -> &str {
        &self.state.spec.name
    }

    /// Injects a fault.
    pub fn inject(&self, fault: Fault) {
        self.state.inject(fault);
    }

    /// Returns the counters of the target at this moment.
    pub fn stats(&self) -> FakeTargetStats {
        self.state.lock().stats.clone()
    }

    /// Returns the requests received, in the order of their arrival.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.state.lock().received_requests.clone()
    }

    /// Returns how many times an order with this request id ran.
    pub fn count_order_runs(&self, request_id: &str) -> usize {
        let is_order_run = |received: &&ReceivedRequest| {
            &*received.kind == "order" && &*received.request == request_id && received.has_run()
        };
        self.state
            .lock()
            .received_requests
            .iter()
            .filter(is_order_run)
            .count()
    }

    /// Waits until `condition` holds for the target.
    pub async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        let mut changes = self.state.change_count.subscribe();
        while !condition(self) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Closes every connection and waits for the tasks to end.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.accept_task.await;
    }
}

/// Accepts connections until the target is stopped; a crash closes them and the listener.
async fn accept_connections(
    listener: TcpListener,
    addr: SocketAddr,
    state: Arc<TargetState>,
    mut stopped: watch::Receiver<bool>,
) {
    let mut listener = Some(listener);
    let mut generation = state.generation.subscribe();
    let restart_delay = Duration::from_millis(state.spec.restart_delay_ms);
    let mut connections = JoinSet::new();
    loop {
        // There is no listener between a crash and the restart.
        let Some(open_listener) = listener.take() else {
            tokio::select! {
                () = tokio::time::sleep(restart_delay) => {}
                _ = stopped.changed() => return,
            }
            match TcpListener::bind(addr).await {
                Ok(bound) => listener = Some(bound),
                Err(error) => {
                    tracing::warn!(%addr, %error, "cannot listen again after a crash, retrying")
                }
            }
            continue;
        };
        tokio::select! {
            accepted = open_listener.accept() => if let Ok((stream, _)) = accepted
                && let Some(connection_number) = state.register_connection()
            {
                connections.spawn(handle_connection(stream, connection_number, Arc::clone(&state)));
            },
            Some(_) = connections.join_next() => {}
            _ = generation.changed() => {
                drop(open_listener);
                connections.shutdown().await;
                continue;
            }
            _ = stopped.changed() => break,
        }
        listener = Some(open_listener);
    }
    connections.shutdown().await;
}

/// Guard of an open connection: on drop, also when its task is cancelled, the connection no longer
/// counts as open.
struct OpenConnectionGuard(Arc<TargetState>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.unregister_connection();
    }
}

/// Serves one connection; `connection_number` counts the connections accepted before it.
async fn handle_connection(stream: TcpStream, connection_number: u64, state: Arc<TargetState>) {
    let _guard = OpenConnectionGuard(Arc::clone(&state));
    let _ = stream.set_nodelay(true);
    if state.spec.connect_delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(state.spec.connect_delay_ms)).await;
    }
    let service = service_fn(|request| answer(Arc::clone(&state), connection_number, request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        tracing::debug!(%error, "connection ended");
    }
}
