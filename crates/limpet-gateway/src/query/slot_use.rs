//! Use of the slots of services.

use limpet_decide::{
    admission::SlotUse,
    peer_load::name_hash,
    spread::DIRECT_PROCESSES_MAX, //
};

use crate::shared_state::SharedState;

/// Returns for each service of a scatter-gather query the requests of this process in flight per slot of its share of
/// the targets.
///
/// The share is its part of the reported requests for the service; without reports it is equal to that of any other
/// process. A service without usable slots has infinitely many requests per slot.
pub(super) fn in_flight_per_slot(shared: &SharedState, services: &[&str]) -> Vec<f64> {
    let now = shared.now();
    // All services of a group get the same requests.
    let reported_share = services
        .first()
        .and_then(|service| shared.reported_share(name_hash(service), now));
    let share = reported_share.unwrap_or_else(|| equal_share(shared));
    let fleet = shared.fleet();
    let of_service = |service: &str| {
        let (in_flight_count, slot_count) = fleet.in_flight_and_slot_counts(service, now);
        let slot_use = SlotUse {
            own_in_flight: f64::from(in_flight_count),
            reported_in_flight: None,
            slots: f64::from(slot_count),
            share,
        };
        slot_use.in_flight_per_slot()
    };
    services.iter().map(|service| of_service(service)).collect()
}

/// Returns the requests in flight per slot of the service of a single lookup that has just ended.
///
/// Where many processes share the targets, the share of one is about one slot, so the load that the others report is
/// counted instead. A small fleet reports no load of targets.
pub(super) fn lookup_in_flight_per_slot(shared: &SharedState, service: &str) -> f64 {
    let now = shared.now();
    let reported_share = shared.reported_share(name_hash(service), now);
    let share = reported_share.unwrap_or_else(|| equal_share(shared));
    let process_count = shared.rate_limiter().process_counts().total;
    let fleet = shared.fleet();
    let (in_flight_count, slot_count) = fleet.in_flight_and_slot_counts(service, now);
    let is_reported = process_count > DIRECT_PROCESSES_MAX && reported_share.is_some();
    let slot_use = SlotUse {
        // The lookup used a slot until now.
        own_in_flight: f64::from(in_flight_count) + 1.0,
        reported_in_flight: is_reported.then(|| fleet.reported_in_flight(service, now)),
        slots: f64::from(slot_count),
        share,
    };
    slot_use.in_flight_per_slot()
}

/// Returns the share of each process if all send the same number of requests.
fn equal_share(shared: &SharedState) -> f64 {
    1.0 / shared.rate_limiter().process_counts().total.max(1) as f64
}
