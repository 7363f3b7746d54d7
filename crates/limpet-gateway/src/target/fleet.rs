//! All targets by service, and the choice among those of one service.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use limpet_types::deployment::TargetId;
use rand::Rng;

use super::Target;
use crate::state::DeploymentState;

/// Added cost of a target in another zone, relative to a request of mean length.
const OTHER_ZONE_COST: f64 = 0.35;
/// Added cost of a cold target, relative to a request of mean length.
const COLD_COST: f64 = 0.6;
/// Random part of the cost, so that processes do not all choose the same target.
const COST_SPREAD: f64 = 0.3;
/// Part of a target's connections that this system uses; the rest is for connections whose end the
/// target has not noticed.
const CONNECTIONS_PART: f64 = 0.85;

/// What is asked of a target.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Service.
    pub service: &'a str,
    /// Zone of this process.
    pub zone: &'a str,
    /// Targets that had the request before.
    pub tried: &'a [TargetId],
    /// Connections that one target accepts from all processes together.
    pub connections_max: u32,
    /// Requests per second that a cold target bears; 0 if not stated.
    pub cold_rate_per_s: f64,
    /// Whether only a target with a free slot is wanted, as far as this process can tell.
    pub needs_free_slot: bool,
    /// Processes that share the targets.
    pub processes: usize,
}

impl Wanted<'_> {
    /// Returns the connections that this process may hold at one target.
    pub fn connections_limit(&self) -> usize {
        let usable = f64::from(self.connections_max) * CONNECTIONS_PART;
        ((usable / self.processes.max(1) as f64) as usize).max(1)
    }

    /// Returns this process's part of what a cold target bears.
    pub fn cold_part_per_s(&self) -> f64 {
        self.cold_rate_per_s / self.processes.max(1) as f64
    }
}

/// All targets.
#[derive(Debug, Default)]
pub struct Fleet {
    by_id: HashMap<TargetId, Arc<Target>>,
    by_service: HashMap<Box<str>, Vec<Arc<Target>>>,
}

impl Fleet {
    /// Creates an empty fleet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the targets of the deployment's state.
    pub fn sync(&mut self, state: &DeploymentState, now: Duration) {
        let mut by_id = HashMap::new();
        let mut by_service: HashMap<Box<str>, Vec<Arc<Target>>> = HashMap::new();
        for (id, record) in state.targets() {
            let known = self.by_id.remove(id);
            let known = known.filter(|target| {
                let is_same = target.is_same(record);
                if !is_same {
                    target.retire();
                }
                is_same
            });
            let target = known.unwrap_or_else(|| Arc::new(Target::new(id.clone(), record, now)));
            target.update(record, state.is_out(&target.zone), now);
            let service = by_service.entry(target.service.clone()).or_default();
            service.push(Arc::clone(&target));
            by_id.insert(id.clone(), target);
        }
        for target in self.by_id.values() {
            target.retire();
        }
        self.by_id = by_id;
        self.by_service = by_service;
    }

    /// Returns a target by its id.
    pub fn get(&self, id: &str) -> Option<Arc<Target>> {
        self.by_id.get(id).cloned()
    }

    /// Chooses a target: cheapest by speed, failures, load and distance among those with room.
    pub fn pick(&self, wanted: &Wanted<'_>, now: Duration) -> Option<Arc<Target>> {
        let targets = self.by_service.get(wanted.service)?;
        let limit = wanted.connections_limit();
        let mut best: Option<(bool, f64, &Arc<Target>)> = None;
        for target in targets {
            let is_usable = !target.is_leaving()
                && (target.in_flight() as usize) < limit
                && !wanted.tried.contains(&target.id)
                && (!wanted.needs_free_slot || target.in_flight() < target.slots)
                && target.cold().has_room(wanted.cold_part_per_s(), now);
            if !is_usable {
                continue;
            }
            let (is_ejected, seen) = {
                let view = target.view();
                (view.is_ejected(now), view.cost(now))
            };
            let load = f64::from(target.in_flight()) / f64::from(target.slots);
            let mut cost = seen * (1.0 + load);
            if *target.zone != *wanted.zone {
                cost += OTHER_ZONE_COST;
            }
            if target.cold().is_cold(now) {
                cost += COLD_COST;
            }
            cost *= 1.0 + rand::rng().random_range(0.0..COST_SPREAD);
            let is_better = best.is_none_or(|(ejected, least, _)| {
                (is_ejected, cost) < (ejected, least) //
            });
            if is_better {
                best = Some((is_ejected, cost, target));
            }
        }
        let (_, _, target) = best?;
        target.cold().spend(wanted.cold_part_per_s(), now);
        Some(Arc::clone(target))
    }

    /// Returns whether a service has a target that takes new work and is not left alone.
    pub fn has_sound(&self, service: &str, now: Duration) -> bool {
        let targets = self.by_service.get(service);
        let is_sound = |t: &Arc<Target>| !t.is_leaving() && !t.view().is_ejected(now);
        targets.is_some_and(|targets| targets.iter().any(is_sound))
    }

    /// Returns whether a service has a target that takes new work.
    pub fn has_any(&self, service: &str) -> bool {
        let targets = self.by_service.get(service);
        targets.is_some_and(|targets| targets.iter().any(|t| !t.is_leaving()))
    }

    /// Closes idle connections that are too old.
    pub fn trim_pools(&self) {
        for target in self.by_id.values() {
            target.pool().trim();
        }
    }

    /// Returns the numbers of targets and of open connections.
    pub fn totals(&self) -> (usize, usize) {
        let open = self.by_id.values().map(|target| target.pool().open()).sum();
        (self.by_id.len(), open)
    }
}
