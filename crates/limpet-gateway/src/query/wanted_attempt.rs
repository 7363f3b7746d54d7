//! Attempts that should start as soon as that is possible.

use limpet_decide::attempt_budget::ExtraAttempt;

/// Cause of a hedge in logs and metrics.
const HEDGE_CAUSE: &str = "straggler";

/// An attempt that should start as soon as that is possible.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Wanted {
    /// The first attempt.
    First,
    /// An attempt after another one failed, for this reason.
    Retry(&'static str),
    /// An attempt while another one is in flight, perhaps before the usual delay of hedges.
    Hedge(ExtraAttempt),
}

/// Result of a try to start an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Start {
    /// The attempt is in flight.
    Started,
    /// The attempt waits for budget or for room.
    Waiting,
    /// The attempt is not allowed or not possible.
    Impossible,
    /// The query is quarantined.
    Refused,
}

impl Wanted {
    /// Returns whether the attempt is one beside another.
    pub(super) const fn is_hedge(self) -> bool {
        matches!(self, Self::Hedge(_))
    }

    /// Returns the kind of an extra attempt with its cause in logs and metrics; `None` for the first attempt.
    pub(super) const fn extra(self) -> Option<(ExtraAttempt, &'static str)> {
        match self {
            Self::First => None,
            Self::Retry(cause) => Some((ExtraAttempt::Retry, cause)),
            Self::Hedge(kind) => Some((kind, HEDGE_CAUSE)),
        }
    }
}
