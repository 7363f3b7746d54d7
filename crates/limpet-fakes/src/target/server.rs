//! Accept loop of one stand-in target.

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
    Event,
    Fault,
    Stats,
    TargetSpec,
    answer::answer,
    state::State, //
};

/// A running stand-in target.
#[derive(Debug)]
pub struct FakeTarget {
    pub(crate) state: Arc<State>,
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    accepting: JoinHandle<()>,
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
        let accepting = tokio::spawn(run(listener, addr, Arc::clone(&state), stopped));
        Ok(Self {
            state,
            addr,
            stop,
            accepting,
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

    /// Switches a fault on.
    pub fn inject(&self, fault: Fault) {
        self.state.apply(fault);
    }

    /// Returns the counters.
    pub fn stats(&self) -> Stats {
        self.state.lock().stats.clone()
    }

    /// Returns the requests seen.
    pub fn events(&self) -> Vec<Event> {
        self.state.lock().events.clone()
    }

    /// Returns how often an order of this request id ran.
    pub fn order_runs(&self, request: &str) -> usize {
        let is_run = |e: &&Event| &*e.kind == "order" && &*e.request == request && e.ran();
        self.state.lock().events.iter().filter(is_run).count()
    }

    /// Waits until `reached` holds for the target.
    pub async fn wait_until(&self, reached: impl Fn(&Self) -> bool) {
        let mut changed = self.state.changed.subscribe();
        while !reached(self) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Ends every connection and waits for the tasks.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.accepting.await;
    }
}

async fn run(
    listener: TcpListener,
    addr: SocketAddr,
    state: Arc<State>,
    mut stopped: watch::Receiver<bool>,
) {
    let mut listener = Some(listener);
    let mut life = state.life.subscribe();
    let restart_delay = Duration::from_millis(state.spec.restart_delay_ms);
    let mut connections = JoinSet::new();
    loop {
        let Some(open) = listener.take() else {
            tokio::select! {
                () = tokio::time::sleep(restart_delay) => {}
                _ = stopped.changed() => return,
            }
            match TcpListener::bind(addr).await {
                Ok(bound) => listener = Some(bound),
                Err(error) => tracing::warn!(%addr, %error, "restart failed; trying again"),
            }
            continue;
        };
        tokio::select! {
            accepted = open.accept() => if let Ok((stream, _)) = accepted
                && let Some(number) = state.connected()
            {
                connections.spawn(serve(stream, number, Arc::clone(&state)));
            },
            Some(_) = connections.join_next() => {}
            _ = life.changed() => {
                drop(open);
                connections.shutdown().await;
                continue;
            }
            _ = stopped.changed() => break,
        }
        listener = Some(open);
    }
    connections.shutdown().await;
}

/// Counts the connection out when its task ends, however that happens.
struct Connected(Arc<State>);

impl Drop for Connected {
    fn drop(&mut self) {
        self.0.disconnected();
    }
}

async fn serve(stream: TcpStream, number: u64, state: Arc<State>) {
    let _connected = Connected(Arc::clone(&state));
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
