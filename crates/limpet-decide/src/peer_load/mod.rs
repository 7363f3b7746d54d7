//! Load that processes report to each other, beside what each observes itself.
//!
//! Answers this load: in a large fleet each process sees a small part of the requests that a target gets, and what it
//! hears from the others is late. Reports are therefore weighted by their age, and without them a process decides
//! on its own observations.

mod decayed_rate;
mod load_tracker;
mod mean_in_flight;
mod peer_loads;
mod service_sums;
mod target_sums;

use std::time::Duration;

use limpet_types::{
    hash::stable_hash,
    message::NameHash, //
};

pub use self::{
    decayed_rate::DecayedRate,
    load_tracker::LoadTracker,
    mean_in_flight::MeanInFlight,
    peer_loads::{
        PeerLoads,
        ReportedGatherLoad,
        ReportedTargetLoad, //
    },
};

/// Shortest time between two load reports of a process.
pub const LOAD_REPORT_PERIOD: Duration = Duration::from_millis(400);
/// Time over which the requests to a target and their time are counted. It must be longer than the time between two
/// reports: with counts over 2 s and reports 0.4 s late, the busiest of 34 targets got 1.20 times the mean instead of
/// 1.17. With 10 s, a slow target of a shard got twice as many requests as with 5 s before it was known as slow.
pub const TARGET_REQUESTS_TIME: Duration = Duration::from_secs(5);
/// Maximum number of services in a report.
pub const SERVICES_MAX: usize = 64;
/// Maximum number of targets in a report.
pub const TARGETS_MAX: usize = 32;

/// Returns the hash by which load reports name a service or a target.
pub fn name_hash(name: &str) -> NameHash {
    stable_hash(name.as_bytes()) as NameHash
}
