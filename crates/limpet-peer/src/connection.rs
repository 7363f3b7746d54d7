//! One client connection to a peer.

use std::{
    net::SocketAddr,
    sync::{
        Mutex,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use h2::client::SendRequest;
use tokio::{
    net::TcpStream,
    task::JoinHandle, //
};

use crate::error::{
    PeerError,
    PeerErrorKind, //
};

/// Flow-control window of a stream and of a connection; a full operators' text fits.
const WINDOW_BYTES: u32 = 2 << 20;

/// An open connection with the task that drives it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Bytes>,
    driver: Mutex<Option<JoinHandle<()>>>,
    opened_at: Instant,
    last_reply_us: AtomicU64,
    retired: AtomicBool,
}

impl Connection {
    /// Connects and does the h2 handshake.
    pub(crate) async fn open(peer: SocketAddr, timeout: Duration) -> Result<Self, PeerError> {
        let unreachable = |error: &dyn std::fmt::Display| {
            PeerError::new(PeerErrorKind::Unreachable, peer, error) //
        };
        let opening = async {
            let stream = TcpStream::connect(peer).await.map_err(|error| {
                let kind = match error.kind() {
                    std::io::ErrorKind::ConnectionRefused => PeerErrorKind::ConnectionRefused,
                    _ => PeerErrorKind::Unreachable,
                };
                PeerError::new(kind, peer, &error)
            })?;
            stream.set_nodelay(true).map_err(|e| unreachable(&e))?;
            h2::client::Builder::new()
                .initial_window_size(WINDOW_BYTES)
                .initial_connection_window_size(WINDOW_BYTES * 4)
                .handshake(stream)
                .await
                .map_err(|e| unreachable(&e))
        };
        let (sender, connection) = tokio::time::timeout(timeout, opening)
            .await
            .map_err(|_| unreachable(&"no connection within the time"))??;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%peer, %error, "peer connection ended");
            }
        });
        Ok(Self {
            sender,
            driver: Mutex::new(Some(driver)),
            opened_at: Instant::now(),
            last_reply_us: AtomicU64::new(0),
            retired: AtomicBool::new(false),
        })
    }

    /// Returns a handle for one more stream.
    pub(crate) fn sender(&self) -> SendRequest<Bytes> {
        self.sender.clone()
    }

    /// Returns whether new calls may use the connection.
    pub(crate) fn is_usable(&self) -> bool {
        !self.retired.load(Ordering::Relaxed) && !self.is_ended()
    }

    /// Notes that a reply arrived.
    pub(crate) fn note_reply(&self) {
        self.last_reply_us
            .store(self.elapsed_us(), Ordering::Relaxed);
    }

    /// Returns the connection's age in microseconds, to compare replies with.
    pub(crate) fn elapsed_us(&self) -> u64 {
        u64::try_from(self.opened_at.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Takes the connection out of use if no reply has arrived since `sent_us`.
    ///
    /// A link can go silent for good while new connections work. A slow peer still answers other
    /// calls, so only a connection without any reply is given up.
    pub(crate) fn retire_if_silent_since(&self, sent_us: u64) -> bool {
        let silent = self.last_reply_us.load(Ordering::Relaxed) <= sent_us;
        if silent {
            self.retire();
        }
        silent
    }

    /// Takes the connection out of use; calls in flight go on.
    pub(crate) fn retire(&self) {
        self.retired.store(true, Ordering::Relaxed);
    }

    /// Ends the connection and waits for its task.
    pub(crate) async fn close(&self) {
        self.retire();
        let driver = lock(&self.driver).take();
        if let Some(driver) = driver {
            driver.abort();
            let _ = driver.await;
        }
    }

    fn is_ended(&self) -> bool {
        lock(&self.driver)
            .as_ref()
            .is_none_or(JoinHandle::is_finished)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some(driver) = lock(&self.driver).take() {
            driver.abort();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
