//! State of a fake target, shared by its connections and its owner.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use limpet_types::BootClock;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::watch;

use crate::target::{
    ReceivedRequest,
    TargetOutcome,
    TargetSpec, //
};

/// A fault that can be injected into a running target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The target becomes cold without a restart.
    TurnCold,
    /// Connections open at this moment accept bytes but never respond.
    Silence,
    /// The target closes every connection and, after the restart delay, restarts cold with a new
    /// incarnation.
    Crash,
    /// The target starts draining: it refuses requests.
    Drain,
    /// The target stops draining.
    Undrain,
    /// The target sheds this many of the next requests.
    Shed(u32),
    /// This many of the next answers have a body shorter than their `content-length`.
    ShortBody(u32),
    /// This many of the next answers have the id of another request.
    WrongEcho(u32),
}

/// Counters of a fake target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FakeTargetStats {
    /// Highest number of requests running at a time.
    pub peak_running: u32,
    /// Highest number of requests running at a time while cold.
    pub peak_cold_running: u32,
    /// Highest number of connections open at a time.
    pub peak_connections: u32,
    /// Connections open now.
    pub connections: u32,
    /// Connections accepted since the start, without those closed because of the limit.
    pub accepted: u64,
    /// Crashes since the start.
    pub crashes: u32,
}

/// What the target does with an incoming request.
#[derive(Debug)]
pub(crate) enum Admission {
    /// It runs the request.
    Run {
        /// Index of the request in [`LockedState::received_requests`].
        request_index: usize,
        /// Time for which the request runs.
        service_time: Duration,
        /// Value of [`TargetState::generation`] at the arrival.
        generation: u64,
    },
    /// It refuses the request.
    Refuse {
        /// HTTP status of the response.
        status: u16,
    },
    /// It crashes because of the request.
    Crash,
}

/// A request whose body has arrived and which the target has yet to admit.
#[derive(Debug)]
pub(crate) struct IncomingRequest {
    pub(crate) received: ReceivedRequest,
    pub(crate) is_poison: bool,
}

/// The part of a target's state that requests and faults change, behind the lock of [`TargetState`].
#[derive(Debug)]
pub(crate) struct LockedState {
    pub(crate) incarnation: u64,
    pub(crate) is_cold: bool,
    pub(crate) is_draining: bool,
    /// Number of answers since the target became cold.
    answers_while_cold: u32,
    /// Number of requests running now.
    running_count: u32,
    /// Connections with a lower number never respond, because of [`Fault::Silence`].
    pub(crate) silent_below: u64,
    /// Number of requests still to be shed by [`Fault::Shed`].
    pub(crate) sheds_left: u32,
    /// Number of answers still to be shortened by [`Fault::ShortBody`].
    pub(crate) short_bodies_left: u32,
    /// Number of answers still to get a wrong id by [`Fault::WrongEcho`].
    pub(crate) wrong_echoes_left: u32,
    pub(crate) stats: FakeTargetStats,
    pub(crate) received_requests: Vec<ReceivedRequest>,
    rng: ChaCha8Rng,
}

/// State of a fake target: its settings, and what requests and faults change.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) spec: TargetSpec,
    locked: Mutex<LockedState>,
    /// Number of crashes so far; a change closes every connection.
    pub(crate) generation: watch::Sender<u64>,
    /// Incremented at each change of the locked state, so that tests can wait for it without polling.
    pub(crate) change_count: watch::Sender<u64>,
}

