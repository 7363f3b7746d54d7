//! The choice between the targets of a service.

use super::{
    Availability,
    Candidate, //
};
use crate::peer_load::TARGET_REQUESTS_TIME;

/// Added cost of a target in another zone, relative to a request of mean latency.
const CROSS_ZONE_COST: f64 = 0.35;
/// Load of the own zone's targets, relative to the mean of the service, from which its preference is reduced.
const ZONE_LOAD_PREFERRED: f64 = 1.0;
/// Load of the own zone's targets, relative to the mean of the service, from which it isn't preferred.
const ZONE_LOAD_MAX: f64 = 1.15;
/// Added cost of a cold target, relative to a request of mean latency.
const COLD_COST: f64 = 0.6;
/// Largest random increase of the cost, as a fraction of it, so that processes that see no load of each other don't all
/// pick the same target.
const COST_JITTER: f64 = 0.3;
/// Number of targets that are drawn if this process sends a negligible part of the requests.
const DRAWN_TARGETS_MIN: usize = 2;
/// Added cost of a target that got twice the mean of the recent requests.
const REQUESTS_COST: f64 = 1.0;
/// Limits of the excess of recent requests over their mean, relative to it. A target that got few, because it was
/// full or paused, must not get all requests once it is back.
const REQUESTS_EXCESS_RANGE: (f64, f64) = (-0.5, 2.0);

/// Decrease of the weight of a target by recent requests beyond the mean, relative to the mean. With 8, processes overshoot
/// before they hear of each other, and requests wait longer where the slots are well used; with 4, single runs of 30 s
/// over 34 targets reached 1.25 times the mean.
const REQUESTS_GAIN: f64 = 6.0;
/// Largest decrease of the weight of a target by requests in flight beyond the mean, for each of its slots.
const IN_FLIGHT_GAIN_MAX: f64 = 1.0;
/// Time in flight at which this decrease is reached. Requests that are much shorter have ended before others hear of
/// them: a target that paused would be avoided when it is idle again.
const IN_FLIGHT_TIME_S: f64 = 1.0;
/// Smallest part of its share that the load of a target leaves it, so that a false report doesn't empty it.
const BALANCE_MIN: f64 = 0.1;
/// Largest weight that a target gets for its lack of load, relative to one of mean load.
const BALANCE_MAX: f64 = 3.0;
/// Largest multiple of its share by slots with which a target is drawn. A target that returned has few recent requests
/// for longer than its slow start lasts.
const SHARE_MAX_FACTOR: f64 = 2.0;
/// Largest share with which a target is drawn if there are others.
const SHARE_MAX: f64 = 0.75;

/// How much of the load of the targets a process sees itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// So much that the least cost by own observations is a good choice.
    Whole,
    /// A small part in a large fleet.
    Part,
}

/// Returns the index of the target that gets the request; `None` if none can get it now.
///
/// `draw` returns random numbers from 0 to 1. Ejected targets are chosen only if no other can get the request, and
/// those in their backoff after a rejection only if no other target accepts requests, not even a busy one.
pub fn choose(
    candidates: &[Candidate],
    view: View,
    mut draw: impl FnMut() -> f64,
) -> Option<usize> {
    let accepts = |candidate: &Candidate| {
        candidate.availability != Availability::Excluded
            && !candidate.is_ejected
            && !candidate.is_backed_off
    };
    let has_accepting = candidates.iter().any(accepts);
    let tier = |candidate: &Candidate| {
        let is_free = candidate.availability == Availability::Free;
        match is_free && !(candidate.is_backed_off && has_accepting) {
            true => Some((candidate.is_ejected, candidate.is_backed_off)),
            false => None,
        }
    };
    let best_tier = candidates.iter().filter_map(tier).min()?;
    let is_eligible = |candidate: &Candidate| tier(candidate) == Some(best_tier);
    match view {
        View::Whole => cheapest(candidates, is_eligible, |candidate| {
            let load = candidate.own_in_flight / candidate.slots;
            let mut cost = candidate.health_cost * (1.0 + load);
            if !candidate.is_own_zone {
                cost += CROSS_ZONE_COST;
            }
            (cost + cold_cost(candidate)) * (1.0 + COST_JITTER * draw())
        }),
        View::Part => choose_by_reports(candidates, is_eligible, draw),
    }
}

