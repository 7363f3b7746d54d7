//! The choice between targets that counts their requests and not the time that these take, as a measure for the choice
//! of this crate. All targets are free.

use limpet_decide::{
    balance::Candidate,
    peer_load::TARGET_REQUESTS_TIME, //
};

const CROSS_ZONE_COST: f64 = 0.35;
const COST_JITTER: f64 = 0.3;

/// Returns the index of the target that gets the request.
pub(crate) fn choose_by_requests(candidates: &[Candidate], mut draw: impl FnMut() -> f64) -> usize {
    let sums = Sums::new(candidates);
    let usable =
        |one: &Candidate| !one.is_backed_off || candidates.iter().all(|one| one.is_backed_off);
    let indexes: Vec<usize> = (0..candidates.len())
        .filter(|index| usable(&candidates[*index]))
        .collect();
    let own_share = match sums.requests > 0.0 {
        true => sums.own_requests / sums.requests,
        false => 1.0,
    };
    let drawn_count = 2 + (own_share * indexes.len() as f64) as usize;
    if drawn_count >= indexes.len() {
        let mut cost =
            |index: &usize| sums.cost(&candidates[*index]) * (1.0 + COST_JITTER * draw());
        let costs = indexes.iter().map(|index| (cost(index), *index));
        return costs
            .min_by(|one, other| one.0.total_cmp(&other.0))
            .unwrap()
            .1;
    }
    let weights: Vec<f64> = indexes
        .iter()
        .map(|index| sums.draw_weight(&candidates[*index]))
        .collect();
    let weight_sum: f64 = weights.iter().sum();
    let share_max = (2.0 / indexes.len() as f64).min(0.75);
    let mut weights: Vec<f64> = weights
        .iter()
        .map(|weight| weight.min((weight_sum - weight) * share_max / (1.0 - share_max)))
        .collect();
    let mut best = (f64::MAX, 0);
    for draw_number in 0..drawn_count {
        let mut position = draw() * weights.iter().sum::<f64>();
        let drawn = weights.iter().position(|weight| {
            position -= weight;
            position <= 0.0
        });
        let drawn = drawn.unwrap_or(indexes.len() - 1);
        let one = &candidates[indexes[drawn]];
        let cost = one.health_cost * (1.0 + one.own_in_flight / one.slots + one.silence);
        if cost < best.0 {
            best = (cost, indexes[drawn]);
        }
        if draw_number == 0 {
            weights[drawn] = 0.0;
        }
    }
    best.1
}

struct Sums {
    slots: f64,
    requests: f64,
    own_requests: f64,
    in_flight: f64,
    in_flight_gain: f64,
    cross_zone_cost: f64,
}

impl Sums {
    fn new(candidates: &[Candidate]) -> Self {
        let sum = |value: fn(&Candidate) -> f64| candidates.iter().map(value).sum::<f64>();
        let slots = sum(|one| one.slots);
        let requests = sum(Candidate::requests);
        let in_flight = sum(|one| one.own_in_flight + one.reported_in_flight);
        let zone = candidates.iter().filter(|one| one.is_own_zone);
        let (zone_slots, zone_requests) = zone.fold((0.0, 0.0), |(slots, requests), one| {
            (slots + one.slots, requests + one.requests())
        });
        let zone_load = match zone_slots > 0.0 && requests > 0.0 {
            true => zone_requests / zone_slots / (requests / slots),
            false => 0.0,
        };
        let time_in_flight_s = match requests > 0.0 {
            true => in_flight * TARGET_REQUESTS_TIME.as_secs_f64() / requests,
            false => 0.0,
        };
        Self {
            slots,
            requests,
            own_requests: sum(|one| one.own_requests),
            in_flight,
            in_flight_gain: time_in_flight_s.min(1.0),
            cross_zone_cost: CROSS_ZONE_COST * ((1.15 - zone_load) / 0.15).clamp(0.0, 1.0),
        }
    }

    fn cost(&self, one: &Candidate) -> f64 {
        let load = one.own_in_flight / one.slots + one.silence;
        let zone = if one.is_own_zone {
            0.0
        } else {
            self.cross_zone_cost
        };
        one.health_cost * (1.0 + load) + self.excess(one).clamp(-0.5, 2.0) + 0.5 + zone
    }

    fn draw_weight(&self, one: &Candidate) -> f64 {
        let in_flight = (one.own_in_flight + one.reported_in_flight) / one.slots;
        let in_flight = in_flight - self.in_flight / self.slots;
        let balance = 1.0 - 6.0 * self.excess(one) - self.in_flight_gain * in_flight;
        let zone = if one.is_own_zone {
            0.0
        } else {
            self.cross_zone_cost
        };
        one.slots * balance.clamp(0.1, 3.0) / (1.0 + zone) / one.health_cost.max(1.0).powi(2)
    }

    fn excess(&self, one: &Candidate) -> f64 {
        let mean_requests = self.requests * one.slots / self.slots;
        match mean_requests > 0.0 {
            true => one.requests() / mean_requests - 1.0,
            false => 0.0,
        }
    }
}
