//! Strikes by request fingerprint.

use std::{
    collections::{
        HashMap,
        HashSet,
        hash_map::Entry, //
    },
    time::Duration,
};

use limpet_types::{
    Incarnation,
    TargetAddr,
    hash::stable_hash_parts,
    message::Strike, //
};

/// Time for which a strike counts.
pub const STRIKE_TTL: Duration = Duration::from_secs(600);
/// Strikes held at most; the oldest are dropped first.
pub const STRIKES_MAX: usize = 4_096;
/// Strikes that quarantine a request.
pub const QUARANTINE_STRIKES: usize = 2;
/// Time for which one solo run excludes a second one of the same request; longer than any deadline
/// that a relay accepts, because ownership lasts 4 s.
const SOLO_TTL: Duration = Duration::from_secs(5);

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restriction {
    /// Like any other.
    None,
    /// Only while nothing else runs on its target.
    Isolated,
    /// Not at all.
    Quarantined,
}

/// Identifies one crash of a target that its owner saw at `at`.
///
/// The time counts because a target may crash again before it tells the incarnation of its new run;
/// without it the second crash would be taken for the first.
pub fn crash_id(target: TargetAddr, incarnation: Option<Incarnation>, at: Duration) -> u64 {
    let target = target.to_string();
    let incarnation = incarnation.unwrap_or_default().to_le_bytes();
    let at_ns = at.as_nanos().to_le_bytes();
    stable_hash_parts(&[target.as_bytes(), &incarnation, &at_ns])
}

#[derive(Clone, Copy, Debug)]
struct Mark {
    crash: u64,
    is_alone: bool,
    at: Duration,
}

/// Remembers which requests were in flight when a target crashed.
///
/// A strike of a crash counts against one request only until another request of the same crash
/// crashes a target alone: then that one is convicted and the others are cleared of the crash.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use limpet_decide::quarantine::{StrikeTable, Restriction};
///
/// let mut table = StrikeTable::new();
/// table.record_crash(1, &[10, 11], Duration::ZERO);
/// assert_eq!(table.restriction(10, Duration::ZERO), Restriction::Isolated);
/// table.record_crash(2, &[10], Duration::ZERO);
/// assert_eq!(table.restriction(10, Duration::ZERO), Restriction::Quarantined);
/// assert_eq!(table.restriction(11, Duration::ZERO), Restriction::None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct StrikeTable {
    marks: HashMap<u64, Vec<Mark>>,
    /// Pairs of fingerprint and crash that a solo success answered, with its time.
    cleared: HashMap<(u64, u64), Duration>,
    /// Fingerprints that run alone now, with the start.
    solo: HashMap<u64, Duration>,
    len: usize,
}

