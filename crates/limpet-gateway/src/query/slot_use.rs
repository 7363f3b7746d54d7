//! Use of the slots of services by the requests of this process.

use limpet_decide::peer_load::name_hash;

use crate::shared_state::SharedState;

/// Returns for each service the requests of this process in flight per slot of its share of the targets.
///
/// The share is its part of the reported requests for the service; without reports it is equal to that of any other
/// process. A service without usable slots has infinitely many requests per slot.
pub(super) fn in_flight_per_slot(shared: &SharedState, services: &[&str]) -> Vec<f64> {
    let now = shared.now();
    // All services of a group get the same requests.
    let share = services
        .first()
        .and_then(|service| shared.reported_share(name_hash(service), now));
    let process_count = shared.rate_limiter().process_counts().total.max(1);
    let share = share.unwrap_or(1.0 / process_count as f64);
    let fleet = shared.fleet();
    let of_service = |service: &str| {
        let (in_flight_count, slot_count) = fleet.in_flight_and_slot_counts(service, now);
        let own_slots = f64::from(slot_count) * share;
        match own_slots > 0.0 {
            true => f64::from(in_flight_count) / own_slots,
            false => f64::INFINITY,
        }
    };
    services.iter().map(|service| of_service(service)).collect()
}
