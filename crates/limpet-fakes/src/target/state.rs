//! State of a fake target, shared by its connections.

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
    Outcome,
    RequestEvent,
    TargetSpec, //
};

/// A fault injected at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The target becomes cold without a restart.
    TurnCold,
    /// Connections open at this moment accept bytes but never respond.
    Silence,
    /// The target restarts with a new incarnation after the restart delay.
    Crash,
    /// The target drains: it refuses requests.
    Drain,
    /// The target stops draining.
    Undrain,
    /// The target sheds this many requests.
    Shed(u32),
    /// The target sends this many answers with a body shorter than `content-length`.
    ShortBody(u32),
    /// The target sends this many answers with the id of another request.
    WrongEcho(u32),
}

/// Counters of a fake target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Highest number of requests running at a time.
    pub peak_running: u32,
    /// Highest number of requests running at a time while cold.
    pub peak_cold_running: u32,
    /// Highest number of connections open at a time.
    pub peak_connections: u32,
    /// Connections open now.
    pub connections: u32,
    /// Connections accepted since the start.
    pub accepted: u64,
    /// Crashes since the start.
    pub crashes: u32,
}

/// Decision on an incoming request.
#[derive(Debug)]
pub(crate) enum Admission {
    /// The request runs for `service_time`.
    Run {
        /// Index of its event.
        event_index: usize,
        /// Service time.
        service_time: Duration,
        /// Generation of the target in which it runs.
        generation: u64,
    },
    /// The request is refused with this HTTP status.
    Refuse { status: u16 },
    /// The request crashes the target.
    Crash,
}

/// An incoming request.
#[derive(Debug)]
pub(crate) struct IncomingRequest {
    pub(crate) event: RequestEvent,
    pub(crate) is_poison: bool,
}

/// The part of the state behind the lock.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) incarnation: u64,
    pub(crate) is_cold: bool,
    pub(crate) is_draining: bool,
    /// Answers since the target became cold.
    answers_while_cold: u32,
    /// Requests running now.
    running: u32,
    /// Connections with a lower number never respond.
    pub(crate) silent_below: u64,
    /// Requests still to be shed by [`Fault::Shed`].
    pub(crate) sheds_left: u32,
    /// Answers still to be cut by [`Fault::ShortBody`].
    pub(crate) short_bodies_left: u32,
    /// Answers still to get a wrong id by [`Fault::WrongEcho`].
    pub(crate) wrong_echoes_left: u32,
    pub(crate) stats: Stats,
    pub(crate) events: Vec<RequestEvent>,
    rng: ChaCha8Rng,
}

/// State of a fake target.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) spec: TargetSpec,
    inner: Mutex<Inner>,
    /// Number of crashes; a change closes every connection.
    pub(crate) generation: watch::Sender<u64>,
    /// Incremented at each change of the state, so that tests wait without polling.
    pub(crate) changed: watch::Sender<u64>,
}

