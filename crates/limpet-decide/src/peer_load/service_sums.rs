//! Sums of the reported rates of each service.

use std::collections::HashMap;

use limpet_types::message::{
    NameHash,
    ServiceUse, //
};

/// Requests for each service by all stored reports. The sums are integers, so that adding and removing reports does not
/// let them drift.
#[derive(Debug, Default)]
pub(super) struct ServiceSums {
    /// Services with requests, in requests per ten seconds.
    by_service: HashMap<NameHash, u64>,
}

impl ServiceSums {
    /// Adds the rates of a report.
    pub(super) fn add(&mut self, services: &[ServiceUse]) {
        for entry in services {
            let sum = self.by_service.entry(entry.service).or_default();
            *sum += u64::from(entry.requests_per_10_s);
        }
    }

    /// Removes the rates of a report that was added.
    pub(super) fn remove(&mut self, services: &[ServiceUse]) {
        for entry in services {
            if let Some(sum) = self.by_service.get_mut(&entry.service) {
                *sum = sum.saturating_sub(u64::from(entry.requests_per_10_s));
                if *sum == 0 {
                    self.by_service.remove(&entry.service);
                }
            }
        }
    }

    /// Returns the requests for a service, in requests per ten seconds.
    pub(super) fn per_10_s(&self, service: NameHash) -> u64 {
        self.by_service.get(&service).copied().unwrap_or_default()
    }
}
