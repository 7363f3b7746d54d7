//! Replica selection by what this entry has observed of each target.

mod select;
mod target_stats;

pub use select::{
    COLD_PROBE_SHARE,
    ReplicaCandidate,
    Selection,
    SelectionReason,
    select_replica, //
};
pub use target_stats::{
    TargetStats,
    TargetStatsTable, //
};
