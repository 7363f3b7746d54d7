//! Scatter-gather: sends a request to one target of each shard and merges the replies.

use std::{
    sync::Arc,
    time::Duration, //
};

use futures::{
    StreamExt,
    stream::FuturesUnordered, //
};
use http::HeaderValue;
use limpet_decide::gather::Parts;
use limpet_types::deployment::ScatterGather;
use tokio::time::{
    Instant,
    sleep_until, //
};

use super::{
    Answer,
    Outcome,
    QueryContext,
    RequestError,
    RequestErrorKind,
    gather_progress::GatherProgress,
    greatest_records,
    service_attempts::ServiceAttempts,
    service_error::ServiceError, //
};
use crate::target::TargetReply;

/// Fraction of the latency goal after which, at the latest, a partial answer is sent if it has the required
/// coverage.
const PARTIAL_ANSWER_GOAL_FRACTION: f64 = 0.85;
/// Time reserved for the network between the caller and this process, including the round trips of a new
/// connection. The one-way latency to callers is at most 3 ms.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(14);

/// Time after which an attempt counts as a straggler while the latency of the route is not known, as a fraction of the
/// latency goal.
const UNKNOWN_STRAGGLER_GOAL_FRACTION: f64 = 0.4;
/// Shortest time after which the caller of a query that did not run may retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// The parts of an answer that have arrived, and the number of shards that failed.
struct GatheredParts<'a> {
    /// Numbers of parts.
    counts: Parts,
    /// Shards whose part has arrived.
    shards: Vec<&'a str>,
    /// Signature of each part.
    signatures: Vec<HeaderValue>,
    /// Body of each part.
    bodies: Vec<bytes::Bytes>,
    /// Shortest time after which a target of a shard that failed wants requests again, if any is known.
    retry_after: Option<Duration>,
}

/// Runs a request at every shard and merges the parts that arrive in time.
///
/// Ends as soon as all parts arrived, too few can arrive, or the missing ones are not worth the wait. Without an answer,
/// its attempts that are still in flight then are cancelled; with one, they may complete, so that their connections can
/// be reused.
pub async fn run_scatter_gather(query: Arc<QueryContext>, gather: &ScatterGather) -> Outcome {
    let shard_count = gather.shards.len();
    let mut parts = GatheredParts::new(Parts::new(shard_count, gather.coverage_min));
    let skipped_shards = unhealthy_shards(&query, gather, parts.counts.needed_count);
    parts.counts.failed_count = skipped_shards.len();
    let running_count = shard_count - skipped_shards.len();
    let progress = Arc::new(GatherProgress::new(running_count));
    let mut pending_shards = FuturesUnordered::new();
    let shards = gather.shards.iter().map(|shard| &**shard);
    let shards = shards.filter(|shard| !skipped_shards.contains(shard));
    for (part, shard) in shards.enumerate() {
        let attempts = ServiceAttempts::new_part(Arc::clone(&query), shard, &progress, part);
        pending_shards.push(async move { (shard, attempts.run().await) });
    }
    let send_limit = partial_answer_at(&query);
    let mut is_sent_partial = false;
    while !parts.counts.is_complete() && !parts.counts.is_out_of_reach() {
        let partial_at = match parts.counts.is_covered() {
            true => Some(partial_send_at(
                &query,
                &parts.counts,
                &progress,
                send_limit,
            )),
            false => None,
        };
        tokio::select! {
            part = pending_shards.next() => match part {
                Some((shard, part)) => parts.add(&query, shard, part),
                None => break,
            },
            // An attempt may have started since the time was computed, so it is checked again.
            () = sleep_until(partial_at.unwrap_or(query.deadline)), if partial_at.is_some() => {
                let partial_at = partial_send_at(&query, &parts.counts, &progress, send_limit);
                is_sent_partial = partial_at <= Instant::now();
                if is_sent_partial {
                    break;
                }
            },
            () = sleep_until(query.deadline) => break,
        }
    }
    if parts.counts.is_covered() {
        progress.record_answer();
    }
    drop(pending_shards);
    let arrived_count = parts.bodies.len();
    if arrived_count < shard_count {
        let missing_shards = parts.missing_shards(gather);
        tracing::info!(
            request_id = query.request_id(),
            left_out = ?missing_shards,
            skipped = skipped_shards.len(),
            needed = parts.counts.needed_count,
            total = shard_count,
            is_late = is_sent_partial,
            took_ms = query.arrived_at.elapsed().as_millis(),
            version = query.route_table.config().version,
            "shards left out"
        );
    }
    if !parts.counts.is_covered() {
        return Err(parts.error(&query, progress.may_have_run()));
    }
    tracing::debug!(
        request_id = query.request_id(),
        arrived = arrived_count,
        total = shard_count,
        is_late = is_sent_partial,
        "parts gathered"
    );
    Ok(Answer::Gathered {
        signatures: parts.signatures,
        missing_count: shard_count - arrived_count,
        body: greatest_records(&parts.bodies, gather.records_max).into(),
    })
}

