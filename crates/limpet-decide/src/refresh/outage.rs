//! Outages of the source, and the targets whose records lapse around them.

use std::time::Duration;

/// Limits of the time for which a target stays in use after its record lapsed around an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LapseLimits {
    /// Time after the source is available again within which targets renew their records.
    pub renewal_time: Duration,
    /// Time without a disruption after which removals must take effect in time again.
    pub contact_time: Duration,
    /// Greatest age of the state of a process in contact with the source.
    pub age_max: Duration,
}

/// Latest outage of the source as one process sees it.
///
/// While the source is unavailable, records lapse although their targets still run. Such targets stay in use until they
/// had the time to renew their records, but never so long that a removal outside an outage would take effect too late.
#[derive(Clone, Copy, Debug)]
pub struct SourceOutage {
    limits: LapseLimits,
    /// When the latest failed call was sent.
    failed_at: Option<Duration>,
    /// When the state was known again to be the latest after that.
    returned_at: Option<Duration>,
}

impl SourceOutage {
    /// Creates the state of a process that has seen no outage.
    pub const fn new(limits: LapseLimits) -> Self {
        Self {
            limits,
            failed_at: None,
            returned_at: None,
        }
    }

    /// Records that the source did not answer a call sent at `sent_at`, nor another one before it.
    pub fn record_failure(&mut self, sent_at: Duration) {
        self.failed_at = Some(sent_at);
        self.returned_at = None;
    }

    /// Records that the state was the latest at `verified_at`, be it the source or another process that said so.
    pub fn record_verified(&mut self, verified_at: Duration, now: Duration) {
        let is_after_failure = self
            .failed_at
            .is_some_and(|failed_at| verified_at > failed_at);
        if is_after_failure && self.returned_at.is_none() {
            self.returned_at = Some(now);
        }
    }

    /// Returns until when a target stays in use whose record was found removed at `now`; `None` if it is removed at
    /// once.
    ///
    /// `verified_at` is when the state was last known to be the latest before that. What it lacks was removed later, so
    /// if its age stayed within the limit, the removal may have to take effect as soon as after a removal outside an
    /// outage.
    pub fn lapse_end(&self, verified_at: Option<Duration>, now: Duration) -> Option<Duration> {
        let failed_at = self.failed_at?;
        let returned_at = self.returned_at.unwrap_or(now);
        let renewal_end = returned_at + self.limits.renewal_time;
        let mut end = renewal_end.min(failed_at + self.limits.contact_time);
        let due_at = verified_at.map(|verified_at| verified_at + self.limits.age_max);
        if let Some(due_at) = due_at.filter(|due_at| *due_at > returned_at) {
            end = end.min(due_at);
        }
        (now < end).then_some(end)
    }
}
