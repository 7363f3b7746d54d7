//! Selection of a replica by the load, latency and failures that this entry has observed.

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
