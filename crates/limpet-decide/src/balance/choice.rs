//! The choice between the targets of a service.

use super::{
    Availability,
    Candidate,
    load_sums::LoadSums, //
};

/// Added cost of a target in another zone, relative to a request of mean latency.
pub(super) const CROSS_ZONE_COST: f64 = 0.35;
/// Added cost of a cold target, relative to a request of mean latency.
const COLD_COST: f64 = 0.6;
/// Largest random increase of the cost, as a fraction of it, so that processes that see no load of each other don't all
/// pick the same target.
const COST_JITTER: f64 = 0.3;
/// Number of targets that are drawn if this process sends a negligible part of the requests.
const DRAWN_TARGETS_MIN: usize = 2;
/// Power of the part of the requests that a process sends itself by which it draws more targets. Three aggregators that
/// compared all three targets of a shard sent 1.4 times as many requests to one that pauses as with two drawn ones.
const DRAWN_SHARE_POWER: i32 = 3;
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
    let added_count = sums.own_share().powi(DRAWN_SHARE_POWER) * eligible_count as f64;
    let drawn_count = DRAWN_TARGETS_MIN + added_count as usize;
    if drawn_count >= eligible_count {
        // A target that returned takes part in a fraction of the choices.
        let takes_part_draw = draw();
        let takes_part = |one: &Candidate| is_eligible(one) && takes_part_draw <= one.start_share;
        let mut cost =
            |one: &Candidate| (sums.cost(one) + cold_cost(one)) * (1.0 + COST_JITTER * draw());
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
    let mut best = (drawn_cost(&sums, &candidates[first]), first);
    let other_weight = total_weight - weight(&candidates[first]);
    for _ in 1..drawn_count {
        let position = draw() * other_weight;
        let Some(index) = draw_index(candidates, weight, Some(first), position) else {
            break;
        };
        let cost = drawn_cost(&sums, &candidates[index]);
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

/// Returns the cost by which drawn targets are compared. The reported requests are in the weights of the draw.
fn drawn_cost(sums: &LoadSums, candidate: &Candidate) -> f64 {
    sums.time_cost(candidate) + cold_cost(candidate)
}

/// Returns the added cost of a target if it is cold.
const fn cold_cost(candidate: &Candidate) -> f64 {
    match candidate.is_cold {
        true => COLD_COST,
        false => 0.0,
    }
}
