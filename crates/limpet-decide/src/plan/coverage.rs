//! Tracks which key ranges of a query were answered.

use limpet_types::{
    KeyRange,
    RefusalCode,
    ShardName, //
};

/// A key range of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardRange {
    /// Shard that the range belongs to.
    pub shard: ShardName,
    /// Keys of the range.
    pub range: KeyRange,
}

/// A key range without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingRange {
    /// Shard that was asked for the range.
    pub shard: ShardName,
    /// Keys without an answer.
    pub range: KeyRange,
    /// Why there is no answer; `None` if no refusal of the shard was recorded, for example because the shard
    /// had not finished when the query ended.
    pub reason: Option<RefusalCode>,
}

/// Coverage of one query: the required, answered and refused key ranges.
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
    required: Vec<ShardRange>,
    answered: Vec<ShardRange>,
    refusals: Vec<(ShardName, RefusalCode)>,
}

impl Coverage {
    /// Creates the coverage of a query that requires no keys yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a key range that the query must cover.
    pub fn require(&mut self, shard: ShardName, range: KeyRange) {
        self.required.push(ShardRange { shard, range });
    }

    /// Accepts the answer of a shard; returns `false` if the caller must drop it.
    ///
    /// After a repartitioning a target may hold a smaller range than planned: that part counts and
    /// the rest stays missing. An answer that goes beyond the planned range or overlaps an accepted
    /// one may contain rows that a neighbouring shard returns too, so it is rejected.
    pub fn accept(&mut self, shard: &str, range: KeyRange) -> bool {
        let is_planned = self.required.iter().any(|required| {
            required.range.intersect(range) == Some(range) && &*required.shard == shard
        });
        let overlaps = self
            .answered
            .iter()
            .any(|answered| answered.range.intersect(range).is_some());
        if !is_planned || overlaps {
            return false;
        }
        self.answered.push(ShardRange {
            shard: shard.into(),
            range,
        });
        true
    }

    /// Records why a shard gave no answer; [`Self::missing`] reports its last reason.
    pub fn record_refusal(&mut self, shard: &str, reason: RefusalCode) {
        self.refusals.push((shard.into(), reason));
    }

    /// Removes all answers and refusals, for a query that starts over on another index version.
    pub fn reset(&mut self) {
        self.answered.clear();
        self.refusals.clear();
    }

    /// Returns the answered ranges in key order; adjacent ranges of a shard are merged.
    pub fn answered(&self) -> Vec<ShardRange> {
        let mut sorted = self.answered.clone();
        sorted.sort_by_key(|answered| answered.range);
        let mut merged: Vec<ShardRange> = Vec::with_capacity(sorted.len());
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
        for required in &self.required {
            let reason = self
                .refusals
                .iter()
                .rev()
                .find(|(shard, _)| *shard == required.shard)
                .map(|(_, reason)| *reason);
            let mut start = required.range.start;
            let mut push_gap = |start: u64, end: u64| {
                if start < end {
                    missing.push(MissingRange {
                        shard: required.shard.clone(),
                        range: KeyRange::new(start, end),
                        reason,
                    });
                }
            };
            for answered_part in answered
                .iter()
                .filter_map(|a| a.range.intersect(required.range))
            {
                push_gap(start, answered_part.start);
                start = answered_part.end;
            }
            push_gap(start, required.range.end);
        }
        missing
    }

    /// Returns whether every required key is answered.
    pub fn is_complete(&self) -> bool {
        // Accepted answers never overlap and lie within the required ranges, so their lengths
        // suffice.
        let key_count = |ranges: &[ShardRange]| -> u64 {
            ranges
                .iter()
                .map(|p| p.range.end.saturating_sub(p.range.start))
                .sum()
        };
        key_count(&self.answered) == key_count(&self.required)
    }
}