impl TargetState {
    pub(crate) fn new(spec: TargetSpec) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
        let locked = LockedState {
            incarnation: rng.random(),
            is_cold: spec.starts_cold,
            is_draining: false,
            answers_while_cold: 0,
            running_count: 0,
            silent_below: 0,
            sheds_left: 0,
            short_bodies_left: 0,
            wrong_echoes_left: 0,
            stats: FakeTargetStats::default(),
            received_requests: Vec::new(),
            rng,
        };
        Self {
            spec,
            locked: Mutex::new(locked),
            generation: watch::Sender::new(0),
            change_count: watch::Sender::new(0),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, LockedState> {
        self.locked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes every [`FakeTarget::wait_until`](super::FakeTarget::wait_until).
    fn notify_waiters(&self) {
        self.change_count.send_modify(|count| *count += 1);
    }

    /// Injects a fault.
    pub(crate) fn inject(&self, fault: Fault) {
        let mut locked = self.lock();
        match fault {
            Fault::TurnCold => {
                locked.is_cold = true;
                locked.answers_while_cold = 0;
            }
            Fault::Silence => locked.silent_below = locked.stats.accepted,
            Fault::Crash => {
                drop(locked);
                return self.crash();
            }
            Fault::Drain => locked.is_draining = true,
            Fault::Undrain => locked.is_draining = false,
            Fault::Shed(count) => locked.sheds_left = count,
            Fault::ShortBody(count) => locked.short_bodies_left = count,
            Fault::WrongEcho(count) => locked.wrong_echoes_left = count,
        }
        drop(locked);
        self.notify_waiters();
    }

    /// Crashes the target: sets a new incarnation and turns it cold.
    ///
    /// The accept loop then closes every connection and listens again after the restart delay.
    pub(crate) fn crash(&self) {
        let mut locked = self.lock();
        locked.stats.crashes += 1;
        locked.incarnation = locked.rng.random();
        locked.is_cold = true;
        locked.answers_while_cold = 0;
        locked.running_count = 0;
        self.generation.send_modify(|generation| *generation += 1);
        drop(locked);
        self.notify_waiters();
    }

    /// Counts a new connection and returns its number, or `None` if the limit is reached.
    pub(crate) fn register_connection(&self) -> Option<u64> {
        let mut locked = self.lock();
        if locked.stats.connections >= self.spec.connections_max {
            return None;
        }
        let number = locked.stats.accepted;
        locked.stats.accepted += 1;
        locked.stats.connections += 1;
        locked.stats.peak_connections = locked.stats.peak_connections.max(locked.stats.connections);
        drop(locked);
        self.notify_waiters();
        Some(number)
    }

    /// Decrements the number of open connections.
    pub(crate) fn unregister_connection(&self) {
        self.lock().stats.connections -= 1;
        self.notify_waiters();
    }

    /// Returns whether the connection with this number never responds.
    pub(crate) fn is_silent(&self, connection_number: u64) -> bool {
        connection_number < self.lock().silent_below
    }

    /// Decides whether a request runs, and records it.
    pub(crate) fn admit(&self, mut request: IncomingRequest) -> Admission {
        let mut locked = self.lock();
        let spec = &self.spec;
        let is_version_held = request
            .received
            .snapshot
            .is_none_or(|version| spec.versions_held.contains(&version));
        let refusal_status = if !is_version_held {
            Some(409)
        } else if locked.sheds_left > 0 || locked.is_draining || locked.running_count >= spec.slots
        {
            locked.sheds_left = locked.sheds_left.saturating_sub(1);
            Some(503)
        } else {
            None
        };
        request.received.cold = locked.is_cold;
        request.received.running = locked.running_count + 1;
        if let Some(status) = refusal_status {
            request.received.running = locked.running_count;
            request.received.outcome = TargetOutcome::NotRun;
            request.received.end_us = Some(request.received.start_us);
            locked.received_requests.push(request.received);
            drop(locked);
            self.notify_waiters();
            return Admission::Refuse { status };
        }
        locked.running_count += 1;
        let running_count = locked.running_count;
        locked.stats.peak_running = locked.stats.peak_running.max(running_count);
        let mut is_overloaded = false;
        if locked.is_cold {
            locked.stats.peak_cold_running = locked.stats.peak_cold_running.max(running_count);
            is_overloaded = running_count > spec.cold_requests_max;
        }
        let request_index = locked.received_requests.len();
        locked.received_requests.push(request.received);
        let mut service_time = Duration::from_micros(spec.service_time_us);
        if locked.rng.random_bool(spec.straggler_share) {
            service_time *= spec.straggler_factor;
        }
        if locked.is_cold {
            service_time *= spec.cold_factor;
        }
        let generation = *self.generation.borrow();
        drop(locked);
        self.notify_waiters();
        if request.is_poison || is_overloaded {
            return Admission::Crash;
        }
        Admission::Run {
            request_index,
            service_time,
            generation,
        }
    }

    /// Records that a request was answered; a cold target becomes warm after enough answers.
    pub(crate) fn record_answer(&self, request_index: usize) {
        let mut locked = self.lock();
        let end_us = BootClock::new().now().as_micros() as u64;
        let received = &mut locked.received_requests[request_index];
        received.end_us = Some(end_us);
        received.outcome = TargetOutcome::Answered;
        if locked.is_cold {
            locked.answers_while_cold += 1;
            locked.is_cold = locked.answers_while_cold < self.spec.warm_after_answers;
        }
        drop(locked);
        self.notify_waiters();
    }

    /// Decrements the number of running requests, unless a crash has reset it since `generation`.
    pub(crate) fn release_request(&self, generation: u64) {
        let mut locked = self.lock();
        if *self.generation.borrow() == generation {
            locked.running_count -= 1;
        }
        drop(locked);
        self.notify_waiters();
    }
}
