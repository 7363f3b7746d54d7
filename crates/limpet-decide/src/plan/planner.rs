//! Selects the first attempt of a query at each shard.

use std::time::Duration;

use limpet_types::{
    IndexVersion,
    RefusalCode, //
};

use crate::{
    replica::{
        ReplicaCandidate,
        Selection,
        TargetStatsTable,
        select_replica, //
    },
    snapshot::choose_version, //
};

/// Replicas that may answer a query for one shard.
#[derive(Clone, Debug)]
pub struct ShardCandidates {
    /// Replicas of the shard, in the order of the configuration.
    pub candidates: Vec<ReplicaCandidate>,
}

/// Replica selected for the first attempt at one shard, or why there is none.
pub type PlannedAttempt = Result<Selection, RefusalCode>;

/// Selects a replica for each shard; returns the index version that the query pins, if any, and the
/// selections in the order of `shards`.
///
/// If the service has snapshots, the version is chosen first, and only targets that may have it are
/// selected. `random_fraction` returns uniformly distributed numbers in `0..1`.
pub fn plan_attempts(
    table: &TargetStatsTable,
    shards: &[ShardCandidates],
    service_has_snapshots: bool,
    now: Duration,
    mut random_fraction: impl FnMut() -> f64,
) -> (Option<IndexVersion>, Vec<PlannedAttempt>) {
    let pinned_version = service_has_snapshots
        .then(|| choose_version(table, shards))
        .flatten();
    let attempts = shards
        .iter()
        .map(|shard| {
            select_replica(
                table,
                &shard.candidates,
                pinned_version,
                now,
                random_fraction(),
            )
        })
        .collect();
    (pinned_version, attempts)
}
