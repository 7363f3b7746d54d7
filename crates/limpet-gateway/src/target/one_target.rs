//! One incarnation of a target: the time until it restarts or gets another address or service.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            AtomicU32,
            Ordering, //
        },
    },
    time::Duration,
};

use limpet_decide::{
    balance::{
        TargetHealth,
        TargetLoad, //
    },
    peer_load::name_hash,
    target_notice::TargetNotices, //
};
use limpet_types::{
    deployment::{
        TargetId,
        TargetRecord,
        TargetState, //
    },
    message::NameHash,
};

use super::{
    ColdRateLimiter,
    ConnectionPool,
    CrashWatch, //
};
use crate::shared_state::SharedState;

/// One incarnation of a target, with its health and connections as seen by this process.
#[derive(Debug)]
pub struct Target {
    /// Id of the target.
    pub id: TargetId,
    /// Hash of the id, by which load reports name the target.
    pub id_hash: NameHash,
    /// Service that the target belongs to.
    pub service: Box<str>,
    /// Address that the target listens on.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: Box<str>,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Unix time of the target's start in milliseconds, if known.
    pub started_ms: Option<u64>,
    /// Latest record of this incarnation.
    record: Mutex<Arc<TargetRecord>>,
    /// Whether the target accepts no new requests, according to its record and its zone.
    is_leaving: AtomicBool,
    /// Number of requests in flight from this process.
    in_flight_count: AtomicU32,
    health: Mutex<TargetHealth>,
    load: Mutex<TargetLoad>,
    notices: Mutex<TargetNotices>,
    pool: Mutex<ConnectionPool>,
    cold_rate_limiter: Mutex<ColdRateLimiter>,
    /// Rank of this process among those that may send to the target while it is cold, with the version of the
    /// membership from which it was computed.
    cold_rank: Mutex<Option<(u64, usize)>>,
    /// Attempts that may have crashed the target.
    pub crash_watch: CrashWatch,
}

/// Locks a field. The data stays consistent if another task panics while it holds the lock.
fn lock<T>(field: &Mutex<T>) -> MutexGuard<'_, T> {
    field.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Target {
    /// Creates a target from its record.
    pub fn new(id: TargetId, record: &Arc<TargetRecord>, now: Duration) -> Self {
        let mut cold_rate_limiter = ColdRateLimiter::new();
        cold_rate_limiter.set_cold(record.warmup_left, now);
        Self {
            id_hash: name_hash(&id),
            id,
            service: record.service.clone(),
            addr: record.addr,
            zone: record.zone.clone(),
            slots: record.slots.max(1),
            started_ms: record.started_ms,
            record: Mutex::new(Arc::clone(record)),
            is_leaving: AtomicBool::new(record.state == TargetState::Draining),
            in_flight_count: AtomicU32::new(0),
            health: Mutex::new(TargetHealth::default()),
            load: Mutex::new(TargetLoad::new()),
            notices: Mutex::new(TargetNotices::new()),
            pool: Mutex::new(ConnectionPool::default()),
            cold_rate_limiter: Mutex::new(cold_rate_limiter),
            cold_rank: Mutex::new(None),
            crash_watch: CrashWatch::default(),
        }
    }

    /// Returns whether a record describes this incarnation.
    pub fn is_same_incarnation(&self, record: &TargetRecord) -> bool {
        self.addr == record.addr
            && self.service == record.service
            && self.started_ms == record.started_ms
    }

    /// Updates the target from the latest record of the same incarnation.
    ///
    /// `is_zone_disabled` tells whether operators disabled its zone.
    pub fn update(&self, record: &Arc<TargetRecord>, is_zone_disabled: bool, now: Duration) {
        let is_leaving = is_zone_disabled || record.state == TargetState::Draining;
        self.is_leaving.store(is_leaving, Ordering::Relaxed);
        let mut known_record = lock(&self.record);
        if *known_record != *record {
            lock(&self.cold_rate_limiter).set_cold(record.warmup_left, now);
            *known_record = Arc::clone(record);
        }
    }

    /// Stops new requests to the target and closes its idle connections.
    pub fn retire(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.pool().close_idle();
    }

    /// Returns whether the target accepts no new requests: its record, its zone or one of its replies says so.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed) || self.notices().is_leaving()
    }

    /// Returns whether a request may be sent to the target now: it does not leave, and wants requests.
    pub fn allows_request(&self, now: Duration) -> bool {
        !self.is_leaving.load(Ordering::Relaxed) && self.notices().allows_request(now)
    }

    /// Locks the notices of the target.
    pub fn notices(&self) -> MutexGuard<'_, TargetNotices> {
        lock(&self.notices)
    }

    /// Locks the health of the target.
    pub fn health(&self) -> MutexGuard<'_, TargetHealth> {
        lock(&self.health)
    }

    /// Locks the load of the target.
    pub fn load(&self) -> MutexGuard<'_, TargetLoad> {
        lock(&self.load)
    }

    /// Locks the connection pool.
    pub fn pool(&self) -> MutexGuard<'_, ConnectionPool> {
        lock(&self.pool)
    }

    /// Locks the limiter of requests to the target while it is cold.
    pub fn cold_rate_limiter(&self) -> MutexGuard<'_, ColdRateLimiter> {
        lock(&self.cold_rate_limiter)
    }

    /// Returns the rank of this process among those that may send to the target while it is cold; calls
    /// `compute` if the known rank is not of this version of the membership.
    pub fn cold_rank(&self, membership_version: u64, compute: impl FnOnce() -> usize) -> usize {
        let mut known_rank = lock(&self.cold_rank);
        match *known_rank {
            Some((version, rank)) if version == membership_version => rank,
            _ => {
                let rank = compute();
                *known_rank = Some((membership_version, rank));
                rank
            }
        }
    }

    /// Returns the number of requests in flight from this process.
    pub fn in_flight_count(&self) -> u32 {
        self.in_flight_count.load(Ordering::Relaxed)
    }
}

/// Guard that counts one request in flight to a target until it is dropped, for the choice of targets and for the
/// load reports.
#[derive(Debug)]
pub struct InFlightGuard<'a> {
    shared: &'a SharedState,
    target: Arc<Target>,
}

impl<'a> InFlightGuard<'a> {
    /// Counts a request to `target` as in flight; `mean_latency` is that of its route.
    pub fn new(
        shared: &'a SharedState,
        target: &Arc<Target>,
        mean_latency: Option<Duration>,
    ) -> Self {
        let now = shared.now();
        target.in_flight_count.fetch_add(1, Ordering::Relaxed);
        target.load().record_send(mean_latency, now);
        shared.load_tracker().record_send(target.id_hash, now);
        Self {
            shared,
            target: Arc::clone(target),
        }
    }

    /// Records that the target replied.
    pub fn record_reply(&self, now: Duration) {
        self.target.load().record_reply(now);
    }

    /// Records that the target ran the request, after an ejection or not.
    pub fn record_accepted(&self, was_ejected: bool, now: Duration) {
        let mut load = self.target.load();
        load.record_accepted();
        if was_ejected {
            load.record_return(now);
        }
    }

    /// Records that the target rejected the request as full.
    pub fn record_rejection(&self, now: Duration) {
        self.target.load().record_rejection(rand::random(), now);
        let mut load_tracker = self.shared.load_tracker();
        load_tracker.record_rejection(self.target.id_hash, now);
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.target.in_flight_count.fetch_sub(1, Ordering::Relaxed);
        let now = self.shared.now();
        self.target.load().record_end(now);
        let mut load_tracker = self.shared.load_tracker();
        load_tracker.record_end(self.target.id_hash, now);
    }
}
