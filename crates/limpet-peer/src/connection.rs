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

/// Initial flow-control window of a stream, which a full configuration text fits into; the window of a
/// connection is four times as large.
const STREAM_WINDOW_BYTES: u32 = 2 << 20;

/// An open connection and the task that sends and receives its frames.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Bytes>,
    driver_task: Mutex<Option<JoinHandle<()>>>,
    opened_at: Instant,
    /// Age of the connection, in microseconds, when the last reply arrived.
    age_at_last_reply_us: AtomicU64,
    is_retired: AtomicBool,
}

impl Connection {
    /// Connects to `peer`, performs the h2 handshake and starts the task that drives the connection.
    pub(crate) async fn open(peer: SocketAddr, timeout: Duration) -> Result<Self, PeerError> {
        let unreachable_error = |error: &dyn std::fmt::Display| {
            PeerError::new(PeerErrorKind::Unreachable, peer, error) //
        };
        let connecting = async {
            let stream = TcpStream::connect(peer).await.map_err(|error| {
                let kind = match error.kind() {
                    std::io::ErrorKind::ConnectionRefused => PeerErrorKind::ConnectionRefused,
                    _ => PeerErrorKind::Unreachable,
                };
                PeerError::new(kind, peer, &error)
            })?;
            stream
                .set_nodelay(true)
                .map_err(|error| unreachable_error(&error))?;
            h2::client::Builder::new()
                .initial_window_size(STREAM_WINDOW_BYTES)
                .initial_connection_window_size(STREAM_WINDOW_BYTES * 4)
                .handshake(stream)
                .await
                .map_err(|error| unreachable_error(&error))
        };
        let (sender, connection) = tokio::time::timeout(timeout, connecting)
            .await
            .map_err(|_| unreachable_error(&"no connection before the timeout"))??;
        let driver_task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%peer, %error, "peer connection failed");
            }
        });
        Ok(Self {
            sender,
            driver_task: Mutex::new(Some(driver_task)),
            opened_at: Instant::now(),
            age_at_last_reply_us: AtomicU64::new(0),
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
        self.age_at_last_reply_us
            .store(self.age_us(), Ordering::Relaxed);
    }

    /// Returns the age of the connection in microseconds.
    pub(crate) fn age_us(&self) -> u64 {
        u64::try_from(self.opened_at.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Retires the connection if no reply to any call has arrived since the connection's age was
    /// `age_at_send_us`; returns whether the connection was retired.
    ///
    /// A connection can stop delivering data for good while new connections to the peer work. A
    /// peer that is only slow still replies to other calls, and then the connection is kept.
    pub(crate) fn retire_if_silent_since(&self, age_at_send_us: u64) -> bool {
        let is_silent = self.age_at_last_reply_us.load(Ordering::Relaxed) <= age_at_send_us;
        if is_silent {
            self.retire();
        }
        is_silent
    }

    /// Excludes the connection from new calls; calls in flight continue on it.
    pub(crate) fn retire(&self) {
        self.is_retired.store(true, Ordering::Relaxed);
    }

    /// Closes the connection, so that calls in flight fail, and waits for the driver task to end.
    pub(crate) async fn close(&self) {
        self.retire();
        let driver_task = lock(&self.driver_task).take();
        if let Some(driver_task) = driver_task {
            driver_task.abort();
            let _ = driver_task.await;
        }
    }

    /// Returns whether the connection has closed or failed: the driver task has ended, or [`Self::close`]
    /// took the task in order to end it.
    fn is_closed(&self) -> bool {
        lock(&self.driver_task)
            .as_ref()
            .is_none_or(JoinHandle::is_finished)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some(driver_task) = lock(&self.driver_task).take() {
            driver_task.abort();
        }
    }
}

/// Locks a mutex, also if a thread panicked while holding it.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
