//! First attempts of a query.

use std::time::Duration;

use limpet_types::{
    IndexVersion,
    RefusalCode, //
};

use crate::{
    replica::{
        Candidate,
        Choice,
        Views,
        select, //
    },
    snapshot::choose, //
};

/// One shard of a query with the replicas that may answer it.
#[derive(Clone, Debug)]
pub struct PlanShard {
    /// Replicas in the order of the text.
    pub candidates: Vec<Candidate>,
}

/// First attempt at one shard.
pub type PlannedAttempt = Result<Choice, RefusalCode>;

/// Pins a version, if the service has snapshots, and chooses a replica for each shard.
///
/// `draw` returns uniform numbers in `0..1`.
pub fn plan(
    views: &Views,
    shards: &[PlanShard],
    with_snapshot: bool,
    now: Duration,
    mut draw: impl FnMut() -> f64,
) -> (Option<IndexVersion>, Vec<PlannedAttempt>) {
    let pinned = with_snapshot.then(|| choose(views, shards)).flatten();
    let attempts = shards
        .iter()
        .map(|shard| select(views, &shard.candidates, pinned, now, draw()))
        .collect();
    (pinned, attempts)
}
