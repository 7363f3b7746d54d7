//! First attempts of a query.

use std::time::Duration;

use limpet_types::{
    IndexVersion,
    RefusalCode, //
};

use crate::{
    replica::{
        Candidate,
        Selection,
        TargetStatsTable,
        select_replica, //
    },
    snapshot::choose_version, //
};

/// One shard of a query with the replicas that may answer it.
#[derive(Clone, Debug)]
pub struct ShardCandidates {
    /// Replicas in the order of the text.
    pub candidates: Vec<Candidate>,
}

/// First attempt at one shard.
pub type PlannedAttempt = Result<Selection, RefusalCode>;

/// Pins a version, if the service has snapshots, and chooses a replica for each shard.
///
/// `draw` returns uniform numbers in `0..1`.
pub fn plan_attempts(
    views: &TargetStatsTable,
    shards: &[ShardCandidates],
    uses_snapshots: bool,
    now: Duration,
    mut draw: impl FnMut() -> f64,
) -> (Option<IndexVersion>, Vec<PlannedAttempt>) {
    let pinned = uses_snapshots
        .then(|| choose_version(views, shards))
        .flatten();
    let attempts = shards
        .iter()
        .map(|shard| select_replica(views, &shard.candidates, pinned, now, draw()))
        .collect();
    (pinned, attempts)
}
