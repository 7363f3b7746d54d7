//! Choice of an aggregator by load.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use super::{
    AggregatorChoice,
    AggregatorDirectory,
    AggregatorLoad,
    AggregatorNode,
    Place,
    directory::serving_zones,
    zone_load::ZoneLoad, //
};
use crate::peer_load::LOAD_REPORT_PERIOD;

/// Load below which a primary aggregator runs its own queries itself.
const OWN_LOAD_LOW: f64 = 0.7;
/// Smallest load to which the difference of two loads is compared. The less loaded of two aggregators gets the part of
/// the queries of the other by which it is less loaded, so that what they get differs by no more than their loads do,
/// and a change of the reports moves few queries. Below this load, small differences mean nothing.
const COMPARED_LOAD_MIN: f64 = 0.5;
/// Load of a zone above which part of its queries goes to other zones.
const LEAVE_ABOVE: f64 = 1.0;
/// Load to which the queries that leave a zone should bring it.
const LEAVE_TO: f64 = 0.9;
/// Load of a zone below which queries return to it.
const RETURN_BELOW: f64 = 0.85;
/// Load of a zone above which it takes no queries of other zones.
const ACCEPT_BELOW: f64 = 0.9;
/// Largest part of the queries that leave a zone; the rest keeps its connections warm.
const LEAVING_PART_MAX: f64 = 0.9;
/// Smallest step by which the part that leaves rises, in one report period.
const LEAVE_STEP_MIN: f64 = 0.1;
/// Step by which it falls, in one report period: all queries have returned after four seconds.
const RETURN_STEP: f64 = 0.1;
/// Largest number of report periods that count in one step, if a step took longer because reports are rare.
const RETURN_PERIODS_MAX: f64 = 3.0;
/// Longest time between two steps, if reports do not arrive.
const STEP_TIME_MAX: Duration = Duration::from_secs(4);
/// Capacity that a process without any counts with, so that it is used if there is no other.
const CORES_MIN: f64 = 1e-6;
/// Time after the start in which this process may not yet know the aggregators of its zone.
const STARTUP_TIME: Duration = Duration::from_secs(2);
/// Capacity of the largest known process of a zone, as a fraction of that of any zone, below which its aggregators
/// count as not known yet during that time.
const LARGEST_FRACTION_MIN: f64 = 0.5;
/// Number of zones and goals for which the part that leaves is kept.
const LEAVING_PARTS_MAX: usize = 256;

/// An aggregator that may get a query.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    addr: SocketAddr,
    load: AggregatorLoad,
}

/// Part of the queries of this process that leaves a zone.
#[derive(Clone, Copy, Debug, Default)]
struct LeavingPart {
    part: f64,
    updated_at: Option<Duration>,
}

/// Chooses aggregators by load: few while the load is low, more when it rises, and those of other zones only while
/// the own zone cannot serve in time.
#[derive(Clone, Debug, Default)]
pub struct AggregatorChooser {
    zones: HashMap<Box<str>, ZoneLoad>,
    /// Part of the queries that leaves each zone, by the latency goal, which decides what wait is too long.
    leaving_parts: HashMap<(Box<str>, Duration), LeavingPart>,
}

impl AggregatorChooser {
    /// Creates the state of a process that knows no load.
    pub fn new() -> Self {
        Self::default()
    }

    /// Chooses where a query runs; `draw` returns random numbers in 0..1.
    ///
    /// After a refusal, all members of the extended set come into question.
    pub fn choose(
        &mut self,
        directory: &mut AggregatorDirectory,
        choice: &AggregatorChoice<'_>,
        draw: &mut dyn FnMut() -> f64,
    ) -> Place {
        directory.rank();
        let Some(home) = choose_home(directory, choice, draw) else {
            return Place::Here;
        };
        self.update(directory, choice, home);
        let is_own_home = is_primary(directory, choice, home);
        if is_own_home && own_load(directory, choice).is_some_and(|load| load < OWN_LOAD_LOW) {
            return Place::Here;
        }
        if self.may_leave(home, choice.goal) {
            self.update_others(directory, choice, home);
        }
        let leaving_part = self.leaving_part(home, choice);
        let mut zones = Vec::new();
        if draw() < leaving_part {
            zones.extend(self.choose_other_zone(home, choice, draw));
        }
        if choice.refused_by.is_empty() || has_room_after_refusal(directory, choice, home) {
            zones.push(home);
        }
        let mut place = zones
            .into_iter()
            .find_map(|zone| self.choose_in_zone(directory, choice, zone, draw));
        if place.is_none() {
            // No candidate of the zone is left: any other member of the extended set may run the query.
            self.update_others(directory, choice, home);
            let mut others: Vec<&str> = directory.zones().filter(|zone| *zone != home).collect();
            let free_of = |zone: &str| self.zones.get(zone).map_or(0.0, |load| load.free);
            others.sort_by(|left, right| free_of(right).total_cmp(&free_of(left)));
            others.push(home);
            place = others
                .into_iter()
                .find_map(|zone| self.choose_in_zone(directory, choice, zone, draw));
        }
        place.unwrap_or_else(|| match has_busy(directory, choice) {
            true => Place::AllBusy,
            false => choose_without_members(directory, choice, home),
        })
    }