impl State {
    pub(crate) fn new(spec: TargetSpec) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
        let inner = Inner {
            incarnation: rng.random(),
            is_cold: spec.starts_cold,
            is_draining: false,
            answers_while_cold: 0,
            running: 0,
            silent_below: 0,
            sheds_left: 0,
            short_bodies_left: 0,
            wrong_echoes_left: 0,
            stats: Stats::default(),
            events: Vec::new(),
            rng,
        };
        Self {
            spec,
            inner: Mutex::new(inner),
            generation: watch::Sender::new(0),
            changed: watch::Sender::new(0),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Injects a fault.
    pub(crate) fn apply(&self, fault: Fault) {
        let mut inner = self.lock();
        match fault {
            Fault::TurnCold => {
                inner.is_cold = true;
                inner.answers_while_cold = 0;
            }
            Fault::Silence => inner.silent_below = inner.stats.accepted,
            Fault::Crash => {
                drop(inner);
                return self.crash();
            }
            Fault::Drain => inner.is_draining = true,
            Fault::Undrain => inner.is_draining = false,
            Fault::Shed(count) => inner.sheds_left = count,
            Fault::ShortBody(count) => inner.short_bodies_left = count,
            Fault::WrongEcho(count) => inner.wrong_echoes_left = count,
        }
        drop(inner);
        self.notify();
    }

    /// Sets a new incarnation and turns the target cold; the accept loop closes every connection and
    /// listens again after the restart delay.
    pub(crate) fn crash(&self) {
        let mut inner = self.lock();
        inner.stats.crashes += 1;
        inner.incarnation = inner.rng.random();
        inner.is_cold = true;
        inner.answers_while_cold = 0;
        inner.running = 0;
        self.generation.send_modify(|generation| *generation += 1);
        drop(inner);
        self.notify();
    }

    /// Returns the number of a new connection, or `None` if the limit is reached.
    pub(crate) fn register_connection(&self) -> Option<u64> {
        let mut inner = self.lock();
        if inner.stats.connections >= self.spec.connections_max {
            return None;
        }
        let number = inner.stats.accepted;
        inner.stats.accepted += 1;
        inner.stats.connections += 1;
        inner.stats.peak_connections = inner.stats.peak_connections.max(inner.stats.connections);
        drop(inner);
        self.notify();
        Some(number)
    }

    /// Decrements the open connections.
    pub(crate) fn unregister_connection(&self) {
        self.lock().stats.connections -= 1;
        self.notify();
    }

    /// Returns whether a connection never responds.
    pub(crate) fn is_silent(&self, connection: u64) -> bool {
        connection < self.lock().silent_below
    }

    /// Decides whether a request runs, and records its event.
    pub(crate) fn admit(&self, mut request: IncomingRequest) -> Admission {
        let mut inner = self.lock();
        let spec = &self.spec;
        let is_version_held = request
            .event
            .snapshot
            .is_none_or(|version| spec.versions_held.contains(&version));
        let refused = if !is_version_held {
            Some(409)
        } else if inner.sheds_left > 0 || inner.is_draining || inner.running >= spec.slots {
            inner.sheds_left = inner.sheds_left.saturating_sub(1);
            Some(503)
        } else {
            None
        };
        request.event.cold = inner.is_cold;
        request.event.running = inner.running + 1;
        if let Some(status) = refused {
            request.event.running = inner.running;
            request.event.outcome = Outcome::NotRun;
            request.event.end_us = Some(request.event.start_us);
            inner.events.push(request.event);
            drop(inner);
            self.notify();
            return Admission::Refuse { status };
        }
        inner.running += 1;
        let running = inner.running;
        inner.stats.peak_running = inner.stats.peak_running.max(running);
        let mut is_overloaded = false;
        if inner.is_cold {
            inner.stats.peak_cold_running = inner.stats.peak_cold_running.max(running);
            is_overloaded = running > spec.cold_requests_max;
        }
        let event_index = inner.events.len();
        inner.events.push(request.event);
        let mut service_time = Duration::from_micros(spec.service_time_us);
        if inner.rng.random_bool(spec.straggler_share) {
            service_time *= spec.straggler_factor;
        }
        if inner.is_cold {
            service_time *= spec.cold_factor;
        }
        let generation = *self.generation.borrow();
        drop(inner);
        self.notify();
        if request.is_poison || is_overloaded {
            return Admission::Crash;
        }
        Admission::Run {
            event_index,
            service_time,
            generation,
        }
    }

    /// Records the end of an answered request; a cold target becomes warm after enough answers.
    pub(crate) fn record_answer(&self, event_index: usize) {
        let mut inner = self.lock();
        let end_us = BootClock::new().now().as_micros() as u64;
        let event = &mut inner.events[event_index];
        event.end_us = Some(end_us);
        event.outcome = Outcome::Answered;
        if inner.is_cold {
            inner.answers_while_cold += 1;
            inner.is_cold = inner.answers_while_cold < self.spec.warm_after_answers;
        }
        drop(inner);
        self.notify();
    }

    /// Decrements the running requests, unless a crash has already reset them.
    pub(crate) fn release_request(&self, generation: u64) {
        let mut inner = self.lock();
        if *self.generation.borrow() == generation {
            inner.running -= 1;
        }
        drop(inner);
        self.notify();
    }
}
