//! Guards against reporting keys as covered that no shard answered, mainly after a repartitioning.

use limpet_decide::plan::Coverage;
use limpet_types::{
    KeyRange,
    RefusalCode, //
};
use proptest::prelude::*;

fn two_shards() -> Coverage {
    let mut coverage = Coverage::new();
    coverage.require("a".into(), KeyRange::new(0, 100));
    coverage.require("b".into(), KeyRange::new(100, 200));
    coverage
}

/// Answers of shard `a`, whether each is accepted, and the ranges then missing from `a`.
type CoverageCase = (&'static [((u64, u64), bool)], &'static [(u64, u64)]);

fn coverage_after_answers((answers, missing): CoverageCase) {
    let mut coverage = two_shards();
    assert!(coverage.accept("b", KeyRange::new(100, 200)));
    for ((start, end), is_accepted) in answers {
        let range = KeyRange::new(*start, *end);
        assert_eq!(coverage.accept("a", range), *is_accepted, "{range:?}");
    }
    let still_missing: Vec<_> = coverage
        .missing()
        .iter()
        .map(|m| (m.range.start, m.range.end))
        .collect();
    assert_eq!(still_missing, missing);
    assert_eq!(coverage.is_complete(), missing.is_empty());
}

limpet_testkit::cases! {
    coverage_after_answers:
    the_planned_range_completes_the_coverage => (&[((0, 100), true)], &[]),
    a_smaller_range_leaves_the_rest_missing => (&[((0, 60), true)], &[(60, 100)]),
    a_gap_in_the_middle_is_missing => (&[((0, 30), true), ((60, 100), true)], &[(30, 60)]),
    a_range_beyond_the_plan_is_dropped => (&[((50, 150), false)], &[(0, 100)]),
    a_duplicate_is_dropped => (&[((0, 60), true), ((0, 60), false)], &[(60, 100)]),
    an_overlap_is_dropped => (&[((0, 60), true), ((59, 100), false)], &[(60, 100)]),
    an_empty_range_covers_nothing => (&[((10, 10), false)], &[(0, 100)]),
}

#[test]
fn the_last_refusal_of_a_shard_is_reported_and_a_reset_removes_all() {
    let mut coverage = two_shards();
    coverage.record_refusal("a", RefusalCode::TargetShed);
    coverage.record_refusal("a", RefusalCode::TargetFailed);
    assert_eq!(
        coverage.missing()[0].reason,
        Some(RefusalCode::TargetFailed)
    );
    assert_eq!(coverage.missing()[1].reason, None);
    assert!(coverage.accept("a", KeyRange::new(0, 100)));
    coverage.reset();
    assert_eq!(coverage.missing().len(), 2);
    assert_eq!(coverage.missing()[0].reason, None);
}

proptest! {
    /// Every required key is either answered or missing, whatever the targets answer.
    #[test]
    fn answered_and_missing_partition_the_required_keys(
        answers in prop::collection::vec((0..2usize, 0..220u64, 0..80u64), 0..12),
    ) {
        let mut coverage = two_shards();
        let mut accepted = [false; 200];
        for (shard, start, len) in answers {
            let range = KeyRange::new(start, start + len);
            if coverage.accept(["a", "b"][shard], range) {
                for key in range.start..range.end {
                    prop_assert!(!accepted[key as usize], "key {key} accepted twice");
                    accepted[key as usize] = true;
                }
            }
        }
        for key in 0..200 {
            let is_answered = coverage.answered().iter().any(|a| a.range.contains(key));
            let is_missing = coverage.missing().iter().any(|m| m.range.contains(key));
            prop_assert_eq!(is_answered, accepted[key as usize]);
            prop_assert_eq!(is_missing, !accepted[key as usize]);
        }
        prop_assert_eq!(coverage.is_complete(), accepted.iter().all(|a| *a));
    }
}
