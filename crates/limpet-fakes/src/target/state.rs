//! State of one stand-in target, shared by its connections.

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
    Event,
    Outcome,
    TargetSpec, //
};

/// A fault switched on at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Becomes cold without a restart.
    TurnCold,
    /// Every connection open now accepts bytes and never answers.
    Silence,
    /// Restarts with a new incarnation after the restart delay.
    Crash,
    /// Refuses requests as a draining target.
    Drain,
    /// Ends the drain.
    Undrain,
    /// Sheds this many requests.
    Shed(u32),
    /// Sends this many answers with a body shorter than announced.
    ShortBody(u32),
    /// Sends this many answers that name another request.
    WrongEcho(u32),
}

/// Counters of one stand-in target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Most requests running at a time.
    pub peak_running: u32,
    /// Most requests running at an arrival while cold.
    pub peak_cold_running: u32,
    /// Most connections open at a time.
    pub peak_connections: u32,
    /// Connections open now.
    pub connections: u32,
    /// Connections accepted.
    pub accepted: u64,
    /// Crashes.
    pub crashes: u32,
}

/// What a request does on its arrival.
#[derive(Debug)]
pub(crate) enum Arrival {
    /// Runs for this time.
    Run {
        index: usize,
        time: Duration,
        life: u64,
    },
    /// Is refused.
    Refuse { status: u16 },
    /// Crashes the target.
    Crash,
}

/// What a request asks.
#[derive(Debug)]
pub(crate) struct Asked {
    pub(crate) event: Event,
    pub(crate) poison: bool,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) incarnation: u64,
    pub(crate) cold: bool,
    pub(crate) draining: bool,
    answers_cold: u32,
    running: u32,
    pub(crate) silent_below: u64,
    pub(crate) shed: u32,
    pub(crate) short_body: u32,
    pub(crate) wrong_echo: u32,
    pub(crate) stats: Stats,
    pub(crate) events: Vec<Event>,
    random: ChaCha8Rng,
}

/// State of one stand-in target.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) spec: TargetSpec,
    inner: Mutex<Inner>,
    /// Number of the run; a change ends every connection.
    pub(crate) life: watch::Sender<u64>,
    /// Increased with each event, so that tests wait without sleeping.
    pub(crate) changed: watch::Sender<u64>,
}

impl State {
    pub(crate) fn new(spec: TargetSpec) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(spec.seed);
        let inner = Inner {
            incarnation: random.random(),
            cold: spec.starts_cold,
            draining: false,
            answers_cold: 0,
            running: 0,
            silent_below: 0,
            shed: 0,
            short_body: 0,
            wrong_echo: 0,
            stats: Stats::default(),
            events: Vec::new(),
            random,
        };
        Self {
            spec,
            inner: Mutex::new(inner),
            life: watch::Sender::new(0),
            changed: watch::Sender::new(0),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    pub(crate) fn apply(&self, fault: Fault) {
        let mut inner = self.lock();
        match fault {
            Fault::TurnCold => {
                inner.cold = true;
                inner.answers_cold = 0;
            }
            Fault::Silence => inner.silent_below = inner.stats.accepted,
            Fault::Crash => {
                drop(inner);
                return self.crash();
            }
            Fault::Drain => inner.draining = true,
            Fault::Undrain => inner.draining = false,
            Fault::Shed(count) => inner.shed = count,
            Fault::ShortBody(count) => inner.short_body = count,
            Fault::WrongEcho(count) => inner.wrong_echo = count,
        }
        drop(inner);
        self.notify();
    }

    /// Ends every connection; the accept loop starts the next run.
    pub(crate) fn crash(&self) {
        let mut inner = self.lock();
        inner.stats.crashes += 1;
        inner.incarnation = inner.random.random();
        inner.cold = true;
        inner.answers_cold = 0;
        inner.running = 0;
        self.life.send_modify(|life| *life += 1);
        drop(inner);
        self.notify();
    }

    pub(crate) fn connected(&self) -> Option<u64> {
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

    pub(crate) fn disconnected(&self) {
        self.lock().stats.connections -= 1;
        self.notify();
    }

    pub(crate) fn is_silent(&self, connection: u64) -> bool {
        connection < self.lock().silent_below
    }

    pub(crate) fn arrive(&self, mut asked: Asked) -> Arrival {
        let mut inner = self.lock();
        let spec = &self.spec;
        let is_held = asked
            .event
            .snapshot
            .is_none_or(|version| spec.versions_held.contains(&version));
        let refused = if !is_held {
            Some(409)
        } else if inner.shed > 0 || inner.draining || inner.running >= spec.slots {
            inner.shed = inner.shed.saturating_sub(1);
            Some(503)
        } else {
            None
        };
        asked.event.cold = inner.cold;
        asked.event.running = inner.running + 1;
        if let Some(status) = refused {
            asked.event.running = inner.running;
            asked.event.outcome = Outcome::NotRun;
            asked.event.end_us = Some(asked.event.start_us);
            inner.events.push(asked.event);
            drop(inner);
            self.notify();
            return Arrival::Refuse { status };
        }
        inner.running += 1;
        let running = inner.running;
        inner.stats.peak_running = inner.stats.peak_running.max(running);
        let mut is_over = false;
        if inner.cold {
            inner.stats.peak_cold_running = inner.stats.peak_cold_running.max(running);
            is_over = running > spec.cold_bears;
        }
        let index = inner.events.len();
        inner.events.push(asked.event);
        let mut time = Duration::from_micros(spec.service_time_us);
        if inner.random.random_bool(spec.straggler_share) {
            time *= spec.straggler_factor;
        }
        if inner.cold {
            time *= spec.cold_factor;
        }
        let life = *self.life.borrow();
        drop(inner);
        self.notify();
        if asked.poison || is_over {
            return Arrival::Crash;
        }
        Arrival::Run { index, time, life }
    }

    pub(crate) fn answered(&self, index: usize) {
        let mut inner = self.lock();
        let end_us = BootClock::new().now().as_micros() as u64;
        let event = &mut inner.events[index];
        event.end_us = Some(end_us);
        event.outcome = Outcome::Answered;
        if inner.cold {
            inner.answers_cold += 1;
            inner.cold = inner.answers_cold < self.spec.cold_answers;
        }
        drop(inner);
        self.notify();
    }

    /// Counts a request out, unless a crash has already ended it.
    pub(crate) fn left(&self, life: u64) {
        let mut inner = self.lock();
        if *self.life.borrow() == life {
            inner.running -= 1;
        }
        drop(inner);
        self.notify();
    }
}
