//! Use of the slots of one service.

/// Weight of a load report that is half a second old, a typical age. Requests in flight are reported with the weight of
/// their age; without a correction, services with all slots in use would count as free.
const REPORTED_WEIGHT: f64 = 0.7;

/// Use of the slots of one service, as a process knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotUse {
    /// Requests of this process in flight.
    pub own_in_flight: f64,
    /// Requests of all other processes in flight as far as they report them, weighted by the ages of the reports; `None` if
    /// that is not known.
    pub reported_in_flight: Option<f64>,
    /// Slots of the targets that accept requests.
    pub slots: f64,
    /// Part of the requests for the service that this process sends.
    pub share: f64,
}

impl SlotUse {
    /// Returns the requests in flight per slot; infinite if no target accepts requests.
    ///
    /// Without reports on the targets, the process compares its own requests with its share of the slots. That says
    /// little if the share is about one slot, because a single request fills it.
    pub fn in_flight_per_slot(&self) -> f64 {
        let (in_flight, slots) = match self.reported_in_flight {
            Some(reported) => (self.own_in_flight + reported / REPORTED_WEIGHT, self.slots),
            None => (self.own_in_flight, self.slots * self.share),
        };
        match slots > 0.0 {
            true => in_flight / slots,
            false => f64::INFINITY,
        }
    }
}
