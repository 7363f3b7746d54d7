//! Accept loop of a fake target.

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
    Fault,
    RequestEvent,
    Stats,
    TargetSpec,
    answer::answer,
    state::State, //
};

/// A running fake target.
#[derive(Debug)]
pub struct FakeTarget {
    pub(crate) state: Arc<State>,
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
        let state = Arc::new(State::new(spec));
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

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.state.spec.name
    }

    /// Injects a fault.
    pub fn inject(&self, fault: Fault) {
        self.state.apply(fault);
    }

    /// Returns the counters.
    pub fn stats(&self) -> Stats {
        self.state.lock().stats.clone()
    }

    /// Returns the requests received, in the order of their arrival.
    pub fn events(&self) -> Vec<RequestEvent> {
        self.state.lock().events.clone()
    }

    /// Returns how many times the order with this request id ran.
    pub fn order_runs(&self, request: &str) -> usize {
        let is_order_run =
            |e: &&RequestEvent| &*e.kind == "order" && &*e.request == request && e.has_run();
        self.state.lock().events.iter().filter(is_order_run).count()
    }

    /// Waits until `condition` holds for the target.
    pub async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        let mut changed = self.state.changed.subscribe();
        while !condition(self) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Closes every connection and waits for the tasks.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.accept_task.await;
    }
}

async fn accept_connections(
    listener: TcpListener,
    addr: SocketAddr,
    state: Arc<State>,
    mut stopped: watch::Receiver<bool>,
) {
    let mut listener = Some(listener);
    let mut generation = state.generation.subscribe();
    let restart_delay = Duration::from_millis(state.spec.restart_delay_ms);
    let mut connections = JoinSet::new();
    loop {
        let Some(current) = listener.take() else {
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
            accepted = current.accept() => if let Ok((stream, _)) = accepted
                && let Some(number) = state.register_connection()
            {
                connections.spawn(handle_connection(stream, number, Arc::clone(&state)));
            },
            Some(_) = connections.join_next() => {}
            _ = generation.changed() => {
                drop(current);
                connections.shutdown().await;
                continue;
            }
            _ = stopped.changed() => break,
        }
        listener = Some(current);
    }
    connections.shutdown().await;
}

/// Guard of an open connection: decrements the count when its task ends, also by cancellation.
struct OpenConnection(Arc<State>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.unregister_connection();
    }
}

async fn handle_connection(stream: TcpStream, number: u64, state: Arc<State>) {
    let _guard = OpenConnection(Arc::clone(&state));
    let _ = stream.set_nodelay(true);
    if state.spec.connect_delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(state.spec.connect_delay_ms)).await;
    }
    let service = service_fn(|request| answer(Arc::clone(&state), number, request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        tracing::debug!(%error, "connection ended");
    }
}
