//! Time of the next hedge of a request at one service.

use std::time::Duration;

use limpet_decide::{
    attempt_budget::ExtraAttempt,
    gather::HedgeTiming, //
};
use tokio::time::Instant;

/// Time from which the delay of the next hedge counts.
#[derive(Debug, Default)]
pub(super) struct HedgeTimer {
    /// Start of the latest attempt; `None` if no hedge is to follow it.
    started_at: Option<Instant>,
    /// Whether a hedge before the usual delay was refused, so that the next one has to wait for that delay.
    is_early_refused: bool,
}

impl HedgeTimer {
    /// Counts the delay of the next hedge from now.
    pub(super) fn restart(&mut self) {
        self.started_at = Some(Instant::now());
        self.is_early_refused = false;
    }

    /// Lets no hedge follow until the next restart.
    pub(super) const fn stop(&mut self) {
        self.started_at = None;
    }

    /// Records that a hedge of this kind was refused: an early one may be sent after the usual delay, and another one
    /// after a further delay.
    pub(super) fn record_refusal(&mut self, kind: ExtraAttempt) {
        match kind {
            ExtraAttempt::EarlyHedge => self.is_early_refused = true,
            ExtraAttempt::Hedge | ExtraAttempt::Retry => self.restart(),
        }
    }

    /// Returns the time since the start of the latest attempt.
    pub(super) fn waited(&self) -> Duration {
        self.started_at
            .map_or(Duration::ZERO, |started_at| started_at.elapsed())
    }

    /// Returns when the next hedge is due, if one is to follow.
    pub(super) fn due_at(&self, timing: &HedgeTiming, is_last_part: bool) -> Option<Instant> {
        let is_early = is_last_part && !self.is_early_refused;
        self.started_at
            .map(|started_at| started_at + timing.delay(is_early))
    }

    /// Returns the kind of a hedge that is sent now.
    pub(super) fn kind(&self, timing: &HedgeTiming) -> ExtraAttempt {
        match self.waited() < timing.delay(false) {
            true => ExtraAttempt::EarlyHedge,
            false => ExtraAttempt::Hedge,
        }
    }
}
