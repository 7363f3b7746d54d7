//! Fake platform and the servers that make it reachable.

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
    ConfigCallCounts,
    FakeVm,
    FakeVmList,
    http::answer,
    state::PlatformState, //
};

/// A fake platform: its configuration text and VM list.
///
/// [`FakePlatform::serve`] makes it reachable on an address.
///
/// # Examples
///
/// ```
/// # async fn example() -> std::io::Result<()> {
/// use limpet_fakes::platform::FakePlatform;
///
/// let platform = FakePlatform::new();
/// platform.set_config_text("fleet.vms_max = 8\n");
/// let server = platform.serve("127.0.0.1:0".parse().unwrap()).await?;
/// server.set_down(true);
/// server.stop().await;
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct FakePlatform {
    state: Arc<PlatformState>,
}

impl Default for FakePlatform {
    fn default() -> Self {
        Self::new()
    }
}

impl FakePlatform {
    /// Creates a platform without a text or VMs.
    pub fn new() -> Self {
        Self {
            state: Arc::new(PlatformState::new()),
        }
    }

    /// Sets the configuration text and returns its revision, which increases by one.
    pub fn set_config_text(&self, text: &str) -> u64 {
        self.state.add_revision(text.as_bytes())
    }

    /// Sets the VM list that `/v1/vms` returns.
    pub fn set_vms(&self, vms: Vec<FakeVm>) {
        self.state.lock().vms = FakeVmList { vms };
    }

    /// Serves the configuration text of `revisions` revisions ago, or the oldest if there are fewer; 0 serves
    /// the newest.
    pub fn set_stale_by(&self, revisions: usize) {
        self.state.lock().stale_by = revisions;
        self.state.wake_long_polls();
    }

    /// Returns the numbers of calls to the configuration service; requests for the VM list do not count.
    pub fn config_calls(&self) -> ConfigCallCounts {
        self.state.lock().config_calls.clone()
    }

    /// Serves the configuration and the VM list on an address.
    ///
    /// May be called for several addresses; each server can be down on its own.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn serve(&self, addr: SocketAddr) -> io::Result<FakePlatformServer> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let is_down = watch::Sender::new(false);
        let (stop, stopped) = watch::channel(false);
        let state = Arc::clone(&self.state);
        let server_task =
            tokio::spawn(serve_connections(listener, state, is_down.clone(), stopped));
        Ok(FakePlatformServer {
            addr,
            is_down,
            stop,
            server_task,
        })
    }
}

/// A running server of a [`FakePlatform`] at one address.
#[derive(Debug)]
pub struct FakePlatformServer {
    addr: SocketAddr,
    is_down: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    server_task: JoinHandle<()>,
}

impl FakePlatformServer {
    /// Returns the address on which the server listens.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets whether the server is down: while down, it gives no response to requests to `/v1`; setting it
    /// down also closes every open connection.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.send_replace(is_down);
    }

    /// Closes every connection and waits for the server task.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        let _ = self.server_task.await;
    }
}

async fn serve_connections(
    listener: TcpListener,
    state: Arc<PlatformState>,
    is_down: watch::Sender<bool>,
    mut stopped: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let (state, is_down) = (Arc::clone(&state), is_down.clone());
                connections.spawn(async move {
                    let mut is_down_changes = is_down.subscribe();
                    let service = service_fn(|request| answer(&state, &is_down, request));
                    let connection = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service);
                    tokio::select! {
                        _ = connection => {}
                        () = wait_until_down(&mut is_down_changes) => {}
                    }
                });
            }
            Some(_) = connections.join_next() => {}
            _ = stopped.changed() => break,
        }
    }
    connections.shutdown().await;
}

/// Waits until the server is set down.
///
/// Does not return at once if it is down already: admin requests are answered even then.
async fn wait_until_down(is_down_changes: &mut watch::Receiver<bool>) {
    while is_down_changes.changed().await.is_ok() {
        if *is_down_changes.borrow() {
            return;
        }
    }
}
