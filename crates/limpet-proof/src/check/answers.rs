//! Checks answers: each belongs to its request, covers the ranges that it claims, and comes from one
//! snapshot.

use limpet_fakes::target::TargetOutcome;
use limpet_types::key_range::KEY_SPACE_END;

use super::{
    Property, Violation,
    index::{
        CallerRequest,
        HistoryIndex, //
    },
};
use crate::history::{
    BodyParts,
    ResponseBody, //
};

/// Adds a violation for each answer that is wrong.
pub(super) fn check(index: &HistoryIndex<'_>, violations: &mut Vec<Violation>) {
    for (request_id, request) in &index.requests {
        let Some((_, status, body)) = request.response else {
            continue;
        };
        let accepted_ids = index.ids_with_same_ticket(request_id);
        if !accepted_ids.contains(&&*body.request_id) {
            let reason = format!(
                "{request_id}: the answer has the request ID of {}",
                body.request_id
            );
            violations.push(Violation::new(Property::OwnAnswer, reason));
        }
        if status == 200 {
            check_completeness(request_id, request, body, violations);
            check_results(index, &accepted_ids, request, body, violations);
            check_coverage(index, &accepted_ids, body, violations);
        }
    }
}

/// Checks that an answer marked complete lacks no range that could change it, that the ranges of a search or
/// exists query cover each key exactly once, and that the shards listed as answered are those with a result.
fn check_completeness(
    request_id: &str,
    request: &CallerRequest<'_>,
    answer: &ResponseBody,
    violations: &mut Vec<Violation>,
) {
    let missing = answer.coverage.missing.iter();
    let relevant_ranges = missing.filter(|range| range.reason.as_deref() != Some("not_needed"));
    let has_missing = relevant_ranges.count() > 0;
    if answer.complete && has_missing {
        let reason = format!("{request_id}: the answer is marked complete but has missing ranges");
        violations.push(Violation::new(Property::Coverage, reason));
    }
    let mut ranges: Vec<(u64, u64)> = answer
        .coverage
        .answered
        .iter()
        .chain(&answer.coverage.missing)
        .map(|range| (range.start, range.end))
        .collect();
    ranges.sort_unstable();
    let is_fan_out = matches!(request.kind, "search" | "exists");
    let is_partition = ranges.first().is_some_and(|range| range.0 == 0)
        && ranges.last().is_some_and(|range| range.1 == KEY_SPACE_END)
        && ranges.windows(2).all(|pair| pair[0].1 == pair[1].0);
    if is_fan_out && !is_partition {
        let reason =
            format!("{request_id}: the ranges do not cover each key exactly once: {ranges:?}");
        violations.push(Violation::new(Property::Coverage, reason));
    }
    // Answers to exists queries need no results; other answers have one for each answered shard.
    let mut answered_shards: Vec<&str> = answer
        .coverage
        .answered
        .iter()
        .map(|range| &*range.shard)
        .collect();
    let mut result_shards: Vec<&str> = answer.results.iter().map(|result| &*result.shard).collect();
    answered_shards.sort_unstable();
    result_shards.sort_unstable();
    if request.kind != "exists" && answered_shards != result_shards {
        let reason = format!(
            "{request_id}: answered shards {answered_shards:?}, but results of {result_shards:?}"
        );
        violations.push(Violation::new(Property::OwnAnswer, reason));
    }
}

/// Checks that each result is whole, belongs to the request and comes from the snapshot that the answer
/// names.
fn check_results(
    index: &HistoryIndex<'_>,
    accepted_ids: &[&str],
    request: &CallerRequest<'_>,
    answer: &ResponseBody,
    violations: &mut Vec<Violation>,
) {
    for result in &answer.results {
        let Some(parts) = result.parse_body() else {
            let reason = format!(
                "{}: incomplete result body: {:?}",
                answer.request_id, result.body
            );
            violations.push(Violation::new(Property::OwnAnswer, reason));
            continue;
        };
        let BodyParts {
            target, request_id, ..
        } = parts;
        let is_own = accepted_ids.contains(&request_id) && parts.size_bytes == request.size_bytes;
        if !is_own || parts.record != request.record {
            let reason = format!(
                "{}: the result is not of this request: {:?}",
                answer.request_id, result.body
            );
            violations.push(Violation::new(Property::OwnAnswer, reason));
            continue;
        }
        let received_requests = index
            .requests
            .get(request_id)
            .map(|request| &request.received_requests);
        let is_from_snapshot = received_requests
            .into_iter()
            .flatten()
            .any(|(name, received)| *name == target && received.snapshot == answer.snapshot);
        if !is_from_snapshot {
            let reason = format!(
                "{}: {target} received no request for snapshot {:?}",
                answer.request_id, answer.snapshot
            );
            violations.push(Violation::new(Property::OneSnapshot, reason));
        }
    }
}

/// Checks that each answered range was answered by a target that holds it.
fn check_coverage(
    index: &HistoryIndex<'_>,
    accepted_ids: &[&str],
    answer: &ResponseBody,
    violations: &mut Vec<Violation>,
) {
    let answering_targets: Vec<_> = accepted_ids
        .iter()
        .filter_map(|id| index.requests.get(id))
        .flat_map(|request| &request.received_requests)
        .filter(|(_, received)| received.outcome == TargetOutcome::Answered)
        .filter_map(|(target, _)| index.targets.get(target))
        .collect();
    for range in &answer.coverage.answered {
        let is_answered = answering_targets.iter().any(|target| {
            target.shard == &*range.shard && target.start <= range.start && range.end <= target.end
        });
        if !is_answered {
            let reason = format!(
                "{}: no target answered the claimed range {range:?}",
                answer.request_id
            );
            violations.push(Violation::new(Property::Coverage, reason));
        }
    }
}
