//! Which key ranges of a query were answered.

use limpet_types::{
    KeyRange,
    RefusalCode,
    ShardName, //
};

/// A key range answered by the pinned snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnsweredRange {
    /// Shard that answered.
    pub shard: ShardName,
    /// Keys covered.
    pub range: KeyRange,
}

/// A key range without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingRange {
    /// Shard that was asked for it.
    pub shard: ShardName,
    /// Keys not covered.
    pub range: KeyRange,
    /// Why there is no answer; `None` if the shard had not finished when the query ended.
    pub reason: Option<RefusalCode>,
}

/// Coverage of one query: what was asked for, answered and refused.
///
/// # Examples
///
/// ```
/// use limpet_decide::plan::Coverage;
/// use limpet_types::KeyRange;
///
/// let mut coverage = Coverage::new();
/// coverage.require("a".into(), KeyRange::new(0, 10));
/// assert!(coverage.accept("a", KeyRange::new(0, 10)));
/// assert!(coverage.is_complete());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    wanted: Vec<AnsweredRange>,
    answered: Vec<AnsweredRange>,
    reasons: Vec<(ShardName, RefusalCode)>,
}

impl Coverage {
    /// Creates the coverage of a query over nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a range that the query must cover.
    pub fn require(&mut self, shard: ShardName, range: KeyRange) {
        self.wanted.push(AnsweredRange { shard, range });
    }

    /// Accepts the answer of a shard; false if it must be dropped.
    ///
    /// After a repartitioning a target may hold a smaller range than planned: that part counts and
    /// the rest stays missing. An answer that reaches outside the planned range or that overlaps an
    /// accepted one could contain rows that a neighbour returns too, so it is not accepted.
    pub fn accept(&mut self, shard: &str, range: KeyRange) -> bool {
        let is_planned = self
            .wanted
            .iter()
            .any(|wanted| wanted.range.intersect(range) == Some(range) && &*wanted.shard == shard);
        let overlaps = self
            .answered
            .iter()
            .any(|answered| answered.range.intersect(range).is_some());
        if !is_planned || overlaps {
            return false;
        }
        self.answered.push(AnsweredRange {
            shard: shard.into(),
            range,
        });
        true
    }

    /// Notes why a shard has no answer.
    pub fn record_refusal(&mut self, shard: &str, reason: RefusalCode) {
        self.reasons.push((shard.into(), reason));
    }

    /// Forgets every answer and reason; used when the query starts over on another version.
    pub fn reset(&mut self) {
        self.answered.clear();
        self.reasons.clear();
    }

    /// Returns the answered ranges in key order; adjacent ranges of a shard are merged.
    pub fn answered(&self) -> Vec<AnsweredRange> {
        let mut sorted = self.answered.clone();
        sorted.sort_by_key(|answered| answered.range);
        let mut merged: Vec<AnsweredRange> = Vec::with_capacity(sorted.len());
        for next in sorted {
            match merged.last_mut() {
                Some(last) if last.shard == next.shard && last.range.end == next.range.start => {
                    last.range.end = next.range.end;
                }
                _ => merged.push(next),
            }
        }
        merged
    }

    /// Returns the ranges without an answer.
    pub fn missing(&self) -> Vec<MissingRange> {
        let mut missing = Vec::new();
        let answered = self.answered();
        for wanted in &self.wanted {
            let reason = self
                .reasons
                .iter()
                .rev()
                .find(|(shard, _)| *shard == wanted.shard)
                .map(|(_, reason)| *reason);
            let mut start = wanted.range.start;
            let mut gap = |start: u64, end: u64| {
                if start < end {
                    missing.push(MissingRange {
                        shard: wanted.shard.clone(),
                        range: KeyRange::new(start, end),
                        reason,
                    });
                }
            };
            for part in answered
                .iter()
                .filter_map(|a| a.range.intersect(wanted.range))
            {
                gap(start, part.start);
                start = part.end;
            }
            gap(start, wanted.range.end);
        }
        missing
    }

    /// Returns whether every wanted key is covered.
    pub fn is_complete(&self) -> bool {
        // Accepted answers never overlap and lie inside the wanted ranges, so lengths suffice.
        let keys = |parts: &[AnsweredRange]| -> u64 {
            parts
                .iter()
                .map(|p| p.range.end.saturating_sub(p.range.start))
                .sum()
        };
        keys(&self.answered) == keys(&self.wanted)
    }
}
