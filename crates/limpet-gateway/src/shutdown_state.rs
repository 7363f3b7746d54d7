//! Progress of the shutdown of a process.

use std::{
    sync::OnceLock,
    time::Duration, //
};

use limpet_decide::shutdown::StopSchedule;
use limpet_types::deployment::Route;
use tokio::{
    sync::watch,
    time::Instant, //
};

/// Whether a process shuts down, and how far that is.
#[derive(Debug)]
pub struct ShutdownState {
    schedule: StopSchedule,
    started_at: OnceLock<Instant>,
    /// Whether the requests in flight are cancelled.
    cancel_sender: watch::Sender<bool>,
}

impl ShutdownState {
    /// Creates the state of a process that does not shut down.
    pub fn new(schedule: StopSchedule) -> Self {
        Self {
            schedule,
            started_at: OnceLock::new(),
            cancel_sender: watch::Sender::new(false),
        }
    }

    /// Begins the shutdown: the process is no longer ready and asks callers to close their connections.
    pub fn begin(&self, now: Instant) {
        // A second begin changes nothing.
        let _ = self.started_at.set(now);
    }

    /// Returns whether the process is shutting down.
    pub fn has_begun(&self) -> bool {
        self.started_at.get().is_some()
    }

    /// Returns when requests in flight are cancelled; `None` if the process is not shutting down.
    pub fn cancel_time(&self) -> Option<Instant> {
        let started_at = self.started_at.get()?;
        Some(*started_at + self.schedule.cancel_at())
    }

    /// Returns whether a request of a route with this mean latency may start; during a shutdown only if it is expected
    /// to end in time.
    pub fn may_start_request(&self, route: &Route, mean_latency: Option<Duration>) -> bool {
        self.started_at.get().is_none_or(|started_at| {
            self.schedule
                .may_start(started_at.elapsed(), route.latency_goal, mean_latency)
        })
    }

    /// Cancels the requests in flight; their callers get an error.
    pub fn cancel_requests(&self) {
        self.cancel_sender.send_replace(true);
    }

    /// Waits until [`ShutdownState::cancel_requests`] is called.
    pub async fn requests_cancelled(&self) {
        let mut cancel_receiver = self.cancel_sender.subscribe();
        // The sender lives in `self`, so the wait cannot fail.
        let _ = cancel_receiver.wait_for(|is_cancelled| *is_cancelled).await;
    }
}
