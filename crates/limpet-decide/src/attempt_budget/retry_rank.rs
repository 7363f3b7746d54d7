//! Order in which waiting requests get what becomes available.

use std::time::Duration;

/// Rank of a waiting request; the smallest one is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryRank {
    /// Priority of the query; 0 is the highest.
    pub priority: u32,
    /// Number of parts that the query still lacks.
    pub missing_count: usize,
    /// End of the latency goal of the query.
    pub goal_at: Duration,
}
