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

/// Fraction of the latency goal after which a partial answer is sent if it has the required coverage.
const PARTIAL_ANSWER_GOAL_FRACTION: f64 = 0.85;
/// Time reserved for the network between the caller and this process, including the round trips of a new
/// connection. Callers are at most 3 ms away, one way.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(14);

/// The parts that have arrived and the number of shards that failed.
struct GatheredParts<'a> {
    /// Shards whose part has arrived.
    shards: Vec<&'a str>,
    signatures: Vec<HeaderValue>,
    bodies: Vec<bytes::Bytes>,
    failed_count: usize,
    /// Whether a shard that failed may have run the request.
    may_have_run: bool,
}

/// Runs a request at every shard and merges the parts that arrive in time.
pub async fn run_gather(query: Arc<QueryContext>, gather: &ScatterGather) -> Outcome {
    let total = gather.shards.len();
    let needed = (gather.coverage_min * total as f64 - 1e-9).ceil().max(1.0) as usize;
    let mut running = FuturesUnordered::new();
    let skipped = unhealthy_shards(&query, gather, needed);
    let shards = gather.shards.iter().map(|shard| &**shard);
    for shard in shards.filter(|shard| !skipped.contains(shard)) {
        let attempts = ServiceAttempts::new(Arc::clone(&query), shard);
        running.push(async move { (shard, attempts.run().await) });
    }
    let mut parts = GatheredParts {
        shards: Vec::with_capacity(total),
        signatures: Vec::with_capacity(total),
        bodies: Vec::with_capacity(total),
        failed_count: skipped.len(),
        may_have_run: false,
    };
    let partial_answer_at = partial_answer_at(&query);
    let mut accepts_partial = false;
    loop {
        let arrived = parts.bodies.len();
        if arrived == total
            || (accepts_partial && arrived >= needed)
            || arrived + parts.failed_count == total
        {
            break;
        }
        if total - parts.failed_count < needed {
            break;
        }
        tokio::select! {
            part = running.next() => match part {
                Some((shard, part)) => parts.add(&query, shard, part),
                None => break,
            },
            () = sleep_until(partial_answer_at), if !accepts_partial => accepts_partial = true,
            () = sleep_until(query.deadline) => break,
        }
    }
    let arrived = parts.bodies.len();
    if arrived < total {
        let left_out = parts.left_out(gather);
        tracing::info!(
            request_id = query.request_id(),
            ?left_out,
            skipped = skipped.len(),
            needed,
            total,
            is_late = accepts_partial,
            version = query.table.config().version,
            "shards left out"
        );
    }
    if arrived < needed {
        parts.may_have_run |= !running.is_empty();
        return Err(parts.error(&query));
    }
    tracing::debug!(
        request_id = query.request_id(),
        arrived,
        total,
        is_late = accepts_partial,
        "parts gathered"
    );
    Ok(Answer::Gathered {
        signatures: parts.signatures,
        missing: total - arrived,
        body: greatest_records(&parts.bodies, gather.records_max),
    })
}

/// Returns the shards to skip because they have no healthy target, or none if the remaining shards would not
/// reach the required coverage.
///
/// A shard is included again as soon as the ejection of one of its targets ends.
fn unhealthy_shards<'a>(
    query: &QueryContext,
    gather: &'a ScatterGather,
    needed: usize,
) -> Vec<&'a str> {
    let now = query.shared.now();
    let fleet = query.shared.fleet();
    let unhealthy: Vec<&str> = gather
        .shards
        .iter()
        .map(|shard| &**shard)
        .filter(|shard| !fleet.has_healthy_target(shard, now))
        .collect();
    if gather.shards.len() - unhealthy.len() < needed {
        return Vec::new();
    }
    unhealthy
}

/// Returns when a partial answer is sent without waiting for stragglers.
fn partial_answer_at(query: &QueryContext) -> Instant {
    let goal = query.route.latency_goal;
    let by_fraction = goal.mul_f64(PARTIAL_ANSWER_GOAL_FRACTION);
    let by_round_trip = goal.saturating_sub(CALLER_ROUND_TRIP);
    query.arrived + by_fraction.min(by_round_trip).max(goal / 2)
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
    fn left_out(&self, gather: &'a ScatterGather) -> Vec<&'a str> {
        let shards = gather.shards.iter().map(|shard| &**shard);
        shards
            .filter(|shard| !self.shards.contains(shard))
            .collect()
    }

    /// Returns the error of a query with too little coverage.
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
