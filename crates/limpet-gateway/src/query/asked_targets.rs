//! Targets that were asked to run a request.

use std::time::Duration;

use limpet_types::deployment::TargetId;

/// Part of the latency goal after which a target that rejected a request may be asked for the same request again;
/// doubled by each further rejection. After a fixed 50 ms, answers with a goal of 100 ms or less came late.
const ASK_AGAIN_GOAL_DIVISOR: u32 = 6;
/// Shortest time after which a target that rejected a request may be asked for it again.
const ASK_AGAIN_DELAY_MIN: Duration = Duration::from_millis(10);
/// Longest time after which a target that rejected a request once may be asked for it again.
const ASK_AGAIN_DELAY_MAX: Duration = Duration::from_millis(50);
/// Maximum number of times that this delay is doubled.
const DOUBLINGS_MAX: u32 = 4;

/// Time after which a target without a free connection may be picked again if no attempt at the service ends before.
const CONNECTION_CHECK_DELAY: Duration = Duration::from_millis(5);

/// A target that did not run the request.
#[derive(Debug)]
struct RejectedTarget {
    id: TargetId,
    rejection_count: u32,
    /// Time from which on the target may be asked again if no other one is left.
    ask_again_at: Duration,
}

/// Targets of one service that were asked to run a request.
#[derive(Debug)]
pub(super) struct AskedTargets {
    /// Time after which a target that rejected the request once may be asked again.
    ask_again_delay: Duration,
    /// Targets that are not asked again: most may run or may have run the request.
    asked: Vec<TargetId>,
    rejected: Vec<RejectedTarget>,
    /// Targets to which this process had no free connection, with the time from which on they may be picked again in
    /// any case.
    unconnected: Vec<(TargetId, Duration)>,
}

impl AskedTargets {
    /// Creates the state of a request that was not sent yet, of a route with this latency goal.
    pub(super) fn new(latency_goal: Duration) -> Self {
        let delay = latency_goal / ASK_AGAIN_GOAL_DIVISOR;
        Self {
            ask_again_delay: delay.clamp(ASK_AGAIN_DELAY_MIN, ASK_AGAIN_DELAY_MAX),
            asked: Vec::new(),
            rejected: Vec::new(),
            unconnected: Vec::new(),
        }
    }

    /// Records that a target is asked.
    pub(super) fn record_attempt(&mut self, id: &TargetId) {
        self.asked.push(id.clone());
    }

    /// Records that a target did not run the request, so that it may be asked again later.
    pub(super) fn record_rejection(&mut self, id: &TargetId, now: Duration) {
        self.asked.retain(|asked| asked != id);
        let mut known = self.rejected.iter_mut();
        match known.find(|rejected| rejected.id == *id) {
            Some(rejected) => {
                rejected.rejection_count += 1;
                let doublings = rejected.rejection_count.min(DOUBLINGS_MAX);
                rejected.ask_again_at = now + self.ask_again_delay * (1 << doublings);
            }
            None => self.rejected.push(RejectedTarget {
                id: id.clone(),
                rejection_count: 0,
                ask_again_at: now + self.ask_again_delay,
            }),
        }
    }

    /// Records that a target was not asked, because this process had no free connection to it.
    ///
    /// Without the delay, an attempt would be made again and again until there is one.
    pub(super) fn record_no_connection(&mut self, id: &TargetId, now: Duration) {
        self.asked.retain(|asked| asked != id);
        self.unconnected
            .push((id.clone(), now + CONNECTION_CHECK_DELAY));
    }

    /// Records that connections may have become free.
    pub(super) fn record_room(&mut self) {
        self.unconnected.clear();
    }

    /// Returns the earliest later time at which a target without a free connection may be picked again.
    pub(super) fn next_connection_check_at(&self, now: Duration) -> Option<Duration> {
        let times = self.unconnected.iter().map(|(_, check_at)| *check_at);
        times.filter(|check_at| *check_at > now).min()
    }

    /// Returns the ids of all targets that were asked, first those that rejected the request.
    pub(super) fn ids(&self) -> Vec<&str> {
        let rejected = self.rejected.iter().map(|rejected| &*rejected.id);
        let asked = self.asked.iter().map(|id| &**id);
        let is_rejected = |id: &str| self.rejected.iter().any(|rejected| &*rejected.id == id);
        rejected
            .chain(asked.filter(|id| !is_rejected(id)))
            .collect()
    }

    /// Returns the target of the latest attempt that may run.
    pub(super) fn latest(&self) -> Option<&TargetId> {
        self.asked.last()
    }

    /// Returns whether a target may be asked again at some time.
    pub(super) const fn has_rejected(&self) -> bool {
        !self.rejected.is_empty()
    }

    /// Returns whether a target was asked to run the request, or rejected it.
    pub(super) const fn has_asked(&self) -> bool {
        !self.asked.is_empty() || !self.rejected.is_empty()
    }

    /// Returns the earliest later time at which a target may be asked again.
    pub(super) fn next_ask_at(&self, now: Duration) -> Option<Duration> {
        let times = self.rejected.iter().map(|rejected| rejected.ask_again_at);
        times.filter(|ask_again_at| *ask_again_at > now).min()
    }

    /// Returns the targets that may not be asked at present: with `includes_rejected` all that rejected the request,
    /// else only those that may not be asked again yet. Those without a free connection belong to them.
    pub(super) fn excluded(&self, includes_rejected: bool, now: Duration) -> Vec<TargetId> {
        let rejected = self.rejected.iter();
        let rejected = rejected.filter(|entry| includes_rejected || entry.ask_again_at > now);
        let rejected = rejected.map(|entry| entry.id.clone());
        let unconnected = self.unconnected.iter();
        let unconnected = unconnected.filter(|(_, check_at)| *check_at > now);
        let unconnected = unconnected.map(|(id, _)| id.clone());
        rejected
            .chain(unconnected)
            .chain(self.asked.iter().cloned())
            .collect()
    }
}
