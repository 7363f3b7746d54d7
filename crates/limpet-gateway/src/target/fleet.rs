//! The targets of the deployment and the load balancing between those of a service.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use limpet_types::deployment::TargetId;
use rand::Rng;

use super::Target;
use crate::deployment_state::DeploymentState;

/// Added cost of a target in another zone, relative to a request of mean latency.
const CROSS_ZONE_COST: f64 = 0.35;
/// Added cost of a cold target, relative to a request of mean latency.
const COLD_COST: f64 = 0.6;
/// Largest random increase of the cost, as a fraction of it, so that processes do not all pick the same
/// target.
const COST_JITTER: f64 = 0.3;
/// Fraction of a target's connection limit that all processes together use. The rest is headroom for closed
/// connections that the target still counts.
const USABLE_CONNECTIONS_FRACTION: f64 = 0.85;

/// Maximum number of gone targets that are kept because of their notices.
const GONE_TARGETS_MAX: usize = 4096;

/// Function that returns the time between two requests of this process to a cold target, or `None` if it may send
/// none.
pub(super) type ColdSendInterval<'a> = dyn Fn(&Target) -> Option<Duration> + 'a;

/// Criteria by which [`Fleet::pick`] chooses a target.
#[derive(Clone, Copy)]
pub struct TargetCriteria<'a> {
    /// Service of the target.
    pub service: &'a str,
    /// Zone of this process; targets in other zones cost more.
    pub zone: &'a str,
    /// Targets that are excluded because an attempt was already made at them.
    pub tried_targets: &'a [TargetId],
    /// Connection limit of one target, shared by all processes.
    pub connections_max: u32,
    /// Time between two requests of this process to a cold target; absent if cold targets have no rate limit.
    pub cold_send_interval: Option<&'a ColdSendInterval<'a>>,
    /// Whether the target must have a free slot, counting only the requests of this process.
    pub needs_free_slot: bool,
    /// Number of processes that share the targets.
    pub process_count: usize,
    /// Number of processes that may aggregate if this process is one of them. They share a part of the connections
    /// beside all processes if a target has too few for two of each process.
    pub aggregator_count: Option<usize>,
}

impl TargetCriteria<'_> {
    /// Returns the number of connections that this process may hold to one target.
    pub fn connections_limit(&self) -> usize {
        let usable_connection_count = f64::from(self.connections_max) * USABLE_CONNECTIONS_FRACTION;
        let share = connections_share(self.connections_max, self.process_count);
        limpet_decide::aggregator::connections_limit(
            usable_connection_count,
            share,
            self.aggregator_count,
        )
    }

    /// Returns whether this process may send a request to a target now as far as its warm-up goes.
    fn allows_cold_request(&self, target: &Target, now: Duration) -> bool {
        let Some(send_interval) = self.cold_send_interval else {
            return true;
        };
        if !target.cold_rate_limiter().is_cold(now) {
            return true;
        }
        let send_interval = send_interval(target);
        target
            .cold_rate_limiter()
            .allows_request(send_interval, now)
    }
}

/// Returns how many connections each process may hold to a target if all get the same share.
pub fn connections_share(connections_max: u32, process_count: usize) -> f64 {
    f64::from(connections_max) * USABLE_CONNECTIONS_FRACTION / process_count.max(1) as f64
}

/// All targets of the deployment.
#[derive(Debug, Default)]
pub struct Fleet {
    by_id: HashMap<TargetId, Arc<Target>>,
    by_service: HashMap<Box<str>, Vec<Arc<Target>>>,
    /// Targets that are gone and whose notices are in force: the same incarnation may return.
    gone_with_notices: HashMap<TargetId, Arc<Target>>,
}

impl Fleet {
    /// Creates an empty fleet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the targets by those of `deployment_state`; keeps the health and the connections of the
    /// targets that remain, and retires those that were removed, were restarted or got another address or
    /// service.
    pub fn sync(&mut self, deployment_state: &DeploymentState, now: Duration) {
        let mut by_id = HashMap::new();
        let mut by_service: HashMap<Box<str>, Vec<Arc<Target>>> = HashMap::new();
        for (id, record) in deployment_state.targets() {
            let known_target = self.by_id.remove(id);
            let known_target = known_target.or_else(|| self.gone_with_notices.remove(id));
            let known_target = known_target.filter(|target| {
                let is_same_incarnation = target.is_same_incarnation(record);
                if !is_same_incarnation {
                    target.retire();
                }
                is_same_incarnation
            });
            let target =
                known_target.unwrap_or_else(|| Arc::new(Target::new(id.clone(), record, now)));
            target.update(record, deployment_state.is_zone_disabled(&target.zone), now);
            let service = by_service.entry(target.service.clone()).or_default();
            service.push(Arc::clone(&target));
            by_id.insert(id.clone(), target);
        }
        for target in self.by_id.values() {
            target.retire();
        }
        let gone = self.by_id.drain();
        self.gone_with_notices.extend(gone);
        self.forget_gone_targets(now);
        self.by_id = by_id;
        self.by_service = by_service;
    }

