//! A request to one target of each shard.

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
    repeat::{
        Repeater, //
        ServiceError,
    },
};
use crate::target::TargetReply;

/// Part of the latency goal after which an answer goes out with the parts that are there.
const PARTIAL_GOAL_PART: f64 = 0.85;
/// Time kept for the way between the caller and this process in both directions, a new connection
/// included; the longest that the users state is 3 ms one way.
const CALLER_WAY: Duration = Duration::from_millis(14);

struct Parts<'a> {
    /// Shards whose part is there.
    shards: Vec<&'a str>,
    signatures: Vec<HeaderValue>,
    bodies: Vec<bytes::Bytes>,
    failed: usize,
    may_have_run: bool,
}

/// Runs a request at every shard and answers with the parts that came in time.
pub async fn run_gather(query: Arc<QueryContext>, gather: &ScatterGather) -> Outcome {
    let total = gather.shards.len();
    let needed = (gather.coverage_min * total as f64 - 1e-9).ceil().max(1.0) as usize;
    let mut running = FuturesUnordered::new();
    let skipped = unsound_shards(&query, gather, needed);
    let shards = gather.shards.iter().map(|shard| &**shard);
    for shard in shards.filter(|shard| !skipped.contains(shard)) {
        let repeater = Repeater::new(Arc::clone(&query), shard);
        running.push(async move { (shard, repeater.run().await) });
    }
    let mut parts = Parts {
        shards: Vec::with_capacity(total),
        signatures: Vec::with_capacity(total),
        bodies: Vec::with_capacity(total),
        failed: skipped.len(),
        may_have_run: false,
    };
    let partial_at = partial_at(&query);
    let mut is_late = false;
    loop {
        let arrived = parts.bodies.len();
        if arrived == total || (is_late && arrived >= needed) || arrived + parts.failed == total {
            break;
        }
        if total - parts.failed < needed {
            break;
        }
        tokio::select! {
            part = running.next() => match part {
                Some((shard, part)) => parts.add(&query, shard, part),
                None => break,
            },
            () = sleep_until(partial_at), if !is_late => is_late = true,
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
            is_late,
            version = query.table.text().version,
            "shards left out"
        );
    }
    if arrived < needed {
        parts.may_have_run |= !running.is_empty();
        return Err(parts.refusal(&query));
    }
    tracing::debug!(
        request_id = query.request_id(),
        arrived,
        total,
        is_late,
        "parts gathered"
    );
    Ok(Answer::Gathered {
        signatures: parts.signatures,
        missing: total - arrived,
        body: greatest_records(&parts.bodies, gather.records_max),
    })
}

/// Returns the shards that are left out because none of their targets answers, as long as the others
/// cover enough. Once the targets may be tried again, their shard is asked again.
fn unsound_shards<'a>(
    query: &QueryContext,
    gather: &'a ScatterGather,
    needed: usize,
) -> Vec<&'a str> {
    let now = query.shared.now();
    let fleet = query.shared.fleet();
    let unsound: Vec<&str> = gather
        .shards
        .iter()
        .map(|shard| &**shard)
        .filter(|shard| !fleet.has_healthy_target(shard, now))
        .collect();
    if gather.shards.len() - unsound.len() < needed {
        return Vec::new();
    }
    unsound
}

/// Returns when an answer goes out without the parts of stragglers.
fn partial_at(query: &QueryContext) -> Instant {
    let goal = query.route.latency_goal;
    let by_part = goal.mul_f64(PARTIAL_GOAL_PART);
    let by_way = goal.saturating_sub(CALLER_WAY);
    query.arrived + by_part.min(by_way).max(goal / 2)
}

impl<'a> Parts<'a> {
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
                    self.failed += 1;
                    self.may_have_run = true;
                }
            },
            Err(error) => {
                self.failed += 1;
                self.may_have_run |= !error.is_not_run;
            }
        }
    }

    /// Returns the shards without a part.
    fn left_out(&self, gather: &'a ScatterGather) -> Vec<&'a str> {
        let shards = gather.shards.iter().map(|shard| &**shard);
        shards
            .filter(|shard| !self.shards.contains(shard))
            .collect()
    }

    /// A request did not run only if no shard ran it or may still do so.
    fn refusal(&self, query: &QueryContext) -> RequestError {
        if query.left().is_zero() {
            return RequestError::may_have_run(RequestErrorKind::TimedOut);
        }
        let has_run = !self.bodies.is_empty() || self.may_have_run;
        match has_run {
            true => RequestError::may_have_run(RequestErrorKind::CoverageLow),
            false => RequestError::not_run(RequestErrorKind::CoverageLow),
        }
    }
}