/// Returns the index of the eligible target with the lowest cost.
fn cheapest(
    candidates: &[Candidate],
    is_eligible: impl Fn(&Candidate) -> bool,
    mut cost: impl FnMut(&Candidate) -> f64,
) -> Option<usize> {
    let mut best: Option<(f64, usize)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        if !is_eligible(candidate) {
            continue;
        }
        let cost = cost(candidate);
        if best.is_none_or(|(best_cost, _)| cost < best_cost) {
            best = Some((cost, index));
        }
    }
    best.map(|(_, index)| index)
}

/// Returns the index of the cheapest of some eligible targets, drawn at random: the fewer, the less of the load this
/// process sends itself.
fn choose_by_reports(
    candidates: &[Candidate],
    is_eligible: impl Fn(&Candidate) -> bool,
    mut draw: impl FnMut() -> f64,
) -> Option<usize> {
    let sums = LoadSums::new(candidates);
    let eligible_count = candidates.iter().filter(|one| is_eligible(one)).count();
    let drawn_count = DRAWN_TARGETS_MIN + (sums.own_share() * eligible_count as f64) as usize;
    if drawn_count >= eligible_count {
        // A target that returned takes part in a fraction of the choices.
        let takes_part_draw = draw();
        let takes_part = |one: &Candidate| is_eligible(one) && takes_part_draw <= one.start_share;
        let mut cost = |one: &Candidate| sums.cost(one) * (1.0 + COST_JITTER * draw());
        return cheapest(candidates, takes_part, &mut cost)
            .or_else(|| cheapest(candidates, &is_eligible, cost));
    }
    let uncapped_weight = |one: &Candidate| match is_eligible(one) {
        true => sums.draw_weight(one),
        false => 0.0,
    };
    let uncapped_sum: f64 = candidates.iter().map(uncapped_weight).sum();
    let eligible_slots: f64 = candidates
        .iter()
        .filter(|one| is_eligible(one))
        .map(|one| one.slots)
        .sum();
    let weight = |one: &Candidate| {
        let weight = uncapped_weight(one);
        let share_max = (one.slots / eligible_slots * SHARE_MAX_FACTOR).min(SHARE_MAX);
        weight.min((uncapped_sum - weight) * share_max / (1.0 - share_max))
    };
    let total_weight: f64 = candidates.iter().map(weight).sum();
    let first = draw_index(candidates, weight, None, draw() * total_weight)?;
    let mut best = (drawn_cost(&candidates[first]), first);
    let other_weight = total_weight - weight(&candidates[first]);
    for _ in 1..drawn_count {
        let position = draw() * other_weight;
        let Some(index) = draw_index(candidates, weight, Some(first), position) else {
            break;
        };
        let cost = drawn_cost(&candidates[index]);
        if cost < best.0 {
            best = (cost, index);
        }
    }
    Some(best.1)
}

/// Returns the index of the target other than `except` at which the sum of the weights reaches `position`.
fn draw_index(
    candidates: &[Candidate],
    weight: impl Fn(&Candidate) -> f64,
    except: Option<usize>,
    position: f64,
) -> Option<usize> {
    let mut weight_left = position;
    let mut drawn = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let weight = weight(candidate);
        if weight <= 0.0 || except == Some(index) {
            continue;
        }
        drawn = Some(index);
        weight_left -= weight;
        if weight_left <= 0.0 {
            break;
        }
    }
    drawn
}

/// Returns the cost by which drawn targets are compared: what this process knows itself and now. The reported requests
/// are in the weights of the draw.
fn drawn_cost(candidate: &Candidate) -> f64 {
    let load = candidate.own_in_flight / candidate.slots + candidate.silence;
    candidate.health_cost * (1.0 + load) + cold_cost(candidate)
}