impl StrikeTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of strikes held.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no strike is held.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Tells how a request may run.
    pub fn restriction(&self, fingerprint: u64, now: Duration) -> Restriction {
        let Some(marks) = self.marks.get(&fingerprint) else {
            return Restriction::None;
        };
        let is_live = |mark: &&Mark| now < mark.at + STRIKE_TTL;
        // A request that crashed a target alone gets no benefit of the doubt for its other crashes;
        // two poison requests of one crash would clear each other otherwise.
        let is_convicted = marks.iter().filter(is_live).any(|mark| mark.is_alone);
        let counts = |mark: &&Mark| {
            is_live(mark) && (is_convicted || !self.is_explained(fingerprint, mark.crash, now))
        };
        match marks.iter().filter(counts).count() {
            0 => Restriction::None,
            n if n < QUARANTINE_STRIKES => Restriction::Isolated,
            _ => Restriction::Quarantined,
        }
    }

    /// Returns whether another request of the crash is convicted.
    fn is_explained(&self, fingerprint: u64, crash: u64, now: Duration) -> bool {
        self.marks.iter().any(|(other, marks)| {
            let is_live = |mark: &&Mark| now < mark.at + STRIKE_TTL;
            *other != fingerprint
                && marks.iter().filter(is_live).any(|mark| mark.crash == crash)
                && marks.iter().filter(is_live).any(|mark| mark.is_alone)
        })
    }

    /// Records a crash with the fingerprints that were in flight; returns how many were new.
    pub fn record_crash(&mut self, crash: u64, fingerprints: &[u64], now: Duration) -> usize {
        let distinct: HashSet<u64> = fingerprints.iter().copied().collect();
        let is_alone = distinct.len() == 1;
        let add = |table: &mut Self, fingerprint: u64| {
            table.solo.remove(&fingerprint);
            table.add(
                fingerprint,
                Mark {
                    crash,
                    is_alone,
                    at: now,
                },
            )
        };
        let added = distinct.into_iter().filter(|f| add(self, *f)).count();
        self.trim(now);
        added
    }

    /// Reserves the only solo run of a request; `false` while another one runs.
    pub fn begin_isolated_run(&mut self, fingerprint: u64, now: Duration) -> bool {
        match self.solo.entry(fingerprint) {
            Entry::Occupied(mut running) => {
                let is_over = now >= *running.get() + SOLO_TTL;
                if is_over {
                    running.insert(now);
                }
                is_over
            }
            Entry::Vacant(free) => {
                free.insert(now);
                true
            }
        }
    }

    /// Ends a solo run; a success clears the request of every strike so far.
    pub fn end_isolated_run(&mut self, fingerprint: u64, is_success: bool, now: Duration) {
        self.solo.remove(&fingerprint);
        if !is_success {
            return;
        }
        if let Some(marks) = self.marks.remove(&fingerprint) {
            self.len -= marks.len();
            let pairs = marks.iter().map(|mark| ((fingerprint, mark.crash), now));
            self.cleared.extend(pairs);
        }
        self.trim(now);
    }

    /// Takes in strikes that a peer heard of.
    pub fn merge(&mut self, strikes: &[Strike], now: Duration) {
        for strike in strikes {
            if strike.age < STRIKE_TTL {
                let mark = Mark {
                    crash: strike.crash_id,
                    is_alone: strike.is_alone,
                    at: now.saturating_sub(strike.age),
                };
                self.add(strike.fingerprint, mark);
            }
        }
        self.trim(now);
    }

    /// Returns the newest strikes for gossip, at most `max`.
    pub fn export(&self, max: usize, now: Duration) -> Vec<Strike> {
        let mut strikes: Vec<Strike> = self
            .marks
            .iter()
            .flat_map(|(fingerprint, marks)| {
                marks.iter().map(move |mark| Strike {
                    fingerprint: *fingerprint,
                    crash_id: mark.crash,
                    is_alone: mark.is_alone,
                    age: now.saturating_sub(mark.at),
                })
            })
            .filter(|strike| strike.age < STRIKE_TTL)
            .collect();
        strikes.sort_unstable_by_key(|strike| (strike.age, strike.fingerprint, strike.crash_id));
        strikes.truncate(max);
        strikes
    }

    fn add(&mut self, fingerprint: u64, mark: Mark) -> bool {
        if self.cleared.contains_key(&(fingerprint, mark.crash)) {
            return false;
        }
        let marks = self.marks.entry(fingerprint).or_default();
        if let Some(known) = marks.iter_mut().find(|known| known.crash == mark.crash) {
            known.is_alone &= mark.is_alone;
            return false;
        }
        marks.push(mark);
        self.len += 1;
        true
    }

    /// Drops what is over, and the oldest strikes above the bound.
    fn trim(&mut self, now: Duration) {
        let mut oldest_kept = now.saturating_sub(STRIKE_TTL);
        if self.len > STRIKES_MAX {
            let mut times: Vec<Duration> =
                self.marks.values().flatten().map(|mark| mark.at).collect();
            times.sort_unstable();
            oldest_kept = oldest_kept.max(times[self.len - STRIKES_MAX]);
        }
        let is_full = self.len > STRIKES_MAX;
        for marks in self.marks.values_mut() {
            marks.retain(|mark| mark.at >= oldest_kept && now < mark.at + STRIKE_TTL);
        }
        self.marks.retain(|_, marks| !marks.is_empty());
        self.len = self.marks.values().map(Vec::len).sum();
        if is_full {
            self.drop_equally_old(oldest_kept);
        }
        self.cleared.retain(|_, at| now < *at + STRIKE_TTL);
        if self.cleared.len() > STRIKES_MAX {
            let mut times: Vec<Duration> = self.cleared.values().copied().collect();
            times.sort_unstable();
            let first_kept = times[times.len() - STRIKES_MAX];
            self.cleared.retain(|_, at| *at > first_kept);
        }
    }

    /// Drops strikes of the same age until the bound holds.
    fn drop_equally_old(&mut self, at: Duration) {
        let mut excess = self.len.saturating_sub(STRIKES_MAX);
        for marks in self.marks.values_mut() {
            marks.retain(|mark| {
                let is_dropped = excess > 0 && mark.at == at;
                excess -= usize::from(is_dropped);
                !is_dropped
            });
        }
        self.marks.retain(|_, marks| !marks.is_empty());
        self.len = self.marks.values().map(Vec::len).sum();
    }
}
