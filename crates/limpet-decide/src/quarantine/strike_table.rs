//! Crashes (strikes) recorded by request fingerprint.

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

use super::crash_suspect::{
    CrashSuspect,
    strike_crash_id, //
};

/// Time after a crash for which the strikes of the crash count.
pub const STRIKE_TTL: Duration = Duration::from_secs(600);
/// Maximum number of strikes in a table; the oldest strikes are dropped first.
pub const STRIKES_MAX: usize = 4_096;
/// Number of strikes that still count at which a request is quarantined.
pub const QUARANTINE_STRIKES: usize = 2;
/// Number of strikes that still count at which a query is quarantined even if others ran at each of its crashes.
///
/// A query without isolated runs cannot clear itself of a crash that another one caused. With two, one poison query
/// quarantines others that were in flight at its first two crashes; a poison query costs at most this many targets,
/// and in addition those of the repetitions in the run that brings the last strike.
pub const QUERY_STRIKES_MAX: usize = 3;
/// Number of the newest strikes from which those of a report are drawn.
const SAMPLED_STRIKES_MAX: usize = 64;
/// Time for which an isolated run of a request excludes a second one.
///
/// Longer than the time to any deadline that a relay accepts: no deadline is later than the expiration of the
/// relay's ownership of the target, which is at most 4 s away.
const ISOLATED_RUN_TTL: Duration = Duration::from_secs(5);

/// Restriction on running a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restriction {
    /// No strike of the request counts; the request runs without restriction.
    None,
    /// A strike of the request counts; the request runs only while no other request runs on its target.
    Isolated,
    /// At least [`QUARANTINE_STRIKES`] strikes of the request count; the request doesn't run.
    Quarantined,
}

/// Returns the identifier of a target crash that the target's owner observed at `observed_at`.
///
/// The time is part of the identifier because a target may crash again before it reports its new incarnation;
/// without the time, the second crash would have the identifier of the first.
pub fn crash_id(
    target: TargetAddr,
    incarnation: Option<Incarnation>,
    observed_at: Duration,
) -> u64 {
    let target = target.to_string();
    let incarnation = incarnation.unwrap_or_default().to_le_bytes();
    let observed_at_ns = observed_at.as_nanos().to_le_bytes();
    stable_hash_parts(&[target.as_bytes(), &incarnation, &observed_at_ns])
}

#[derive(Clone, Copy, Debug)]
struct StrikeEntry {
    crash_id: u64,
    /// Whether no other request was in flight on the target at the crash.
    is_sole_suspect: bool,
    /// When the crash of the target was observed, by the clock of this process.
    crashed_at: Duration,
}