/// Returns the added cost of a target if it is cold.
const fn cold_cost(candidate: &Candidate) -> f64 {
    match candidate.is_cold {
        true => COLD_COST,
        false => 0.0,
    }
}

/// Sums over the targets of a service.
struct LoadSums {
    slots: f64,
    requests: f64,
    own_requests: f64,
    in_flight: f64,
    /// Decrease of the weight by requests in flight beyond the mean, for each slot.
    in_flight_gain: f64,
    /// Added cost of a target in another zone.
    cross_zone_cost: f64,
}

impl LoadSums {
    fn new(candidates: &[Candidate]) -> Self {
        let (mut slots, mut requests, mut own_requests) = (0.0, 0.0, 0.0);
        let mut in_flight = 0.0;
        let (mut zone_slots, mut zone_requests) = (0.0, 0.0);
        for candidate in candidates {
            slots += candidate.slots;
            requests += candidate.requests();
            own_requests += candidate.own_requests;
            in_flight += candidate.own_in_flight + candidate.reported_in_flight;
            if candidate.is_own_zone {
                zone_slots += candidate.slots;
                zone_requests += candidate.requests();
            }
        }
        let zone_load = match zone_slots > 0.0 && requests > 0.0 {
            true => (zone_requests / zone_slots) / (requests / slots),
            false => 0.0,
        };
        // The mean number in flight is the rate times the mean time in flight.
        let time_in_flight_s = match requests > 0.0 {
            true => in_flight * TARGET_REQUESTS_TIME.as_secs_f64() / requests,
            false => 0.0,
        };
        let preference = (ZONE_LOAD_MAX - zone_load) / (ZONE_LOAD_MAX - ZONE_LOAD_PREFERRED);
        Self {
            slots,
            requests,
            own_requests,
            in_flight,
            in_flight_gain: (time_in_flight_s / IN_FLIGHT_TIME_S).min(IN_FLIGHT_GAIN_MAX),
            cross_zone_cost: CROSS_ZONE_COST * preference.clamp(0.0, 1.0),
        }
    }

    /// Returns the part of the recent requests that this process sent; 1 if nobody sent any.
    fn own_share(&self) -> f64 {
        match self.requests > 0.0 {
            true => self.own_requests / self.requests,
            false => 1.0,
        }
    }

    /// Returns the cost of a request to a target, relative to an idle and healthy one.
    fn cost(&self, candidate: &Candidate) -> f64 {
        let load = candidate.own_in_flight / candidate.slots + candidate.silence;
        let excess = self.excess(candidate);
        let (excess_min, excess_max) = REQUESTS_EXCESS_RANGE;
        let mut cost = candidate.health_cost * (1.0 + load);
        cost += REQUESTS_COST * (excess.clamp(excess_min, excess_max) - excess_min);
        if !candidate.is_own_zone {
            cost += self.cross_zone_cost;
        }
        cost + cold_cost(candidate)
    }

    /// Returns how often a target is drawn, relative to a healthy one of mean load per slot.
    fn draw_weight(&self, candidate: &Candidate) -> f64 {
        let excess = self.excess(candidate);
        let in_flight = (candidate.own_in_flight + candidate.reported_in_flight) / candidate.slots
            - self.in_flight / self.slots.max(1.0);
        let balance = (1.0 - REQUESTS_GAIN * excess - self.in_flight_gain * in_flight)
            .clamp(BALANCE_MIN, BALANCE_MAX);
        let zone = match candidate.is_own_zone {
            true => 1.0,
            false => 1.0 / (1.0 + self.cross_zone_cost),
        };
        // If only bad targets are drawn, one of them is chosen, so they must be drawn rarely.
        let health = candidate.health_cost.max(1.0).powi(2);
        candidate.slots * candidate.start_share * balance * zone / health
    }

    /// Returns the recent requests to a target beyond the mean for its slots, relative to that mean.
    fn excess(&self, candidate: &Candidate) -> f64 {
        let mean_requests = self.requests * candidate.slots / self.slots.max(1.0);
        match mean_requests > 0.0 {
            true => candidate.requests() / mean_requests - 1.0,
            false => 0.0,
        }
    }
}
