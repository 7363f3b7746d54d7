//! Decides which processes may send to a cold target, and how often.
//!
//! Answers this load: a target returns cold while every process of a large fleet has requests for it. With
//! a share of the rate for each process, the sum depends on when the processes happen to send; here only
//! as many processes send as the rate has requests per second, so that the sum stays below the rate however
//! their requests coincide.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use limpet_types::hash::stable_hash_parts;

/// Fraction of the target's stated rate that is used. Two requests of one process may fall into a second if
/// its send interval is shorter than that, so the sum may reach twice this fraction.
const RATE_FRACTION: f64 = 0.5;

/// Returns the time between two requests of one process to a cold target, or `None` if the process may send
/// none.
///
/// `rank` is the rank of the process among the `process_count` processes, from 0, for this target;
/// `rate_per_s` is the rate that the target can bear from all processes together.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use limpet_decide::cold_share::send_interval;
///
/// // Ten of the processes send once per second each.
/// assert_eq!(send_interval(20.0, 9, 300), Some(Duration::from_secs(1)));
/// assert_eq!(send_interval(20.0, 10, 300), None);
/// ```
pub fn send_interval(rate_per_s: f64, rank: usize, process_count: usize) -> Option<Duration> {
    let used_rate_per_s = rate_per_s * RATE_FRACTION;
    let sender_count = (used_rate_per_s as usize).clamp(1, process_count.max(1));
    if rank >= sender_count {
        return None;
    }
    Duration::try_from_secs_f64(sender_count as f64 / used_rate_per_s).ok()
}

/// Returns the rank of the process at `own` for a target: the number of other processes whose hash for the
/// target is lower.
///
/// The ranks of a process at different targets are independent, so the work is spread over all processes.
pub fn rank(target_id: &str, own: SocketAddr, others: impl Iterator<Item = SocketAddr>) -> usize {
    let hash = |process: SocketAddr| {
        let process = process.to_string();
        stable_hash_parts(&[target_id.as_bytes(), process.as_bytes()])
    };
    let own_hash = hash(own);
    others.filter(|other| hash(*other) < own_hash).count()
}
