//! A target that may get the request.

use std::time::Duration;

use super::TargetLoad;

/// Whether a target can get the request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The target can get it.
    Free,
    /// The target accepts requests, but this process has no capacity for it: no connection, or no free slot.
    Busy,
    /// The target can't get this request at all; its load still counts in the mean of the service.
    Excluded,
}

/// What the choice depends on, for one target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Whether the target can get the request now.
    pub availability: Availability,
    /// Number of requests that the target processes at a time.
    pub slots: f64,
    /// Expected cost by latency and failures; 1 for a healthy target of mean latency.
    pub health_cost: f64,
    /// Whether the target is ejected because it did not reply.
    pub is_ejected: bool,
    /// Whether the target has rejected a request as full and its backoff has not ended.
    pub is_backed_off: bool,
    /// Whether the target is in the zone of this process.
    pub is_own_zone: bool,
    /// Whether the target is cold.
    pub is_cold: bool,
    /// Requests of this process in flight.
    pub own_in_flight: f64,
    /// Requests of the other processes in flight, weighted by the age of the reports.
    pub reported_in_flight: f64,
    /// Recent requests of this process, which weigh less the older they are.
    pub own_requests: f64,
    /// Recent requests of the other processes.
    pub reported_requests: f64,
    /// Time in flight of the recent requests of all processes in seconds, all together.
    pub time_s: f64,
    /// Time without a reply, as a multiple of the time that is usual; 0 up to that.
    pub silence: f64,
    /// Part of its usual share that the target gets because it returned a short while ago, up to 1.
    pub start_share: f64,
}

impl Candidate {
    /// Returns a free target in the zone of this process with the load `load` and nothing against it.
    pub fn new(load: &TargetLoad, slots: u32, now: Duration) -> Self {
        Self {
            availability: Availability::Free,
            slots: f64::from(slots.max(1)),
            health_cost: 1.0,
            is_ejected: false,
            is_backed_off: load.backoff().is_active(now),
            is_own_zone: true,
            is_cold: false,
            own_in_flight: f64::from(load.in_flight()),
            reported_in_flight: load.reported_in_flight(now),
            own_requests: load.own_requests(now),
            reported_requests: load.reported_requests(now),
            time_s: load.own_time_s(now) + load.reported_time_s(now),
            silence: load.silence(now),
            start_share: load.start_share(now),
        }
    }

    /// Returns the recent requests of all processes.
    pub fn requests(&self) -> f64 {
        self.own_requests + self.reported_requests
    }
}
