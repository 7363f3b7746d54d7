//! Client connection to a peer.

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

/// Initial flow-control window of a stream, which a full configuration text fits into; a connection
/// gets four times as much.
const WINDOW_BYTES: u32 = 2 << 20;

/// An open connection and the task that drives it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Bytes>,
    driver: Mutex<Option<JoinHandle<()>>>,
    opened_at: Instant,
    /// Time of the last reply, as the age of the connection.
    last_reply_us: AtomicU64,
    is_retired: AtomicBool,
}

impl Connection {
    /// Connects to `peer` and performs the h2 handshake.
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
            .map_err(|_| unreachable(&"no connection before the timeout"))??;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%peer, %error, "peer connection failed");
            }
        });
        Ok(Self {
            sender,
            driver: Mutex::new(Some(driver)),
            opened_at: Instant::now(),
            last_reply_us: AtomicU64::new(0),
            is_retired: AtomicBool::new(false),
        })
    }

    /// Returns a handle that opens new streams.
    pub(crate) fn sender(&self) -> SendRequest<Bytes> {
        self.sender.clone()
    }

    /// Returns whether new calls may use the connection.
    pub(crate) fn is_usable(&self) -> bool {
        !self.is_retired.load(Ordering::Relaxed) && !self.is_closed()
    }

    /// Records that a reply arrived now.
    pub(crate) fn record_reply(&self) {
        self.last_reply_us.store(self.age_us(), Ordering::Relaxed);
    }

    /// Returns the age of the connection in microseconds.
    pub(crate) fn age_us(&self) -> u64 {
        u64::try_from(self.opened_at.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Retires the connection if no reply to any call has arrived since `sent_us`; returns whether
    /// it did.
    ///
    /// A connection can stop delivering data for good while new connections to the peer work. A
    /// peer that is merely slow still replies to other calls, so the connection is kept then.
    pub(crate) fn retire_if_silent_since(&self, sent_us: u64) -> bool {
        let is_silent = self.last_reply_us.load(Ordering::Relaxed) <= sent_us;
        if is_silent {
            self.retire();
        }
        is_silent
    }

    /// Excludes the connection from new calls; calls in flight continue.
    pub(crate) fn retire(&self) {
        self.is_retired.store(true, Ordering::Relaxed);
    }

    /// Closes the connection and waits for its task to end.
    pub(crate) async fn close(&self) {
        self.retire();
        let driver = lock(&self.driver).take();
        if let Some(driver) = driver {
            driver.abort();
            let _ = driver.await;
        }
    }

    fn is_closed(&self) -> bool {
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
