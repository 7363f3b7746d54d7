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
use limpet_types::deployment::ScatterGather;
use tokio::time::{
    Instant,
    sleep_until, //
};

use super::{
    Answer, Outcome, QueryContext, RequestError, RequestErrorKind, greatest_records,
    service_attempts::{
        ServiceAttempts,
        ServiceError, //
    },
};
use crate::target::TargetReply;

/// Fraction of the latency goal after which, at the latest, a partial answer is sent if it has the required
/// coverage.
const PARTIAL_ANSWER_GOAL_FRACTION: f64 = 0.85;
/// Time reserved for the network between the caller and this process, including the round trips of a new
/// connection. The one-way latency to callers is at most 3 ms.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(14);

/// The parts of an answer that have arrived, and the number of shards that failed.
struct GatheredParts<'a> {
    /// Shards whose part has arrived.
    shards: Vec<&'a str>,
    /// Signature of each part.
    signatures: Vec<HeaderValue>,
    /// Body of each part.
    bodies: Vec<bytes::Bytes>,
    /// Number of shards that failed or were skipped.
    failed_count: usize,
    /// Whether a shard that failed may have run the request.
    may_have_run: bool,
}

/// Runs a request at every shard and merges the parts that arrive in time.
pub async fn run_scatter_gather(query: Arc<QueryContext>, gather: &ScatterGather) -> Outcome {
    let shard_count = gather.shards.len();
    // The subtraction keeps a rounding error from raising the number by one.
    let parts_min = (gather.coverage_min * shard_count as f64 - 1e-9)
        .ceil()
        .max(1.0) as usize;
    let mut pending_shards = FuturesUnordered::new();
    let skipped_shards = unhealthy_shards(&query, gather, parts_min);
    let shards = gather.shards.iter().map(|shard| &**shard);
    for shard in shards.filter(|shard| !skipped_shards.contains(shard)) {
        let attempts = ServiceAttempts::new(Arc::clone(&query), shard);
        pending_shards.push(async move { (shard, attempts.run().await) });
    }
    let mut parts = GatheredParts {
        shards: Vec::with_capacity(shard_count),
        signatures: Vec::with_capacity(shard_count),
        bodies: Vec::with_capacity(shard_count),
        failed_count: skipped_shards.len(),
        may_have_run: false,
    };
    let partial_answer_at = partial_answer_at(&query);
    let mut is_partial_accepted = false;
    loop {
        let arrived_count = parts.bodies.len();
        if arrived_count == shard_count
            || (is_partial_accepted && arrived_count >= parts_min)
            || arrived_count + parts.failed_count == shard_count
        {
            break;
        }
        if shard_count - parts.failed_count < parts_min {
            break;
        }
        tokio::select! {
            part = pending_shards.next() => match part {
                Some((shard, part)) => parts.add(&query, shard, part),
                None => break,
            },
            () = sleep_until(partial_answer_at), if !is_partial_accepted => is_partial_accepted = true,
            () = sleep_until(query.deadline) => break,
        }
    }
    let arrived_count = parts.bodies.len();
    if arrived_count < shard_count {
        let missing_shards = parts.missing_shards(gather);
        tracing::info!(
            request_id = query.request_id(),
            left_out = ?missing_shards,
            skipped = skipped_shards.len(),
            needed = parts_min,
            total = shard_count,
            is_late = is_partial_accepted,
            version = query.route_table.config().version,
            "shards left out"
        );
    }
    if arrived_count < parts_min {
        parts.may_have_run |= !pending_shards.is_empty();
        return Err(parts.error(&query));
    }
    tracing::debug!(
        request_id = query.request_id(),
        arrived = arrived_count,
        total = shard_count,
        is_late = is_partial_accepted,
        "parts gathered"
    );
    Ok(Answer::Gathered {
        signatures: parts.signatures,
        missing_count: shard_count - arrived_count,
        body: greatest_records(&parts.bodies, gather.records_max),
    })
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

/// Returns the time from which on a partial answer is sent without waiting for stragglers.
fn partial_answer_at(query: &QueryContext) -> Instant {
    let goal = query.route.latency_goal;
    let delay_by_fraction = goal.mul_f64(PARTIAL_ANSWER_GOAL_FRACTION);
    let delay_by_round_trip = goal.saturating_sub(CALLER_ROUND_TRIP);
    query.arrived_at + delay_by_fraction.min(delay_by_round_trip).max(goal / 2)
}

impl<'a> GatheredParts<'a> {
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
                    self.shards.push(shard);
                    self.signatures.push(signature.clone());
                    self.bodies.push(reply.body);
                }
                None => {
                    self.failed_count += 1;
                    self.may_have_run = true;
                }
            },
            Err(error) => {
                self.failed_count += 1;
                self.may_have_run |= !error.is_not_run;
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
    fn error(&self, query: &QueryContext) -> RequestError {
        if query.time_left().is_zero() {
            return RequestError::may_have_run(RequestErrorKind::TimedOut);
        }
        let may_have_run = !self.bodies.is_empty() || self.may_have_run;
        match may_have_run {
            true => RequestError::may_have_run(RequestErrorKind::CoverageLow),
            false => RequestError::not_run(RequestErrorKind::CoverageLow),
        }
    }
}
