//! Ejection of aggregators that did not accept a query.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

/// Duration of the first ejection; doubled by each further failure.
const EJECTION_TIME_MIN: Duration = Duration::from_millis(500);
/// Longest duration of an ejection.
const EJECTION_TIME_MAX: Duration = Duration::from_secs(8);
/// Time after the end of an ejection in which a further failure leads to a longer one.
const FORGET_FAILURES_AFTER: Duration = Duration::from_secs(60);

/// Time after a lost query in which only aggregators are used that have answered shortly before or since.
const PAUSE_TIME: Duration = Duration::from_millis(1500);
/// The same if another aggregator has answered shortly before, so that not all are gone. One that does not answer
/// costs its accept timeout, and a query in this process opens connections to all shards.
const PAUSE_TIME_WITH_ANSWERS: Duration = Duration::from_millis(500);
/// Time before a lost query in which an answer shows that an aggregator is alive.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Time constant of the answers by which the aggregators are compared.
const COMPARISON_TIME: Duration = Duration::from_secs(2);
/// Smallest decayed number of answers of the other aggregators with which one is compared.
const OTHER_ANSWERS_MIN: f64 = 0.5;
/// Part of the answers of the other aggregators up to which late ones do not count as an overload.
const OTHER_LATE_PART_MAX: f64 = 0.25;
/// Part of its own answers from which on an aggregator counts as late.
const LATE_PART_MIN: f64 = 0.5;

/// Failures of one aggregator since its last success.
#[derive(Clone, Copy, Debug)]
struct Failures {
    count: u32,
    ejected_until: Duration,
    /// Whether it announced that it is about to stop.
    is_stopping: bool,
}

/// Recent answers of one aggregator, which weigh less the older they are.
#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    in_time: f64,
    late: f64,
    latest_at: Duration,
}

impl Answers {
    /// Returns the factor by which the answers weigh less than at the latest one.
    fn decay(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.latest_at);
        (-age.as_secs_f64() / COMPARISON_TIME.as_secs_f64()).exp()
    }

    /// Returns whether the latest answer came shortly before a failure or after it.
    fn is_since(&self, failed_at: Duration) -> bool {
        self.latest_at + ANSWER_TIME >= failed_at
    }

    /// Records an answer.
    fn record(&mut self, is_late: bool, now: Duration) {
        let decay = self.decay(now);
        self.in_time = self.in_time * decay + f64::from(u8::from(!is_late));
        self.late = self.late * decay + f64::from(u8::from(is_late));
        self.latest_at = now;
    }
}

/// Failure that lost a query.
#[derive(Clone, Copy, Debug)]
struct LostQuery {
    at: Duration,
    paused_until: Duration,
}

/// Aggregators that this process does not use for a while because they failed.
///
/// Many may fail at once, and each lost query costs its caller an error. So after one, only aggregators that have
/// answered within the last second are used for a short time; without any, queries run in this process, on
/// connections that are cold. A failure before the aggregator got the query costs less than those and ejects only
/// this aggregator.
#[derive(Clone, Debug, Default)]
pub struct PeerEjection {
    failures: HashMap<SocketAddr, Failures>,
    answers: HashMap<SocketAddr, Answers>,
    /// Latest failure that lost a query.
    lost: Option<LostQuery>,
}

impl PeerEjection {
    /// Creates the state in which no aggregator is ejected.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an aggregator answered in time, which ends its ejection unless it is about to stop: it still answers
    /// the queries that it has.
    pub fn record_success(&mut self, aggregator: SocketAddr, now: Duration) {
        let is_stopping =
            |failures: &Failures| failures.is_stopping && now < failures.ejected_until;
        self.failures
            .retain(|addr, failures| *addr != aggregator || is_stopping(failures));
        self.record_answer(aggregator, false, now);
    }

