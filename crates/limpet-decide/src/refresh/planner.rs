//! The calls by which one process keeps its state current.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use super::{
    PeerAnswer,
    RefreshLimits,
    RefreshStep,
    RefreshView,
    SourceAnswer, //
};

/// Longest time for which the source delays its reply while nothing changes.
const SOURCE_HOLD_MAX: Duration = Duration::from_millis(1000);
/// Longest time for which the source delays its reply after one with changes. The age of the state counts from the
/// request that returned changes, so the next reply must not take long.
const SOURCE_HOLD_AFTER_CHANGES: Duration = Duration::from_millis(300);
/// Longest time for which a process delays its reply while nothing changes.
const PEER_HOLD_MAX: Duration = Duration::from_millis(800);
/// Longest time for which a process delays its reply to a follower that others follow in turn.
const READER_HOLD_MAX: Duration = Duration::from_millis(400);
/// Time beyond the requested delay after which a reply counts as missing, if the limits leave as much.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest wait for a reply; with less time left another process is not asked.
const PEER_TIME_MIN: Duration = Duration::from_millis(200);
/// Shortest timeout of the source.
const SOURCE_TIMEOUT_MIN: Duration = Duration::from_millis(250);
/// Timeout of the source once the state is too old anyway: a slow source must get the time to answer.
const SOURCE_TIMEOUT_WHEN_LATE: Duration = Duration::from_millis(900);
/// Time for which a process that did not answer is not asked again.
const MISSING_PEER_PAUSE: Duration = Duration::from_secs(3);
/// Delay before outdated candidates are asked again while the state is young enough.
const CANDIDATES_RECHECK_DELAY: Duration = Duration::from_millis(100);
/// Shortest delay after a round in which neither the source nor another process was of use; up to the same again
/// is added as jitter.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(150);
/// Longest such delay of a process that no others follow. Such a process may wait longer: once the source answers
/// again, it gets the state from the first ones that notice.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(1000);

/// Contact of a process with the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SourceContact {
    /// Nothing speaks against it.
    Up,
    /// The latest call was lost, which may be due to its connection.
    Interrupted,
    /// The source does not answer this process.
    Down,
}

/// Plans the steps by which a process keeps its state current.
///
/// In each round the process asks the candidates that it follows, then the source, then any other process. A step
/// that brings a current state ends the round.
#[derive(Clone, Debug)]
pub struct RefreshPlanner {
    limits: RefreshLimits,
    contact: SourceContact,
    /// Processes that were asked in this round.
    asked: Vec<SocketAddr>,
    /// Whether a candidate answered in this round.
    has_outdated_candidate: bool,
    /// Whether it was decided in this round whether to ask the source.
    is_source_settled: bool,
    /// Whether a process other than the candidates was asked in this round.
    has_asked_other: bool,
    /// Whether the latest reply of the source had changes.
    had_changes: bool,
    /// Processes that did not answer, each with the time until which it is not asked again.
    paused_until: HashMap<SocketAddr, Duration>,
    /// Process that was current when it was asked last, other than the candidates.
    current_peer: Option<SocketAddr>,
    /// Delay after the next round of no use, without jitter.
    retry_delay: Duration,
}

impl RefreshPlanner {
    /// Creates the plan of a process that has just started.
    pub fn new(limits: RefreshLimits) -> Self {
        Self {
            limits,
            contact: SourceContact::Up,
            asked: Vec::new(),
            has_outdated_candidate: false,
            is_source_settled: false,
            has_asked_other: false,
            had_changes: false,
            paused_until: HashMap::new(),
            current_peer: None,
            retry_delay: RETRY_DELAY_MIN,
        }
    }

    /// Returns the next step; `draw` returns a random number from 0 to 1.
    pub fn next_step(
        &mut self,
        view: &RefreshView<'_>,
        now: Duration,
        mut draw: impl FnMut() -> f64,
    ) -> RefreshStep {
        let peer_time = view.age.map(|age| self.limits.peer_time(age));
        let is_peer_time_over = peer_time.is_some_and(|time| time < PEER_TIME_MIN);
        let may_reach_source = self.contact != SourceContact::Down && !self.is_source_settled;
        if self.contact == SourceContact::Interrupted || (is_peer_time_over && may_reach_source) {
            return self.ask_source(view, peer_time);
        }
        if let Some(peer) = self.next_candidate(view, now) {
            return self.ask_peer(peer, view, peer_time);
        }
        if !self.is_source_settled {
            let is_recheck_due = self.has_outdated_candidate && !view.readers.has_followers;
            if self.contact != SourceContact::Down && is_recheck_due && peer_time.is_some() {
                self.begin_round();
                return RefreshStep::Wait(CANDIDATES_RECHECK_DELAY);
            }
            self.is_source_settled = true;
            let must_ask = self.contact != SourceContact::Down || view.age.is_none();
            if must_ask || draw() < view.readers.probe_probability {
                return self.ask_source(view, peer_time);
            }
        }
        if let Some(peer) = self.other_peer(view, now, &mut draw) {
            self.has_asked_other = true;
            return self.ask_peer(peer, view, Some(Duration::ZERO));
        }
        self.begin_round();
        let delay = self.retry_delay + self.retry_delay.mul_f64(draw());
        self.retry_delay = match view.readers.has_followers {
            true => RETRY_DELAY_MIN,
            false => (self.retry_delay * 2).min(RETRY_DELAY_MAX),
        };
        RefreshStep::Wait(delay)
    }

