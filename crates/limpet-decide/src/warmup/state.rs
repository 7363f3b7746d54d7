//! Evidence that a target is cold or warm, and the limit that follows.

use std::time::Duration;

use limpet_types::Incarnation;

/// Time in which a warm target must succeed without a failure before its limit doubles.
pub const RAMP_WINDOW: Duration = Duration::from_secs(1);

/// What one attempt or connection showed of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A response said that the target is warm.
    ReportedWarm {
        /// Run of the target that said so.
        incarnation: Incarnation,
        /// When the attempt was sent; a proof sent before the last evidence of cold is void.
        sent_at: Duration,
    },
    /// A response said that the target is cold.
    ReportedCold {
        /// Run of the target that said so.
        incarnation: Incarnation,
    },
    /// A connection was refused or reset.
    ConnectionLost,
    /// The target refused or failed an attempt; stops the ramp without making the target cold.
    Failure,
    /// The zone of the target came back.
    ZoneReturned,
}

/// What a piece of evidence changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The target became warm.
    Warmed,
    /// The target became cold because it says so.
    ReportsCold,
    /// The target became cold because it runs with another incarnation.
    NewIncarnation,
    /// The target became cold because a connection was refused or reset.
    LostConnection,
    /// The target counts as cold because its zone came back.
    ReturnedZone,
}

/// Belief about one target and the limit that follows from it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use limpet_decide::warmup::{WarmupState, Evidence};
///
/// let mut state = WarmupState::new(1, 8);
/// assert!(state.is_cold());
/// let warm = Evidence::ReportedWarm { incarnation: 7, sent_at: Duration::from_secs(1) };
/// state.observe(warm, Duration::from_secs(1));
/// assert_eq!(state.limit(Duration::from_secs(1)), 1);
/// ```
#[derive(Clone, Debug)]
pub struct WarmupState {
    cold_limit: u32,
    slots: u32,
    incarnation: Option<Incarnation>,
    is_cold: bool,
    cold_since: Duration,
    limit: u32,
    window_start: Duration,
    window_success: bool,
    window_failure: bool,
}

impl WarmupState {
    /// Creates the belief of a new owner, who knows nothing: the target is cold.
    pub fn new(cold_limit: u32, slots: u32) -> Self {
        let slots = slots.max(1);
        let cold_limit = cold_limit.clamp(1, slots);
        Self {
            cold_limit,
            slots,
            incarnation: None,
            is_cold: true,
            cold_since: Duration::ZERO,
            limit: cold_limit,
            window_start: Duration::ZERO,
            window_success: false,
            window_failure: false,
        }
    }

    /// Takes over figures of a changed text.
    pub fn set_limits(&mut self, cold_limit: u32, slots: u32) {
        self.slots = slots.max(1);
        self.cold_limit = cold_limit.clamp(1, self.slots);
        self.limit = if self.is_cold {
            self.cold_limit
        } else {
            self.limit.min(self.slots)
        };
    }

    /// Returns whether the target counts as cold.
    pub const fn is_cold(&self) -> bool {
        self.is_cold
    }

    /// Returns the run of the target that answered last.
    pub const fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns how many attempts may run at a time.
    pub fn limit(&mut self, now: Duration) -> u32 {
        self.roll(now);
        self.limit
    }

    /// Takes in evidence and tells what it changed.
    pub fn observe(&mut self, evidence: Evidence, now: Duration) -> Option<Transition> {
        self.roll(now);
        match evidence {
            Evidence::ReportedWarm {
                incarnation,
                sent_at,
            } => self.says_warm(incarnation, sent_at, now),
            Evidence::ReportedCold { incarnation } => {
                let change = if self.is_other(incarnation) {
                    Transition::NewIncarnation
                } else {
                    Transition::ReportsCold
                };
                self.incarnation = Some(incarnation);
                self.turn_cold(change, now)
            }
            Evidence::ConnectionLost => self.turn_cold(Transition::LostConnection, now),
            Evidence::ZoneReturned => self.turn_cold(Transition::ReturnedZone, now),
            Evidence::Failure => {
                self.window_failure = true;
                None
            }
        }
    }

    fn is_other(&self, incarnation: Incarnation) -> bool {
        self.incarnation.is_some_and(|known| known != incarnation)
    }

    fn says_warm(
        &mut self,
        incarnation: Incarnation,
        sent_at: Duration,
        now: Duration,
    ) -> Option<Transition> {
        let is_other = self.is_other(incarnation);
        self.incarnation = Some(incarnation);
        if is_other {
            return self.turn_cold(Transition::NewIncarnation, now);
        }
        if !self.is_cold {
            self.window_success = true;
            return None;
        }
        if sent_at < self.cold_since {
            return None;
        }
        self.is_cold = false;
        self.limit = self.cold_limit;
        self.window_start = now;
        self.window_success = true;
        self.window_failure = false;
        Some(Transition::Warmed)
    }

    fn turn_cold(&mut self, change: Transition, now: Duration) -> Option<Transition> {
        let was_cold = self.is_cold;
        self.is_cold = true;
        self.cold_since = now;
        self.limit = self.cold_limit;
        let is_news = !was_cold || change == Transition::NewIncarnation;
        is_news.then_some(change)
    }

    /// Doubles the limit at the end of a window that had a success and no failure.
    fn roll(&mut self, now: Duration) {
        if self.is_cold || now < self.window_start + RAMP_WINDOW {
            return;
        }
        if self.window_success && !self.window_failure {
            self.limit = self.limit.saturating_mul(2).min(self.slots);
        }
        self.window_start = now;
        self.window_success = false;
        self.window_failure = false;
    }
}
