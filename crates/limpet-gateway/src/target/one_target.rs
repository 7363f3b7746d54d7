//! One incarnation of a target.

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

use limpet_types::deployment::{
    TargetId,
    TargetRecord,
    TargetState, //
};

use super::{
    ColdGate,
    Pool,
    View, //
};

/// One incarnation of a target with everything this process holds for it.
#[derive(Debug)]
pub struct Target {
    /// Its id.
    pub id: TargetId,
    /// Its service.
    pub service: Box<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Unix time of its start in milliseconds, if stated.
    pub started_ms: Option<u64>,
    record: Mutex<Arc<TargetRecord>>,
    is_leaving: AtomicBool,
    in_flight: AtomicU32,
    view: Mutex<View>,
    pool: Mutex<Pool>,
    cold: Mutex<ColdGate>,
    crash_check: AtomicBool,
}

fn lock<T>(field: &Mutex<T>) -> MutexGuard<'_, T> {
    field.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Target {
    /// Creates a target from its record.
    pub fn new(id: TargetId, record: &Arc<TargetRecord>, now: Duration) -> Self {
        let mut cold = ColdGate::new(rand::random());
        cold.set_cold(record.warmup_left, now);
        Self {
            id,
            service: record.service.clone(),
            addr: record.addr,
            zone: record.zone.clone(),
            slots: record.slots.max(1),
            started_ms: record.started_ms,
            record: Mutex::new(Arc::clone(record)),
            is_leaving: AtomicBool::new(record.state == TargetState::Draining),
            in_flight: AtomicU32::new(0),
            view: Mutex::new(View::default()),
            pool: Mutex::new(Pool::default()),
            cold: Mutex::new(cold),
            crash_check: AtomicBool::new(false),
        }
    }

    /// Returns whether a record is of this incarnation.
    pub fn is_same(&self, record: &TargetRecord) -> bool {
        self.addr == record.addr
            && self.service == record.service
            && self.started_ms == record.started_ms
    }

    /// Takes over the newest record of the same incarnation; `is_out` tells that its zone is out.
    pub fn update(&self, record: &Arc<TargetRecord>, is_out: bool, now: Duration) {
        let is_leaving = is_out || record.state == TargetState::Draining;
        self.is_leaving.store(is_leaving, Ordering::Relaxed);
        let mut known = lock(&self.record);
        if *known != *record {
            lock(&self.cold).set_cold(record.warmup_left, now);
            *known = Arc::clone(record);
        }
    }

    /// Notes that the target gets no new work.
    pub fn retire(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
        self.pool().clear();
    }

    /// Returns whether the target gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Locks what was seen of the target.
    pub fn view(&self) -> MutexGuard<'_, View> {
        lock(&self.view)
    }

    /// Locks the connections.
    pub fn pool(&self) -> MutexGuard<'_, Pool> {
        lock(&self.pool)
    }

    /// Locks the limit for its cold time.
    pub fn cold(&self) -> MutexGuard<'_, ColdGate> {
        lock(&self.cold)
    }

    /// Requests of this process in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Begins a check whether the target crashed; false while one runs.
    pub fn begin_crash_check(&self) -> bool {
        !self.crash_check.swap(true, Ordering::Relaxed)
    }

    /// Ends a check whether the target crashed.
    pub fn end_crash_check(&self) {
        self.crash_check.store(false, Ordering::Relaxed);
    }
}

/// Counts one request in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Target>);

impl InFlight {
    /// Counts a request to a target.
    pub fn new(target: &Arc<Target>) -> Self {
        target.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(target))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