    /// Records the outcome of [`RefreshStep::AskPeer`].
    pub fn record_peer_answer(&mut self, peer: SocketAddr, answer: PeerAnswer, now: Duration) {
        match answer {
            PeerAnswer::Current => {
                self.current_peer = (self.has_asked_other || self.current_peer == Some(peer))
                    .then_some(peer)
                    .or(self.current_peer);
                self.contact = SourceContact::Up;
                self.end_round();
            }
            PeerAnswer::Outdated => {
                self.has_outdated_candidate |= !self.has_asked_other;
                self.forget_current_peer(peer);
            }
            PeerAnswer::Missing => {
                self.paused_until.retain(|_, until| now < *until);
                self.paused_until.insert(peer, now + MISSING_PEER_PAUSE);
                self.forget_current_peer(peer);
            }
        }
    }

    /// Records the outcome of [`RefreshStep::AskSource`]; `has_changes` tells whether the source answered with
    /// changes.
    ///
    /// Returns whether the source counts as down: a single interrupted call does not show that.
    pub fn record_source_answer(&mut self, answer: SourceAnswer, has_changes: bool) -> bool {
        self.contact = match (answer, self.contact) {
            (SourceAnswer::Answered, _) => SourceContact::Up,
            (SourceAnswer::Interrupted, SourceContact::Up) => SourceContact::Interrupted,
            (SourceAnswer::Interrupted | SourceAnswer::Rejected, _) => SourceContact::Down,
        };
        if self.contact == SourceContact::Up {
            self.had_changes = has_changes;
            self.current_peer = None;
            self.end_round();
        }
        self.contact == SourceContact::Down
    }

    /// Returns the first candidate that was not asked in this round and is not known to be gone, or else the other
    /// process that was current last.
    fn next_candidate(&self, view: &RefreshView<'_>, now: Duration) -> Option<SocketAddr> {
        let other = self
            .current_peer
            .filter(|peer| view.live_addrs.contains(peer));
        view.candidates()
            .chain(other)
            .find(|peer| self.may_ask(*peer, now))
    }

    /// Returns a random process to ask after the source did not answer, once in a round.
    fn other_peer(
        &self,
        view: &RefreshView<'_>,
        now: Duration,
        draw: &mut impl FnMut() -> f64,
    ) -> Option<SocketAddr> {
        if self.has_asked_other {
            return None;
        }
        let may_ask = |peer: &&SocketAddr| **peer != view.own_addr && self.may_ask(**peer, now);
        let others: Vec<&SocketAddr> = view.live_addrs.iter().filter(may_ask).collect();
        let index = (draw() * others.len() as f64) as usize;
        others.get(index).copied().copied()
    }

    fn may_ask(&self, peer: SocketAddr, now: Duration) -> bool {
        let is_paused = self
            .paused_until
            .get(&peer)
            .is_some_and(|until| now < *until);
        !is_paused && !self.asked.contains(&peer)
    }

    /// Asks another process. The wait takes at most `peer_time`; once that is over, the process is to answer at once.
    fn ask_peer(
        &mut self,
        peer: SocketAddr,
        view: &RefreshView<'_>,
        peer_time: Option<Duration>,
    ) -> RefreshStep {
        self.asked.push(peer);
        let hold_limit = match view.readers.has_followers {
            true => READER_HOLD_MAX,
            false => PEER_HOLD_MAX,
        };
        let (hold_max, timeout) = match peer_time {
            Some(peer_time) if peer_time >= PEER_TIME_MIN => split_wait(peer_time, hold_limit),
            _ => (Duration::ZERO, REPLY_TIMEOUT),
        };
        RefreshStep::AskPeer {
            peer,
            hold_max,
            timeout,
        }
    }

    /// Asks the source: with a delay while the state is young, else so that a second call fits into the limits.
    fn ask_source(&mut self, view: &RefreshView<'_>, peer_time: Option<Duration>) -> RefreshStep {
        self.is_source_settled = true;
        let hold_limit = match self.had_changes {
            true => SOURCE_HOLD_AFTER_CHANGES,
            false => SOURCE_HOLD_MAX,
        };
        let age = view.age.unwrap_or(Duration::MAX);
        let left = self.limits.age_max().saturating_sub(age);
        let (hold_max, timeout) = match (self.contact, peer_time) {
            (SourceContact::Up, Some(peer_time)) if peer_time >= PEER_TIME_MIN => {
                split_wait(peer_time, hold_limit)
            }
            (SourceContact::Up, _) if !left.is_zero() => (Duration::ZERO, left / 2),
            (SourceContact::Interrupted, _) if !left.is_zero() => (Duration::ZERO, left),
            _ => (Duration::ZERO, SOURCE_TIMEOUT_WHEN_LATE),
        };
        RefreshStep::AskSource {
            hold_max,
            timeout: timeout.max(SOURCE_TIMEOUT_MIN),
        }
    }

    fn forget_current_peer(&mut self, peer: SocketAddr) {
        if self.current_peer == Some(peer) {
            self.current_peer = None;
        }
    }

    /// Ends a round that brought a current state.
    fn end_round(&mut self) {
        self.begin_round();
        self.retry_delay = RETRY_DELAY_MIN;
    }

    fn begin_round(&mut self) {
        self.asked.clear();
        self.has_outdated_candidate = false;
        self.is_source_settled = false;
        self.has_asked_other = false;
    }
}

/// Divides the time for a wait into the delay of the reply, of at most `hold_limit`, and the time for the reply to
/// arrive; returns the delay and the timeout.
fn split_wait(wait_max: Duration, hold_limit: Duration) -> (Duration, Duration) {
    let reply_time = REPLY_TIMEOUT.min(wait_max / 2);
    let hold_max = (wait_max - reply_time).min(hold_limit);
    (hold_max, hold_max + reply_time)
}
