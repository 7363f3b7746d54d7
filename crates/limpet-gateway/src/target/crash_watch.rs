//! Attempts at one target that may have crashed it.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{
        AtomicBool,
        Ordering, //
    },
};

use limpet_decide::quarantine::CrashSuspect;

/// An attempt that ended without a valid reply.
#[derive(Clone, Debug)]
pub struct FailedAttempt {
    /// Query of the attempt.
    pub suspect: CrashSuspect,
    /// Id of the request, for the log.
    pub request_id: Box<str>,
    /// Whether a target has replied to another attempt of the run, before or since.
    pub has_reply: Arc<AtomicBool>,
}

/// A crash of a target that a check confirmed.
#[derive(Debug)]
pub struct ConfirmedCrash {
    /// Attempts that ended in the crash and of which nothing was recorded yet.
    pub attempts: Vec<FailedAttempt>,
    /// Queries against which the same crash was recorded before.
    pub recorded: Vec<CrashSuspect>,
}

/// Attempts at one target that ended without a valid reply, until a check shows whether the target crashed.
#[derive(Debug, Default)]
pub struct CrashWatch {
    state: Mutex<CrashWatchState>,
}

#[derive(Debug, Default)]
struct CrashWatchState {
    is_check_running: bool,
    /// Attempts that wait for the end of the check.
    attempts: Vec<FailedAttempt>,
    /// Queries recorded for the latest crash; empty once the target listens again.
    recorded: Vec<CrashSuspect>,
}

impl CrashWatch {
    /// Locks the state; it stays consistent if another task panics.
    fn state(&self) -> MutexGuard<'_, CrashWatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an attempt; returns whether the caller has to start a check, because none is running.
    pub fn add(&self, attempt: FailedAttempt) -> bool {
        let mut state = self.state();
        state.attempts.push(attempt);
        !std::mem::replace(&mut state.is_check_running, true)
    }

    /// Ends the check; returns the crash if the target no longer listens.
    pub fn end_check(&self, is_listening: bool) -> Option<ConfirmedCrash> {
        let mut state = self.state();
        state.is_check_running = false;
        let attempts = std::mem::take(&mut state.attempts);
        if is_listening {
            state.recorded.clear();
            return None;
        }
        let recorded = state.recorded.clone();
        state
            .recorded
            .extend(attempts.iter().map(|attempt| attempt.suspect));
        Some(ConfirmedCrash { attempts, recorded })
    }

    /// Records that the target accepted a connection: what fails from now on belongs to another crash.
    pub fn record_listening(&self) {
        self.state().recorded.clear();
    }
}

impl ConfirmedCrash {
    /// Returns the queries that may have caused the crash.
    pub fn suspects(&self) -> Vec<CrashSuspect> {
        self.queries(|attempt| attempt.is_suspect())
    }

    /// Returns the other queries that were in flight: those that were recorded before, or whose run has got a reply.
    pub fn others(&self) -> Vec<CrashSuspect> {
        let mut others = self.queries(|attempt| !attempt.is_suspect());
        others.extend(&self.recorded);
        others
    }

    fn queries(&self, is_wanted: impl Fn(&FailedAttempt) -> bool) -> Vec<CrashSuspect> {
        let wanted = self.attempts.iter().filter(|attempt| is_wanted(attempt));
        wanted.map(|attempt| attempt.suspect).collect()
    }
}

impl FailedAttempt {
    /// Returns whether the query may have caused the crash: one that crashes targets crashes each of them.
    pub fn is_suspect(&self) -> bool {
        !self.has_reply.load(Ordering::Relaxed)
    }
}
