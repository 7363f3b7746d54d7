//! Server of the fake platform.

use std::{
    io,
    net::SocketAddr,
    sync::Arc, //
};

use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::{
        JoinHandle,
        JoinSet, //
    },
};

use crate::platform::{
    CallCounts,
    FakeVm,
    FakeVmList,
    http::answer,
    state::State, //
};

/// A fake platform; [`Platform::serve`] makes it reachable on an address.
///
/// # Examples
///
/// ```
/// # async fn example() -> std::io::Result<()> {
/// use limpet_fakes::platform::Platform;
///
/// let platform = Platform::new();
/// platform.set_text("fleet.vms_max = 8\n");
/// let frontend = platform.serve("127.0.0.1:0".parse().unwrap()).await?;
/// frontend.set_down(true);
/// frontend.stop().await;
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Platform {
    state: Arc<State>,
}

impl Default for Platform {
    fn default() -> Self {
        Self::new()
    }
}

impl Platform {
    /// Creates a platform without a text or VMs.
    pub fn new() -> Self {
        Self {
            state: Arc::new(State::new()),
        }
    }

    /// Sets the configuration text and returns its revision, which increases by one.
    pub fn set_text(&self, text: &str) -> u64 {
        self.state.add_revision(text.as_bytes())
    }

    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<FakeVm>) {
        self.state.lock().vms = FakeVmList { vms };
    }

    /// Serves the text of `revisions` revisions ago; 0 serves the newest.
    pub fn set_stale(&self, revisions: usize) {
        self.state.lock().stale_by = revisions;
        self.state.notify();
    }

    /// Returns the calls of the configuration service so far.
    pub fn calls(&self) -> CallCounts {
        self.state.lock().calls.clone()
    }

    /// Serves the configuration and the VM list on an address.
    ///
    /// Several addresses may be served; each can be down on its own.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn serve(&self, addr: SocketAddr) -> io::Result<Frontend> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let down = watch::Sender::new(false);
        let (stop, stopped) = watch::channel(false);
        let state = Arc::clone(&self.state);
        let server_task = tokio::spawn(serve(listener, state, down.clone(), stopped));
        Ok(Frontend {
            addr,
            down,
            stop,
            server_task,
        })
    }
}

/// An address on which the platform is served.
#[derive(Debug)]
pub struct Frontend {
    addr: SocketAddr,
    down: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    server_task: JoinHandle<()>,
}

impl Frontend {
    /// Returns the address.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// While `down`, closes every connection, open or new, without a response.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// Stops serving and waits for every task.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        let _ = self.server_task.await;
    }
}

async fn serve(
    listener: TcpListener,
    state: Arc<State>,
    down: watch::Sender<bool>,
    mut stopped: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let (state, down) = (Arc::clone(&state), down.clone());
                connections.spawn(async move {
                    let mut down_changes = down.subscribe();
                    let service = service_fn(|request| answer(&state, &down, request));
                    let connection = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service);
                    tokio::select! {
                        _ = connection => {}
                        () = wait_until_down(&mut down_changes) => {}
                    }
                });
            }
            Some(_) = connections.join_next() => {}
            _ = stopped.changed() => break,
        }
    }
    connections.shutdown().await;
}

/// Waits until the frontend goes down.
///
/// Does not end at once if it is down already: admin requests are answered even then.
async fn wait_until_down(down_changes: &mut watch::Receiver<bool>) {
    while down_changes.changed().await.is_ok() {
        if *down_changes.borrow() {
            return;
        }
    }
}
