//! Number of connections that a process may hold to one target.

/// Fraction of the usable connections that the aggregators share.
const AGGREGATOR_FRACTION: f64 = 0.5;
/// Equal share of the connections below which a process holds only one, and aggregators get a part of their own.
const EQUAL_SHARE_MIN: f64 = 2.0;

/// Returns the number of connections that a process may hold to a target which has `usable_connections` for all
/// processes; `equal_share` is the part of one process if all get the same.
///
/// `aggregator_count` is the size of the extended set if this process belongs to it. If there are not two connections
/// for each process, its members share half of them beside the one of each process.
pub fn connections_limit(
    usable_connections: f64,
    equal_share: f64,
    aggregator_count: Option<usize>,
) -> usize {
    let aggregator_share = match aggregator_count {
        Some(count) if equal_share < EQUAL_SHARE_MIN => {
            usable_connections * AGGREGATOR_FRACTION / count.max(1) as f64
        }
        Some(_) | None => 0.0,
    };
    (equal_share.max(aggregator_share) as usize).max(1)
}