    /// Ejects an aggregator that failed; `is_lost` tells whether it has got the query.
    pub fn record_failure(&mut self, aggregator: SocketAddr, is_lost: bool, now: Duration) {
        self.eject(aggregator, now);
        self.answers.remove(&aggregator);
        if is_lost {
            let has_answers = self.answers.values().any(|answers| answers.is_since(now));
            let pause_time = match has_answers {
                true => PAUSE_TIME_WITH_ANSWERS,
                false => PAUSE_TIME,
            };
            self.lost = Some(LostQuery {
                at: now,
                paused_until: now + pause_time,
            });
        }
    }

    /// Records that an aggregator answered after the latency goal of the query, and ejects it if most of its answers
    /// are late while the others answer in time. If theirs are late as well, or `is_full` tells that it reports no free
    /// place, it is the load, and without this aggregator the others would be later still.
    pub fn record_late(&mut self, aggregator: SocketAddr, is_full: bool, now: Duration) {
        self.record_answer(aggregator, true, now);
        if is_full {
            return;
        }
        let (mut in_time, mut late) = (0.0, 0.0);
        for (addr, answers) in &self.answers {
            let decay = answers.decay(now);
            if *addr != aggregator {
                in_time += answers.in_time * decay;
                late += answers.late * decay;
            }
        }
        let own = self.answers.get(&aggregator).copied().unwrap_or_default();
        let is_mostly_late = own.late >= (own.late + own.in_time) * LATE_PART_MIN;
        let has_others = in_time + late >= OTHER_ANSWERS_MIN;
        let are_others_in_time = late <= (in_time + late) * OTHER_LATE_PART_MAX;
        if is_mostly_late && has_others && are_others_in_time {
            self.eject(aggregator, now);
        }
    }

    /// Ejects an aggregator that is about to stop for the longest time.
    pub fn record_stopping(&mut self, aggregator: SocketAddr, now: Duration) {
        let failures = Failures {
            count: 0,
            ejected_until: now + EJECTION_TIME_MAX,
            is_stopping: true,
        };
        self.failures.insert(aggregator, failures);
        self.answers.remove(&aggregator);
    }

    /// Returns whether an aggregator is ejected.
    pub fn is_ejected(&self, aggregator: SocketAddr, now: Duration) -> bool {
        let failures = self.failures.get(&aggregator);
        self.is_paused(aggregator, now)
            || failures.is_some_and(|failures| now < failures.ejected_until)
    }

    /// Returns whether an aggregator is not used because another one lost a query.
    fn is_paused(&self, aggregator: SocketAddr, now: Duration) -> bool {
        let Some(lost) = self.lost.filter(|lost| now < lost.paused_until) else {
            return false;
        };
        let answers = self.answers.get(&aggregator);
        !answers.is_some_and(|answers| answers.is_since(lost.at))
    }

    /// Ejects an aggregator, for longer with each further failure; never shortens an ejection.
    fn eject(&mut self, aggregator: SocketAddr, now: Duration) {
        // Processes that left for good get no query whose success would remove them.
        self.failures
            .retain(|_, failures| now < failures.ejected_until + FORGET_FAILURES_AFTER);
        let failures = self.failures.entry(aggregator).or_insert(Failures {
            count: 0,
            ejected_until: Duration::ZERO,
            is_stopping: false,
        });
        let ejection_time = EJECTION_TIME_MIN * (1 << failures.count.min(4));
        failures.count += 1;
        let ejected_until = now + ejection_time.min(EJECTION_TIME_MAX);
        failures.ejected_until = failures.ejected_until.max(ejected_until);
    }

    /// Records an answer, and forgets those that no longer count.
    fn record_answer(&mut self, aggregator: SocketAddr, is_late: bool, now: Duration) {
        let forget_after = COMPARISON_TIME * 4;
        self.answers
            .retain(|_, answers| now < answers.latest_at + forget_after);
        let answers = self.answers.entry(aggregator).or_default();
        answers.record(is_late, now);
    }
}
