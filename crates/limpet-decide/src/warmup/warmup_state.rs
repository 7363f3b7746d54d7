//! Warm-up state of one target and its concurrency limit.

use std::time::Duration;

use limpet_types::Incarnation;

/// Length of a ramp window: the limit of a warm target doubles after a window with at least one
/// success and no failure.
pub const RAMP_WINDOW: Duration = Duration::from_secs(1);

/// What an attempt, a connection or the configuration showed about a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupEvidence {
    /// A response reported that the target is warm.
    ReportedWarm {
        /// Incarnation of the target that responded.
        incarnation: Incarnation,
        /// When the attempt was sent; the report is ignored if the target was found cold after
        /// that.
        sent_at: Duration,
    },
    /// A response reported that the target is cold.
    ReportedCold {
        /// Incarnation of the target that responded.
        incarnation: Incarnation,
    },
    /// A connection was refused or reset.
    ConnectionLost,
    /// The target refused or failed an attempt; keeps the limit from doubling but doesn't make the
    /// target cold.
    Failure,
    /// The zone of the target is back in service.
    ZoneReturned,
}

/// State change caused by a piece of evidence; the names of the variants appear in a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WarmupTransition {
    /// The target became warm.
    Warmed,
    /// The target became cold because it reported so.
    ReportsCold,
    /// The target became cold because it restarted under a new incarnation.
    NewIncarnation,
    /// The target became cold because a connection was refused or reset.
    LostConnection,
    /// The target counts as cold because its zone is back in service.
    ReturnedZone,
}

/// Whether one target is cold or warm, and how many attempts it may run at a time.
///
/// A cold target may run as many attempts as its cold limit. Once the target is warm, the limit doubles after
/// each ramp window with a success and no failure, up to the number of slots of the target.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use limpet_decide::warmup::{WarmupEvidence, WarmupState};
///
/// let mut state = WarmupState::new(1, 8);
/// assert!(state.is_cold());
/// let warm = WarmupEvidence::ReportedWarm { incarnation: 7, sent_at: Duration::from_secs(1) };
/// state.observe(warm, Duration::from_secs(1));
/// assert_eq!(state.concurrency_limit(Duration::from_secs(1)), 1);
/// ```
#[derive(Clone, Debug)]
pub struct WarmupState {
    cold_limit: u32,
    slots: u32,
    incarnation: Option<Incarnation>,
    is_cold: bool,
    cold_since: Duration,
    concurrency_limit: u32,
    window_start: Duration,
    window_has_success: bool,
    window_has_failure: bool,
}

impl WarmupState {
    /// Creates the state of a target that this process has just taken over, which counts as cold.
    ///
    /// `cold_limit` is the number of attempts that may run at a time on the cold target, and `slots` the
    /// number on the target in general.
    pub fn new(cold_limit: u32, slots: u32) -> Self {
        let slots = slots.max(1);
        let cold_limit = cold_limit.clamp(1, slots);
        Self {
            cold_limit,
            slots,
            incarnation: None,
            is_cold: true,
            cold_since: Duration::ZERO,
            concurrency_limit: cold_limit,
            window_start: Duration::ZERO,
            window_has_success: false,
            window_has_failure: false,
        }
    }

    /// Applies the limits of a changed configuration.
    pub fn set_limits(&mut self, cold_limit: u32, slots: u32) {
        self.slots = slots.max(1);
        self.cold_limit = cold_limit.clamp(1, self.slots);
        self.concurrency_limit = if self.is_cold {
            self.cold_limit
        } else {
            self.concurrency_limit.min(self.slots)
        };
    }

    /// Returns whether the target counts as cold.
    pub const fn is_cold(&self) -> bool {
        self.is_cold
    }

    /// Returns the incarnation of the target that responded last.
    pub const fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns how many attempts may run on the target at a time.
    pub fn concurrency_limit(&mut self, now: Duration) -> u32 {
        self.advance_window(now);
        self.concurrency_limit
    }

    /// Applies evidence; returns the state change if the target became warm, became cold or has restarted.
    pub fn observe(&mut self, evidence: WarmupEvidence, now: Duration) -> Option<WarmupTransition> {
        self.advance_window(now);
        match evidence {
            WarmupEvidence::ReportedWarm {
                incarnation,
                sent_at,
            } => self.observe_warm(incarnation, sent_at, now),
            WarmupEvidence::ReportedCold { incarnation } => {
                let transition = if self.is_new_incarnation(incarnation) {
                    WarmupTransition::NewIncarnation
                } else {
                    WarmupTransition::ReportsCold
                };
                self.incarnation = Some(incarnation);
                self.mark_cold(transition, now)
            }
            WarmupEvidence::ConnectionLost => self.mark_cold(WarmupTransition::LostConnection, now),
            WarmupEvidence::ZoneReturned => self.mark_cold(WarmupTransition::ReturnedZone, now),
            WarmupEvidence::Failure => {
                self.window_has_failure = true;
                None
            }
        }
    }

    fn is_new_incarnation(&self, incarnation: Incarnation) -> bool {
        self.incarnation.is_some_and(|known| known != incarnation)
    }

    fn observe_warm(
        &mut self,
        incarnation: Incarnation,
        sent_at: Duration,
        now: Duration,
    ) -> Option<WarmupTransition> {
        let is_new_incarnation = self.is_new_incarnation(incarnation);
        self.incarnation = Some(incarnation);
        if is_new_incarnation {
            return self.mark_cold(WarmupTransition::NewIncarnation, now);
        }
        if !self.is_cold {
            self.window_has_success = true;
            return None;
        }
        if sent_at < self.cold_since {
            return None;
        }
        self.is_cold = false;
        self.concurrency_limit = self.cold_limit;
        self.window_start = now;
        self.window_has_success = true;
        self.window_has_failure = false;
        Some(WarmupTransition::Warmed)
    }

    /// Makes the target cold; returns the state change if it was warm or has restarted.
    fn mark_cold(
        &mut self,
        transition: WarmupTransition,
        now: Duration,
    ) -> Option<WarmupTransition> {
        let was_cold = self.is_cold;
        self.is_cold = true;
        self.cold_since = now;
        self.concurrency_limit = self.cold_limit;
        let is_transition = !was_cold || transition == WarmupTransition::NewIncarnation;
        is_transition.then_some(transition)
    }

    /// Starts a new window if the current one is over, and doubles the limit if the window that has ended
    /// had a success and no failure.
    fn advance_window(&mut self, now: Duration) {
        if self.is_cold || now < self.window_start + RAMP_WINDOW {
            return;
        }
        if self.window_has_success && !self.window_has_failure {
            self.concurrency_limit = self.concurrency_limit.saturating_mul(2).min(self.slots);
        }
        self.window_start = now;
        self.window_has_success = false;
        self.window_has_failure = false;
    }
}
