//! Progress of the parts of a query, which its attempts read and update.

use std::sync::{
    Mutex, PoisonError,
    atomic::{
        AtomicBool,
        AtomicUsize,
        Ordering, //
    },
};

use limpet_decide::gather::{
    HedgeTiming,
    MissingPart, //
};
use tokio::{
    sync::Notify,
    time::Instant, //
};

/// What is known of one part.
#[derive(Clone, Copy, Debug, Default)]
struct PartProgress {
    has_ended: bool,
    /// Start of the latest attempt if one is in flight.
    attempt_started_at: Option<Instant>,
    may_try_again: bool,
}

/// Progress of all parts of a query; a request to a single service is a query of one part.
#[derive(Debug)]
pub(super) struct GatherProgress {
    parts: Mutex<Vec<PartProgress>>,
    missing_count: AtomicUsize,
    /// Number of attempts that a target may run or may have run.
    unsettled_count: AtomicUsize,
    /// Whether an answer with the required coverage was made.
    is_answered: AtomicBool,
    /// Notified when the missing parts become few.
    last_parts: Notify,
    last_parts_max: usize,
}

impl GatherProgress {
    /// Creates the progress of a query that has just begun.
    pub(super) fn new(part_count: usize) -> Self {
        Self {
            parts: Mutex::new(vec![PartProgress::default(); part_count]),
            missing_count: AtomicUsize::new(part_count),
            unsettled_count: AtomicUsize::new(0),
            is_answered: AtomicBool::new(false),
            last_parts: Notify::new(),
            last_parts_max: HedgeTiming::last_parts_max(part_count),
        }
    }

    /// Returns the number of parts that have neither arrived nor failed.
    pub(super) fn missing_count(&self) -> usize {
        self.missing_count.load(Ordering::Relaxed)
    }

    /// Returns whether the missing parts are so few that each alone holds the answer.
    pub(super) fn is_at_last_parts(&self) -> bool {
        self.missing_count() <= self.last_parts_max
    }

    /// Waits until the missing parts are few.
    pub(super) async fn reach_last_parts(&self) {
        self.last_parts.notified().await;
    }

    /// Returns whether a target may run or may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        self.unsettled_count.load(Ordering::Relaxed) > 0
    }

    /// Records that the answer was made, perhaps without some of the parts.
    pub(super) fn record_answer(&self) {
        self.is_answered.store(true, Ordering::Relaxed);
    }

    /// Returns whether the answer was made.
    pub(super) fn is_answered(&self) -> bool {
        self.is_answered.load(Ordering::Relaxed)
    }

    /// Returns whether a part is still needed: it has neither arrived nor failed, and there is no answer yet.
    pub(super) fn needs_part(&self, part: usize) -> bool {
        let parts = self.parts.lock().unwrap_or_else(PoisonError::into_inner);
        !self.is_answered() && parts.get(part).is_some_and(|progress| !progress.has_ended)
    }

    /// Records that an attempt starts.
    pub(super) fn record_start(&self, part: usize, may_try_again: bool) {
        self.unsettled_count.fetch_add(1, Ordering::Relaxed);
        self.update(part, |progress| {
            progress.attempt_started_at = Some(Instant::now());
            progress.may_try_again = may_try_again;
        });
    }

    /// Records that an attempt ended without having run.
    pub(super) fn record_not_run(&self) {
        self.unsettled_count.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that no attempt of a part is in flight.
    pub(super) fn record_idle(&self, part: usize, may_try_again: bool) {
        self.update(part, |progress| {
            progress.attempt_started_at = None;
            progress.may_try_again = may_try_again;
        });
    }

    /// Records that a part arrived or failed.
    pub(super) fn record_end(&self, part: usize) {
        self.update(part, |progress| progress.has_ended = true);
        let missing_count = self.missing_count.fetch_sub(1, Ordering::Relaxed) - 1;
        if missing_count == self.last_parts_max {
            self.last_parts.notify_waiters();
        }
    }

    /// Returns the parts that have neither arrived nor failed.
    pub(super) fn missing_parts(&self) -> Vec<MissingPart> {
        let parts = self.parts.lock().unwrap_or_else(PoisonError::into_inner);
        let missing = parts.iter().filter(|progress| !progress.has_ended);
        missing
            .map(|progress| MissingPart {
                waited: progress
                    .attempt_started_at
                    .map(|started_at| started_at.elapsed()),
                may_try_again: progress.may_try_again,
            })
            .collect()
    }

    fn update(&self, part: usize, apply: impl FnOnce(&mut PartProgress)) {
        let mut parts = self.parts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(progress) = parts.get_mut(part) {
            apply(progress);
        }
    }
}
