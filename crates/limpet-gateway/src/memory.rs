//! Memory for the bodies that a process holds: those of callers' requests, of targets' replies and of merged answers,
//! until they are sent.
//!
//! Answers this load: many targets or callers send bodies without end, or read slowly, at the same time. A body
//! of usual size needs no reservation; what is larger shares a limit, and the body that asks for more when
//! nothing is left is dropped. So the large ones are dropped first, and the others go on.

use std::sync::{
    Arc,
    atomic::{
        AtomicUsize,
        Ordering, //
    },
};

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Size up to which a body needs no reservation; their number is limited by that of the connections.
const FREE_BYTES: usize = 16 << 10;

/// Memory that all bodies above the free size share.
#[derive(Debug)]
pub struct BodyMemory {
    limit_bytes: usize,
    used_bytes: AtomicUsize,
}

/// Part of the memory that one body uses; released on drop.
#[derive(Debug)]
pub struct BodyReservation {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

/// Why a body was not received.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is larger than the limit for one.
    #[error("body is larger than {max_bytes} bytes")]
    TooLarge {
        /// The limit.
        max_bytes: usize,
    },
    /// All bodies together use the memory for them.
    #[error("no memory left for a body that is larger than usual")]
    NoMemory,
    /// The connection failed.
    #[error("body broke off: {0}")]
    Broken(#[from] hyper::Error),
}

/// Content of a body, which keeps its memory reserved until the last user has dropped it.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyMemory {
    /// Creates the memory for the bodies of a process.
    pub const fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            used_bytes: AtomicUsize::new(0),
        }
    }

    /// Returns how much is reserved.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Reserves the memory of a merged answer until the result and all its copies are dropped, see
    /// [`BodyReservation::extend`].
    pub fn reserve(self: &Arc<Self>, bytes: Bytes) -> Bytes {
        let mut reservation = self.reservation();
        reservation.extend(bytes.len());
        reservation.into_reserved(bytes)
    }

    /// Reserves nothing yet.
    pub fn reservation(self: &Arc<Self>) -> BodyReservation {
        BodyReservation {
            memory: Arc::clone(self),
            bytes: 0,
        }
    }
}

impl BodyReservation {
    /// Returns how much a body of `body_bytes` needs in addition.
    const fn missing_bytes(&self, body_bytes: usize) -> usize {
        let needed_bytes = body_bytes.saturating_sub(FREE_BYTES);
        needed_bytes.saturating_sub(self.bytes)
    }

    /// Extends the reservation to a body of `body_bytes`, beyond the limit if no memory is left.
    ///
    /// For an answer that is complete: its query has run, and it is not larger than its parts, whose memory is released
    /// now. What arrives later is refused until memory is free again.
    pub fn extend(&mut self, body_bytes: usize) {
        let added_bytes = self.missing_bytes(body_bytes);
        self.memory
            .used_bytes
            .fetch_add(added_bytes, Ordering::Relaxed);
        self.bytes += added_bytes;
    }

    /// Extends the reservation to a body of `body_bytes`; returns false if no memory is left.
    pub fn try_extend(&mut self, body_bytes: usize) -> bool {
        let added_bytes = self.missing_bytes(body_bytes);
        // A body of usual size is received even if more than the limit is used.
        if added_bytes == 0 {
            return true;
        }
        let limit_bytes = self.memory.limit_bytes;
        let add = |used: usize| {
            let sum = used.checked_add(added_bytes)?;
            (sum <= limit_bytes).then_some(sum)
        };
        let used_bytes = &self.memory.used_bytes;
        let is_added = used_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .is_ok();
        if is_added {
            self.bytes += added_bytes;
        }
        is_added
    }

    /// Returns a body that keeps the reservation.
    fn into_reserved(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.memory
            .used_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Receives a whole body of at most `max_bytes`; the memory that it uses stays reserved until the result and all
/// its copies are dropped, for example after a slow caller has read it.
///
/// # Errors
///
/// Fails if the body is too large, breaks off, or is larger than usual while no memory is left.
pub async fn receive_body(
    mut body: Incoming,
    max_bytes: usize,
    memory: &Arc<BodyMemory>,
) -> Result<Bytes, BodyError> {
    let mut reservation = memory.reservation();
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let size_bytes = first.len() + rest.len() + data.len();
        if size_bytes > max_bytes {
            return Err(BodyError::TooLarge { max_bytes });
        }
        if !reservation.try_extend(size_bytes) {
            metrics::counter!("limpet_bodies_dropped_total").increment(1);
            return Err(BodyError::NoMemory);
        }
        // Most bodies are one frame, which needs no copy.
        match first.is_empty() && rest.is_empty() {
            true => first = data,
            false => {
                if rest.is_empty() {
                    rest.extend_from_slice(&first);
                    first = Bytes::new();
                }
                rest.extend_from_slice(&data);
            }
        }
    }
    let bytes = match rest.is_empty() {
        true => first,
        false => rest.freeze(),
    };
    Ok(reservation.into_reserved(bytes))
}