    /// Forgets the gone targets without a notice in force, and any others beyond the limit.
    fn forget_gone_targets(&mut self, now: Duration) {
        self.gone_with_notices
            .retain(|_, target| target.notices().is_in_force(now));
        let excess = self
            .gone_with_notices
            .len()
            .saturating_sub(GONE_TARGETS_MAX);
        let forgotten: Vec<TargetId> = self
            .gone_with_notices
            .keys()
            .take(excess)
            .cloned()
            .collect();
        for id in &forgotten {
            self.gone_with_notices.remove(id);
        }
    }

    /// Returns the target with this id.
    pub fn get(&self, id: &str) -> Option<Arc<Target>> {
        self.by_id.get(id).cloned()
    }

    /// Picks the target with the lowest cost among those that meet the criteria, accept new requests and have
    /// capacity; returns `None` if there is none.
    ///
    /// The cost depends on latency, failure rate, load, zone and whether the target is cold. Ejected targets
    /// are picked only if there is no other.
    pub fn pick(&self, criteria: &TargetCriteria<'_>, now: Duration) -> Option<Arc<Target>> {
        let targets = self.by_service.get(criteria.service)?;
        let connections_limit = criteria.connections_limit();
        let mut best: Option<(bool, f64, &Arc<Target>)> = None;
        for target in targets {
            let is_usable = target.allows_request(now)
                && (target.in_flight_count() as usize) < connections_limit
                && !criteria.tried_targets.contains(&target.id)
                && (!criteria.needs_free_slot || target.in_flight_count() < target.slots)
                && criteria.allows_cold_request(target, now);
            if !is_usable {
                continue;
            }
            let (is_ejected, health_cost) = {
                let health = target.health();
                (health.is_ejected(now), health.cost(now))
            };
            let load = f64::from(target.in_flight_count()) / f64::from(target.slots);
            let mut cost = health_cost * (1.0 + load);
            if *target.zone != *criteria.zone {
                cost += CROSS_ZONE_COST;
            }
            if target.cold_rate_limiter().is_cold(now) {
                cost += COLD_COST;
            }
            cost *= 1.0 + rand::rng().random_range(0.0..COST_JITTER);
            let is_better = best.is_none_or(|(best_is_ejected, best_cost, _)| {
                (is_ejected, cost) < (best_is_ejected, best_cost) //
            });
            if is_better {
                best = Some((is_ejected, cost, target));
            }
        }
        let (_, _, target) = best?;
        target.cold_rate_limiter().record_request(now);
        Some(Arc::clone(target))
    }

    /// Returns for each zone the share of the shards that have a target there that accepts new requests and is
    /// not ejected.
    pub fn shard_shares(&self, shards: &[Box<str>], now: Duration) -> Vec<(Box<str>, f64)> {
        let mut counts: Vec<(&str, usize)> = Vec::new();
        for shard in shards {
            let targets = self.by_service.get(shard).map_or(&[][..], Vec::as_slice);
            let usable = targets
                .iter()
                .filter(|target| target.allows_request(now) && !target.health().is_ejected(now));
            let mut zones: Vec<&str> = usable.map(|target| &*target.zone).collect();
            zones.sort_unstable();
            zones.dedup();
            for zone in zones {
                match counts
                    .iter_mut()
                    .find(|(known_zone, _)| *known_zone == zone)
                {
                    Some((_, count)) => *count += 1,
                    None => counts.push((zone, 1)),
                }
            }
        }
        let shard_count = shards.len().max(1) as f64;
        let shares = counts.into_iter();
        shares
            .map(|(zone, count)| (zone.into(), count as f64 / shard_count))
            .collect()
    }

    /// Returns whether a service has a target that accepts new requests and is not ejected.
    pub fn has_healthy_target(&self, service: &str, now: Duration) -> bool {
        let targets = self.by_service.get(service);
        let is_healthy =
            |target: &Arc<Target>| target.allows_request(now) && !target.health().is_ejected(now);
        targets.is_some_and(|targets| targets.iter().any(is_healthy))
    }

    /// Returns how long no target of a service wants a request: zero if one does, `None` if all leave.
    pub fn shortest_pause(&self, service: &str, now: Duration) -> Option<Duration> {
        let targets = self.by_service.get(service)?;
        let staying = targets.iter().filter(|target| !target.is_leaving());
        staying.map(|target| target.notices().pause_left(now)).min()
    }

    /// Closes idle connections that can no longer be used.
    pub fn close_expired_connections(&self) {
        for target in self.by_id.values() {
            target.pool().close_expired();
        }
    }

    /// Returns the number of targets and the number of open connections to them.
    pub fn target_and_connection_counts(&self) -> (usize, usize) {
        let open_connection_count = self
            .by_id
            .values()
            .map(|target| target.pool().open_count())
            .sum();
        (self.by_id.len(), open_connection_count)
    }
}