/// Records which requests were in flight when a target crashed.
///
/// Each of these requests gets a strike. The strike counts until another request with a strike for the
/// same crash crashes a target while no other request is in flight there: that request is then the
/// confirmed culprit of both crashes, and the strikes of the others for the shared crash no longer count.
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
    /// Strikes by request fingerprint.
    entries: HashMap<u64, Vec<StrikeEntry>>,
    /// Pairs of fingerprint and crash identifier whose strikes a successful isolated run cleared, with the
    /// end of that run.
    cleared: HashMap<(u64, u64), Duration>,
    /// Fingerprints of requests in an isolated run, with the start of the run.
    isolated_runs: HashMap<u64, Duration>,
    /// Number of strikes of all requests.
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

    /// Returns the restriction on running the request with this fingerprint.
    pub fn restriction(&self, fingerprint: u64, now: Duration) -> Restriction {
        let Some(entries) = self.entries.get(&fingerprint) else {
            return Restriction::None;
        };
        let is_live = |entry: &&StrikeEntry| now < entry.crashed_at + STRIKE_TTL;
        // All strikes of a confirmed culprit count. Otherwise two poison requests that were in
        // flight at the same crash would clear each other.
        let is_confirmed_culprit = entries
            .iter()
            .filter(is_live)
            .any(|entry| entry.is_sole_suspect);
        let counts = |entry: &&StrikeEntry| {
            is_live(entry)
                && (is_confirmed_culprit
                    || !self.is_caused_by_another(fingerprint, entry.crash_id, now))
        };
        match entries.iter().filter(counts).count() {
            0 => Restriction::None,
            n if n < QUARANTINE_STRIKES => Restriction::Isolated,
            _ => Restriction::Quarantined,
        }
    }

    /// Returns whether another request that was in flight at the crash is a confirmed culprit.
    fn is_caused_by_another(&self, fingerprint: u64, crash_id: u64, now: Duration) -> bool {
        self.entries.iter().any(|(other, entries)| {
            let is_live = |entry: &&StrikeEntry| now < entry.crashed_at + STRIKE_TTL;
            *other != fingerprint
                && entries
                    .iter()
                    .filter(is_live)
                    .any(|entry| entry.crash_id == crash_id)
                && entries
                    .iter()
                    .filter(is_live)
                    .any(|entry| entry.is_sole_suspect)
        })
    }

    /// Records the crash of a target on which requests with these fingerprints were in flight, ends the
    /// isolated runs of these requests, and returns how many strikes were added.
    pub fn record_crash(&mut self, crash_id: u64, fingerprints: &[u64], now: Duration) -> usize {
        let distinct: HashSet<u64> = fingerprints.iter().copied().collect();
        let is_sole_suspect = distinct.len() == 1;
        let add = |table: &mut Self, fingerprint: u64| {
            table.isolated_runs.remove(&fingerprint);
            table.add(
                fingerprint,
                StrikeEntry {
                    crash_id,
                    is_sole_suspect,
                    crashed_at: now,
                },
            )
        };
        let added_count = distinct.into_iter().filter(|f| add(self, *f)).count();
        self.evict(now);
        added_count
    }

    /// Returns the number of strikes of a request that still count.
    pub fn strike_count(&self, fingerprint: u64, now: Duration) -> usize {
        let entries = self.entries.get(&fingerprint);
        let live = |entry: &&StrikeEntry| now < entry.crashed_at + STRIKE_TTL;
        entries.map_or(0, |entries| entries.iter().filter(live).count())
    }

    /// Returns the number of strikes of a query that are known, as [`CrashSuspect::known_strikes`] counts them.
    ///
    /// An expired or cleared strike leaves a gap, which the next crash fills.
    pub fn known_strikes(&self, fingerprint: u64, now: Duration) -> usize {
        let entries = self
            .entries
            .get(&fingerprint)
            .map_or(&[][..], Vec::as_slice);
        let is_known = |index: &usize| {
            let crash_id = strike_crash_id(fingerprint, *index);
            let is_live = |entry: &StrikeEntry| now < entry.crashed_at + STRIKE_TTL;
            entries
                .iter()
                .any(|entry| entry.crash_id == crash_id && is_live(entry))
        };
        (0..entries.len()).take_while(is_known).count()
    }

    /// Returns whether a query is quarantined: it has [`QUARANTINE_STRIKES`] strikes as the only suspect, or
    /// [`QUERY_STRIKES_MAX`] in all.
    pub fn is_query_quarantined(&self, fingerprint: u64, now: Duration) -> bool {
        let Some(entries) = self.entries.get(&fingerprint) else {
            return false;
        };
        let live = entries
            .iter()
            .filter(|entry| now < entry.crashed_at + STRIKE_TTL);
        let (count, sole_count) = live.fold((0, 0), |(count, sole_count), entry| {
            (count + 1, sole_count + usize::from(entry.is_sole_suspect))
        });
        sole_count >= QUARANTINE_STRIKES || count >= QUERY_STRIKES_MAX
    }

    /// Returns the number of known strikes of a query that is to begin; `None` if it is quarantined.
    pub fn admit_query(&self, fingerprint: u64, now: Duration) -> Option<usize> {
        let is_admitted = !self.is_query_quarantined(fingerprint, now);
        is_admitted.then(|| self.known_strikes(fingerprint, now))
    }

    /// Records a crash of a target against the queries that may have caused it; `others` were in flight there too, but the
    /// crash was recorded against them before, or they are not suspected.
    ///
    /// A crash is evidence against a query only beside the crashes that were known before: of many copies of a popular
    /// query that are in flight while targets go down, or of one query at many targets, all get the same strike on all
    /// processes, and a second one takes another crash after the first was known. Repeated attempts of one run count one
    /// by one, but not as the only suspect: their targets may have gone down together.
    pub fn record_target_crash(
        &mut self,
        suspects: &[CrashSuspect],
        others: &[CrashSuspect],
        now: Duration,
    ) {
        // Of several copies, the one that began last is the strongest evidence.
        let mut latest: HashMap<u64, CrashSuspect> = HashMap::new();
        for suspect in suspects {
            let known = latest.entry(suspect.fingerprint).or_insert(*suspect);
            if known.strike_index() < suspect.strike_index() {
                *known = *suspect;
            }
        }
        let all = suspects.iter().chain(others);
        let is_single = all
            .map(|suspect| suspect.fingerprint)
            .collect::<HashSet<_>>()
            .len()
            == 1;
        for suspect in others {
            latest.remove(&suspect.fingerprint);
            if !is_single {
                self.share_strike(suspect);
            }
        }
        for (fingerprint, suspect) in latest {
            let crash_id = suspect.crash_id();
            // A crash that happens after a success is new evidence.
            self.cleared.remove(&(fingerprint, crash_id));
            let entry = StrikeEntry {
                crash_id,
                is_sole_suspect: is_single && suspect.earlier_failures == 0,
                crashed_at: now,
            };
            self.add(fingerprint, entry);
        }
        self.evict(now);
    }

    /// Marks the strike of a suspect as one of a crash with several suspects.
    fn share_strike(&mut self, suspect: &CrashSuspect) {
        let crash_id = suspect.crash_id();
        let entries = self.entries.get_mut(&suspect.fingerprint);
        for entry in entries.into_iter().flatten() {
            entry.is_sole_suspect &= entry.crash_id != crash_id;
        }
    }

    /// Records that a target ran a query and survived it, which removes all strikes of the query: one that crashes
    /// targets crashes each of them.
    pub fn record_query_success(&mut self, fingerprint: u64, now: Duration) {
        if self.entries.contains_key(&fingerprint) {
            self.end_isolated_run(fingerprint, true, now);
        }
    }

    /// Starts an isolated run of a request; returns `false` while another isolated run of the same request
    /// may still be running.
    pub fn begin_isolated_run(&mut self, fingerprint: u64, now: Duration) -> bool {
        match self.isolated_runs.entry(fingerprint) {
            Entry::Occupied(mut running) => {
                let is_over = now >= *running.get() + ISOLATED_RUN_TTL;
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

    /// Ends an isolated run; a success removes all strikes of the request so far.
    pub fn end_isolated_run(&mut self, fingerprint: u64, is_success: bool, now: Duration) {
        self.isolated_runs.remove(&fingerprint);
        if !is_success {
            return;
        }
        if let Some(entries) = self.entries.remove(&fingerprint) {
            self.len -= entries.len();
            let pairs = entries
                .iter()
                .map(|entry| ((fingerprint, entry.crash_id), now));
            self.cleared.extend(pairs);
        }
        self.evict(now);
    }

    /// Adds the strikes that a peer reported.
    pub fn merge(&mut self, strikes: &[Strike], now: Duration) {
        for strike in strikes {
            if strike.age < STRIKE_TTL {
                let entry = StrikeEntry {
                    crash_id: strike.crash_id,
                    is_sole_suspect: strike.is_alone,
                    crashed_at: now.saturating_sub(strike.age),
                };
                self.add(strike.fingerprint, entry);
            }
        }
        self.evict(now);
    }

    /// Returns the newest strikes, up to `count_max`, for a gossip message.
    pub fn export(&self, count_max: usize, now: Duration) -> Vec<Strike> {
        let mut strikes: Vec<Strike> = self
            .entries
            .iter()
            .flat_map(|(fingerprint, entries)| {
                entries.iter().map(move |entry| Strike {
                    fingerprint: *fingerprint,
                    crash_id: entry.crash_id,
                    is_alone: entry.is_sole_suspect,
                    age: now.saturating_sub(entry.crashed_at),
                })
            })
            .filter(|strike| strike.age < STRIKE_TTL)
            .collect();
        strikes.sort_unstable_by_key(|strike| (strike.age, strike.fingerprint, strike.crash_id));
        strikes.truncate(count_max);
        strikes
    }

    /// Returns up to `count_max` of the newest strikes for a report to other processes; `draw` returns a random number below
    /// its argument.
    ///
    /// A crash gives a strike to each query in flight, so the newest strikes alone may leave out that of the query which
    /// caused it. Queries with several strikes are the most likely cause and get up to half of the places.
    pub fn sample(
        &self,
        count_max: usize,
        now: Duration,
        draw: &mut dyn FnMut(usize) -> usize,
    ) -> Vec<Strike> {
        let newest = self.export(SAMPLED_STRIKES_MAX, now);
        let is_repeated = |strike: &Strike| self.strike_count(strike.fingerprint, now) > 1;
        let (mut repeated, mut others): (Vec<_>, Vec<_>) =
            newest.into_iter().partition(is_repeated);
        let mut sample = Vec::with_capacity(count_max);
        while sample.len() < count_max && !(repeated.is_empty() && others.is_empty()) {
            let takes_repeated =
                others.is_empty() || !repeated.is_empty() && sample.len() < count_max / 2;
            let source = match takes_repeated {
                true => &mut repeated,
                false => &mut others,
            };
            let index = draw(source.len());
            sample.push(source.swap_remove(index));
        }
        sample
    }

    /// Adds a strike; returns `false` if it is in the table already or was cleared by an isolated run.
    fn add(&mut self, fingerprint: u64, entry: StrikeEntry) -> bool {
        if self.cleared.contains_key(&(fingerprint, entry.crash_id)) {
            return false;
        }
        let entries = self.entries.entry(fingerprint).or_default();
        if let Some(known) = entries
            .iter_mut()
            .find(|known| known.crash_id == entry.crash_id)
        {
            let is_expired = entry.crashed_at >= known.crashed_at + STRIKE_TTL;
            if is_expired {
                *known = entry;
            }
            known.is_sole_suspect &= entry.is_sole_suspect;
            return is_expired;
        }
        entries.push(entry);
        self.len += 1;
        true
    }

    /// Drops expired strikes and expired records of cleared strikes, and of each the oldest above
    /// [`STRIKES_MAX`].
    fn evict(&mut self, now: Duration) {
        let mut oldest_kept_at = now.saturating_sub(STRIKE_TTL);
        if self.len > STRIKES_MAX {
            let mut times: Vec<Duration> = self
                .entries
                .values()
                .flatten()
                .map(|entry| entry.crashed_at)
                .collect();
            times.sort_unstable();
            oldest_kept_at = oldest_kept_at.max(times[self.len - STRIKES_MAX]);
        }
        let is_over_max = self.len > STRIKES_MAX;
        for entries in self.entries.values_mut() {
            entries.retain(|entry| {
                entry.crashed_at >= oldest_kept_at && now < entry.crashed_at + STRIKE_TTL
            });
        }
        self.entries.retain(|_, entries| !entries.is_empty());
        self.len = self.entries.values().map(Vec::len).sum();
        if is_over_max {
            self.evict_excess_at(oldest_kept_at);
        }
        self.cleared.retain(|_, at| now < *at + STRIKE_TTL);
        if self.cleared.len() > STRIKES_MAX {
            let mut times: Vec<Duration> = self.cleared.values().copied().collect();
            times.sort_unstable();
            let newest_dropped_at = times[times.len() - STRIKES_MAX];
            self.cleared.retain(|_, at| *at > newest_dropped_at);
        }
    }

    /// Drops strikes for crashes at `crashed_at` until the table is within [`STRIKES_MAX`].
    fn evict_excess_at(&mut self, crashed_at: Duration) {
        let mut excess_count = self.len.saturating_sub(STRIKES_MAX);
        for entries in self.entries.values_mut() {
            entries.retain(|entry| {
                let is_dropped = excess_count > 0 && entry.crashed_at == crashed_at;
                excess_count -= usize::from(is_dropped);
                !is_dropped
            });
        }
        self.entries.retain(|_, entries| !entries.is_empty());
        self.len = self.entries.values().map(Vec::len).sum();
    }
}
