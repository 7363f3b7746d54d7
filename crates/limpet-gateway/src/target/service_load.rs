//! Reported load of the targets of a service, and connections to them.

use std::time::Duration;

use super::Fleet;

impl Fleet {
    /// Returns the reported requests of the other processes in flight to the targets of a service that accept new
    /// requests.
    pub fn reported_in_flight(&self, service: &str, now: Duration) -> f64 {
        let targets = self.targets(service).iter();
        let usable = targets.filter(|target| target.allows_request(now));
        usable
            .map(|target| target.load().reported_in_flight(now))
            .sum()
    }

    /// Returns whether this process holds an idle connection to a target of a service that accepts new requests.
    pub fn has_idle_connection(&self, service: &str, now: Duration) -> bool {
        let mut targets = self.targets(service).iter();
        targets.any(|target| target.allows_request(now) && target.pool().has_idle())
    }
}