    /// Evaluates the load of all zones except one, as far as it is due.
    fn update_others(
        &mut self,
        directory: &AggregatorDirectory,
        choice: &AggregatorChoice<'_>,
        home: &str,
    ) {
        let zones: Vec<&str> = directory.zones().collect();
        self.zones.retain(|zone, _| zones.contains(&&**zone));
        for zone in zones.into_iter().filter(|zone| *zone != home) {
            self.update(directory, choice, zone);
        }
    }

    /// Evaluates the load of a zone if that is due.
    fn update(
        &mut self,
        directory: &AggregatorDirectory,
        choice: &AggregatorChoice<'_>,
        zone: &str,
    ) {
        let state = self.zones.get(zone);
        if state.is_some_and(|state| !state.is_due(choice.now)) {
            return;
        }
        let member_count = directory.extended_count(zone, choice.shard_shares);
        let loads: Vec<AggregatorLoad> = members(directory, choice, zone)
            .map(|addr| load_of(directory, choice, addr))
            .collect();
        let is_serving = serving_zones(choice.shard_shares).any(|serving| serving == zone);
        let primary_count = match is_serving {
            true => directory.primary_count(zone, choice.shard_shares),
            false => member_count.min(1),
        };
        let state = self.zones.entry(zone.into()).or_default();
        state.update(&loads, primary_count, choice.now);
    }

    /// Returns whether queries leave a zone or should do so.
    fn may_leave(&self, home: &str, goal: Duration) -> bool {
        let leaving_part = self.leaving_parts.get(&(home.into(), goal));
        self.is_missing_goal(home, goal) || leaving_part.is_some_and(|state| state.part > 0.0)
    }

    /// Returns the part of the queries that leaves a zone, after an adjustment if one is due.
    fn leaving_part(&mut self, home: &str, choice: &AggregatorChoice<'_>) -> f64 {
        let load = self.zones.get(home).map_or(0.0, |zone| zone.load);
        let reported_since = self.zones.get(home).and_then(|zone| zone.reported_since);
        let is_missing = self.is_missing_goal(home, choice.goal);
        let has_room = self.rooms(home, choice.goal).next().is_some();
        let key = (home.into(), choice.goal);
        if self.leaving_parts.len() >= LEAVING_PARTS_MAX && !self.leaving_parts.contains_key(&key) {
            self.leaving_parts.clear();
        }
        let state = self.leaving_parts.entry(key).or_default();
        let elapsed = state
            .updated_at
            .map_or(Duration::MAX, |at| choice.now.saturating_sub(at));
        // A step waits until the reports show what the previous one did.
        let is_shown = state.updated_at.is_none_or(|updated_at| {
            reported_since.is_none_or(|reported_since| reported_since > updated_at)
        });
        if elapsed < LOAD_REPORT_PERIOD || (!is_shown && elapsed < STEP_TIME_MAX) {
            return state.part;
        }
        state.updated_at = Some(choice.now);
        if is_missing && has_room {
            let excess = (1.0 - state.part) * (1.0 - LEAVE_TO / load.max(LEAVE_TO));
            state.part = (state.part + excess.max(LEAVE_STEP_MIN)).min(LEAVING_PART_MAX);
        } else if !is_missing && load < RETURN_BELOW {
            let periods = elapsed.as_secs_f64() / LOAD_REPORT_PERIOD.as_secs_f64();
            state.part = (state.part - RETURN_STEP * periods.min(RETURN_PERIODS_MAX)).max(0.0);
        }
        state.part
    }

    /// Returns whether queries with this goal would be late at the aggregators of a zone.
    fn is_missing_goal(&self, zone: &str, goal: Duration) -> bool {
        self.zones.get(zone).is_some_and(|state| {
            state.load > LEAVE_ABOVE || state.is_wait_too_long(goal) //
        })
    }