/// Returns the time at which an answer that has its coverage is sent unless another part arrives before.
fn partial_send_at(
    query: &QueryContext,
    counts: &Parts,
    progress: &GatherProgress,
    send_limit: Instant,
) -> Instant {
    let now = Instant::now();
    let route = &query.route;
    let straggler_delay = query
        .shared
        .with_route_latency(&route.name, |latency| latency.straggler_delay());
    let straggler_delay = straggler_delay
        .unwrap_or_else(|| route.latency_goal.mul_f64(UNKNOWN_STRAGGLER_GOAL_FRACTION));
    let time_left = send_limit.saturating_duration_since(now);
    now + counts.send_delay(&progress.missing_parts(), straggler_delay, time_left)
}

/// Returns the shards to skip because they have no healthy target, or none if the other shards are too few
/// for the required coverage of `parts_min` parts.
///
/// A shard is included again as soon as the ejection of one of its targets ends.
fn unhealthy_shards<'a>(
    query: &QueryContext,
    gather: &'a ScatterGather,
    parts_min: usize,
) -> Vec<&'a str> {
    let now = query.shared.now();
    let fleet = query.shared.fleet();
    let unhealthy: Vec<&str> = gather
        .shards
        .iter()
        .map(|shard| &**shard)
        .filter(|shard| !fleet.has_healthy_target(shard, now))
        .collect();
    if gather.shards.len() - unhealthy.len() < parts_min {
        return Vec::new();
    }
    unhealthy
}

/// Returns the time at which a partial answer is sent at the latest if it has the required coverage.
fn partial_answer_at(query: &QueryContext) -> Instant {
    let goal = query.route.latency_goal;
    let margin = goal.mul_f64(1.0 - PARTIAL_ANSWER_GOAL_FRACTION);
    let margin = margin.max(CALLER_ROUND_TRIP);
    let by_goal = query.goal_at.checked_sub(margin);
    let earliest = query.arrived_at + goal / 2;
    by_goal.map_or(earliest, |by_goal| by_goal.max(earliest))
}

impl<'a> GatheredParts<'a> {
    /// Creates the parts of a query that has just begun.
    fn new(counts: Parts) -> Self {
        Self {
            counts,
            shards: Vec::with_capacity(counts.total_count),
            signatures: Vec::with_capacity(counts.total_count),
            bodies: Vec::with_capacity(counts.total_count),
            retry_after: None,
        }
    }

    /// Adds the reply of a shard, or counts the shard as failed.
    fn add(
        &mut self,
        query: &QueryContext,
        shard: &'a str,
        part: Result<TargetReply, ServiceError>,
    ) {
        match part {
            Ok(reply) => match reply.success_signature(&query.shared.header_names.signature) {
                Some(signature) => {
                    self.counts.arrived_count += 1;
                    self.shards.push(shard);
                    self.signatures.push(signature.clone());
                    self.bodies.push(reply.body);
                }
                None => self.counts.failed_count += 1,
            },
            Err(error) => {
                self.counts.failed_count += 1;
                self.retry_after = match (self.retry_after, error.retry_after) {
                    (Some(one), Some(other)) => Some(one.min(other)),
                    (one, other) => one.or(other),
                };
            }
        }
    }

    /// Returns the shards whose part is missing.
    fn missing_shards(&self, gather: &'a ScatterGather) -> Vec<&'a str> {
        let shards = gather.shards.iter().map(|shard| &**shard);
        shards
            .filter(|shard| !self.shards.contains(shard))
            .collect()
    }

    /// Returns the error for a query that has too few parts for the required coverage.
    ///
    /// The query counts as not run only if no shard ran it and none may still run it.
    fn error(&self, query: &QueryContext, may_have_run: bool) -> RequestError {
        if !may_have_run {
            let retry_after = self.retry_after.unwrap_or_default().max(RETRY_AFTER_MIN);
            return RequestError::not_run(RequestErrorKind::CoverageLow)
                .with_retry_after(retry_after);
        }
        match query.time_left().is_zero() {
            true => RequestError::may_have_run(RequestErrorKind::TimedOut),
            false => RequestError::may_have_run(RequestErrorKind::CoverageLow),
        }
    }
}
