//! Reported load of all targets of a service.

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
}