    /// Returns the other zones that take queries with this goal, with the number of queries that each can take.
    fn rooms<'a>(&'a self, home: &'a str, goal: Duration) -> impl Iterator<Item = (&'a str, f64)> {
        let zones = self.zones.iter().filter(move |(zone, state)| {
            let accepts = state.load < ACCEPT_BELOW && state.free >= 1.0;
            &***zone != home && accepts && !state.is_wait_too_long(goal)
        });
        zones.map(|(zone, state)| (&**zone, state.free))
    }

    /// Chooses another zone, each in proportion to the queries that it can take.
    fn choose_other_zone<'a>(
        &'a self,
        home: &'a str,
        choice: &AggregatorChoice<'_>,
        draw: &mut dyn FnMut() -> f64,
    ) -> Option<&'a str> {
        let mut rooms: Vec<(&str, f64)> = self.rooms(home, choice.goal).collect();
        rooms.sort_unstable_by_key(|(zone, _)| *zone);
        let weights: Vec<f64> = rooms.iter().map(|(_, free)| *free).collect();
        draw_weighted(&weights, draw()).map(|index| rooms[index].0)
    }

    /// Chooses one of the candidates of a zone; returns `None` if none may be asked.
    fn choose_in_zone(
        &self,
        directory: &AggregatorDirectory,
        choice: &AggregatorChoice<'_>,
        zone: &str,
        draw: &mut dyn FnMut() -> f64,
    ) -> Option<Place> {
        let width = self.zones.get(zone).map_or(0, ZoneLoad::width);
        let widths = match choice.refused_by.is_empty() {
            true => [width, usize::MAX],
            false => [usize::MAX, usize::MAX],
        };
        widths.into_iter().find_map(|width| {
            let candidates: Vec<SocketAddr> = members(directory, choice, zone)
                .take(width)
                .filter(|addr| !choice.refused_by.contains(addr))
                .filter(|addr| *addr == choice.own_addr || !(choice.is_busy)(*addr))
                .collect();
            choose_of(directory, choice, &candidates, draw)
        })
    }
}

/// Chooses one of the candidates; this process runs its query itself if it is one of them and not busier than the
/// others. Returns `None` if there is no other and this process is full.
fn choose_of(
    directory: &AggregatorDirectory,
    choice: &AggregatorChoice<'_>,
    candidates: &[SocketAddr],
    draw: &mut dyn FnMut() -> f64,
) -> Option<Place> {
    let others = candidates.iter().filter(|addr| **addr != choice.own_addr);
    let mut others: Vec<(SocketAddr, f64)> = others
        .map(|addr| (*addr, cores_of(directory, *addr)))
        .collect();
    if others.len() < candidates.len() {
        let own = own_load(directory, choice).unwrap_or_default();
        let loads = others
            .iter()
            .map(|(addr, cores)| (choice.load_of)(*addr, *cores).load());
        let acceptable = match others.len() {
            0 => LEAVE_ABOVE,
            count => loads.sum::<f64>() / count as f64,
        };
        if own <= acceptable {
            return Some(Place::Here);
        }
    }
    let first = draw_candidate(&mut others, choice, draw())?;
    let Some(second) = draw_candidate(&mut others, choice, draw()) else {
        return Some(Place::At(first.addr));
    };
    Some(Place::At(less_loaded(&first, &second, draw())))
}

/// Removes and returns one of the candidates at random, each in proportion to its capacity.
fn draw_candidate(
    candidates: &mut Vec<(SocketAddr, f64)>,
    choice: &AggregatorChoice<'_>,
    draw: f64,
) -> Option<Candidate> {
    let weights: Vec<f64> = candidates
        .iter()
        .map(|(_, cores)| cores.max(CORES_MIN))
        .collect();
    let (addr, cores) = candidates.swap_remove(draw_weighted(&weights, draw)?);
    Some(Candidate {
        addr,
        load: (choice.load_of)(addr, cores),
    })
}

/// Returns the first of two aggregators, or with a probability that grows with the difference of their loads and falls
/// with the age of the reports, the second one if that is less loaded.
fn less_loaded(first: &Candidate, second: &Candidate, draw: f64) -> SocketAddr {
    let difference = first.load.load() - second.load.load();
    let weight = first.load.weight.min(second.load.weight);
    let compared_load = first.load.load().max(COMPARED_LOAD_MIN);
    match draw < difference / compared_load * weight {
        true => second.addr,
        false => first.addr,
    }
}

/// Returns an index with a probability in proportion to its weight.
fn draw_weighted(weights: &[f64], draw: f64) -> Option<usize> {
    let mut left = draw * weights.iter().sum::<f64>();
    let index = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    index.or_else(|| weights.len().checked_sub(1))
}

/// Chooses the zone whose aggregators come first: the own one if it serves, else a random serving one.
///
/// A process that has just started leaves out the zones of which it knows only small processes: the aggregators of
/// such a zone are not known yet, and others have no warm connections.
fn choose_home<'a>(
    directory: &AggregatorDirectory,
    choice: &AggregatorChoice<'a>,
    draw: &mut dyn FnMut() -> f64,
) -> Option<&'a str> {
    let cores = directory.zones().map(|zone| directory.largest_cores(zone));
    let cores_min = match choice.now < STARTUP_TIME {
        true => cores.fold(0.0, f64::max) * LARGEST_FRACTION_MIN,
        false => 0.0,
    };
    let has_usable = |zone: &&str| usable(directory, choice, zone).next().is_some();
    let mut zones: Vec<&str> = serving_zones(choice.shard_shares)
        .filter(has_usable)
        .collect();
    if zones
        .iter()
        .any(|zone| directory.largest_cores(zone) >= cores_min)
    {
        zones.retain(|zone| directory.largest_cores(zone) >= cores_min);
    }
    if let Some(own_zone) = zones.iter().find(|zone| **zone == choice.own_zone) {
        return Some(own_zone);
    }
    let index = (draw() * zones.len() as f64) as usize;
    zones.get(index.min(zones.len().saturating_sub(1))).copied()
}

/// Returns the usable processes of a zone, this one included, in the order of their rank.
fn usable(
    directory: &AggregatorDirectory,
    choice: &AggregatorChoice<'_>,
    zone: &str,
) -> impl Iterator<Item = SocketAddr> {
    let ranked = directory.ranked(zone).iter().copied();
    ranked.filter(|addr| *addr == choice.own_addr || (choice.is_usable)(*addr))
}

/// Returns the usable members of the extended set in a zone, this process included if it is one, in the order of their
/// rank.
fn members(
    directory: &AggregatorDirectory,
    choice: &AggregatorChoice<'_>,
    zone: &str,
) -> impl Iterator<Item = SocketAddr> {
    let member_count = directory.extended_count(zone, choice.shard_shares);
    let members = directory.ranked(zone).iter().copied().take(member_count);
    members.filter(|addr| *addr == choice.own_addr || (choice.is_usable)(*addr))
}

/// Chooses where a query runs if no member of the extended set is usable: at the next processes in the ranking of the
/// zone.
fn choose_without_members(
    directory: &AggregatorDirectory,
    choice: &AggregatorChoice<'_>,
    zone: &str,
) -> Place {
    let mut others =
        usable(directory, choice, zone).filter(|addr| !choice.refused_by.contains(addr));
    match others.next() {
        Some(addr) if addr != choice.own_addr => Place::At(addr),
        Some(_) | None => Place::Here,
    }
}

/// Returns whether this process is a primary aggregator of a zone and has not refused the query.
fn is_primary(directory: &AggregatorDirectory, choice: &AggregatorChoice<'_>, zone: &str) -> bool {
    let primary_count = directory.primary_count(zone, choice.shard_shares);
    let mut primaries = members(directory, choice, zone).take(primary_count);
    choice.refused_by.is_empty() && primaries.any(|addr| addr == choice.own_addr)
}

/// Returns whether a zone has a member with a free place for a query that others refused as busy. If one failed, it
/// may have failed with its zone.
fn has_room_after_refusal(
    directory: &AggregatorDirectory,
    choice: &AggregatorChoice<'_>,
    zone: &str,
) -> bool {
    let mut refused_by = choice.refused_by.iter();
    let has_room = |addr: SocketAddr| {
        !choice.refused_by.contains(&addr)
            && !(choice.is_busy)(addr)
            && !load_of(directory, choice, addr).is_full()
    };
    refused_by.all(|addr| (choice.is_busy)(*addr)) && members(directory, choice, zone).any(has_room)
}

/// Returns whether another member of the extended set is usable but busy.
fn has_busy(directory: &AggregatorDirectory, choice: &AggregatorChoice<'_>) -> bool {
    directory.zones().any(|zone| {
        members(directory, choice, zone)
            .any(|addr| addr != choice.own_addr && (choice.is_busy)(addr))
    })
}

/// Returns the estimated load of a process.
fn load_of(
    directory: &AggregatorDirectory,
    choice: &AggregatorChoice<'_>,
    addr: SocketAddr,
) -> AggregatorLoad {
    (choice.load_of)(addr, cores_of(directory, addr))
}

/// Returns the capacity of a process in cores.
fn cores_of(directory: &AggregatorDirectory, addr: SocketAddr) -> f64 {
    let node = directory.node(addr);
    node.map_or(0.0, AggregatorNode::usable_cores)
}

/// Returns the load of this process if it has announced itself.
fn own_load(directory: &AggregatorDirectory, choice: &AggregatorChoice<'_>) -> Option<f64> {
    directory.node(choice.own_addr)?;
    Some(load_of(directory, choice, choice.own_addr).load())
}
