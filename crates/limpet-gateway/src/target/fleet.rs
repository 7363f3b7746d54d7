//! The targets of the deployment and the load balancing between those of a service.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use limpet_decide::{
    balance::{
        Availability,
        Candidate,
        View,
        choose, //
    },
    peer_load::ReportedTargetLoad,
    spread::DIRECT_PROCESSES_MAX,
};
use limpet_types::{
    deployment::TargetId,
    message::NameHash, //
};
use rand::Rng;

use super::Target;
use crate::deployment_state::DeploymentState;

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

    /// Returns what the choice depends on for one target.
    fn candidate(&self, target: &Target, connections_limit: usize, now: Duration) -> Candidate {
        let (load, rejected_share) = {
            let load = target.load();
            (
                Candidate::new(&load, target.slots, now),
                load.reported_rejected_share(now),
            )
        };
        if !target.allows_request(now) {
            return Candidate {
                availability: Availability::Excluded,
                slots: 0.0,
                own_in_flight: 0.0,
                reported_in_flight: 0.0,
                own_requests: 0.0,
                reported_requests: 0.0,
                time_s: 0.0,
                ..load
            };
        }
        let in_flight_count = target.in_flight_count();
        let has_capacity = (in_flight_count as usize) < connections_limit
            && (!self.needs_free_slot || in_flight_count < target.slots);
        let availability =
            if self.tried_targets.contains(&target.id) || !self.allows_cold_request(target, now) {
                Availability::Excluded
            } else if has_capacity {
                Availability::Free
            } else {
                Availability::Busy
            };
        // A small fleet decides on own observations.
        let rejected_share = match self.process_count > DIRECT_PROCESSES_MAX {
            true => rejected_share,
            false => 0.0,
        };
        let (health_cost, is_ejected) = {
            let health = target.health();
            (health.cost(rejected_share, now), health.is_ejected(now))
        };
        Candidate {
            availability,
            health_cost,
            is_ejected,
            is_own_zone: *target.zone == *self.zone,
            is_cold: target.cold_rate_limiter().is_cold(now),
            own_in_flight: f64::from(in_flight_count),
            ..load
        }
    }

    /// Returns whether this process may send a request to a target now as far as its warm-up goes.
    pub(super) fn allows_cold_request(&self, target: &Target, now: Duration) -> bool {
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
    /// Candidates of the latest choice; kept so that a choice allocates nothing.
    candidates: Vec<Candidate>,
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
        // The targets that a process finds at its start have not just returned.
        let is_first_sync = self.by_id.is_empty();
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
            let target = known_target.unwrap_or_else(|| {
                let target = Target::new(id.clone(), record, now);
                if !is_first_sync {
                    target.load().record_return(now);
                }
                Arc::new(target)
            });
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

    /// Returns the targets of a service.
    pub(super) fn targets(&self, service: &str) -> &[Arc<Target>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the target with this id.
    pub fn get(&self, id: &str) -> Option<Arc<Target>> {
        self.by_id.get(id).cloned()
    }

    /// Picks a target that meets the criteria, accepts new requests and has capacity; returns `None` if there is none.
    ///
    /// The choice depends on latency, failure rate, load, zone and whether the target is cold. Ejected targets
    /// are picked only if there is no other, and targets that rejected a request as full are not picked for a while
    /// if another one accepts requests, even if this process has no capacity there.
    pub fn pick(&mut self, criteria: &TargetCriteria<'_>, now: Duration) -> Option<Arc<Target>> {
        let targets = self.by_service.get(criteria.service)?;
        let connections_limit = criteria.connections_limit();
        self.candidates.clear();
        self.candidates.extend(
            targets
                .iter()
                .map(|target| criteria.candidate(target, connections_limit, now)),
        );
        let view = match criteria.process_count > DIRECT_PROCESSES_MAX {
            true => View::Part,
            false => View::Whole,
        };
        let mut rng = rand::rng();
        let index = choose(&self.candidates, view, || rng.random_range(0.0..1.0))?;
        let target = &targets[index];
        target.cold_rate_limiter().record_request(now);
        Some(Arc::clone(target))
    }

    /// Applies the load that the other processes report.
    pub fn set_reported_loads(&self, loads: &HashMap<NameHash, ReportedTargetLoad>, now: Duration) {
        for target in self.by_id.values() {
            let reported = loads.get(&target.id_hash).copied().unwrap_or_default();
            target.load().set_reported(reported, now);
        }
    }

    /// Returns for each service the ratio of the target with most recent requests to the mean, by own and reported
    /// requests; 0 if there are none.
    pub fn load_spreads(&self, now: Duration) -> impl Iterator<Item = (&str, f64)> {
        self.by_service.iter().map(move |(service, targets)| {
            let (mut sum, mut highest) = (0.0_f64, 0.0_f64);
            for target in targets {
                let load = target.load();
                let requests = load.own_requests(now) + load.reported_requests(now);
                sum += requests;
                highest = highest.max(requests);
            }
            let spread = match sum > 0.0 {
                true => highest * targets.len() as f64 / sum,
                false => 0.0,
            };
            (&**service, spread)
        })
    }

    /// Returns after which time the first target of a service that rejected a request may be asked again; `None` if
    /// no target is in its backoff.
    pub fn shortest_backoff(&self, service: &str, now: Duration) -> Option<Duration> {
        let targets = self.by_service.get(service)?;
        let staying = targets.iter().filter(|target| !target.is_leaving());
        staying
            .map(|target| target.load().backoff().time_left(now))
            .filter(|time_left| !time_left.is_zero())
            .min()
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

    /// Returns the requests of this process in flight to a service, and the slots of its targets that accept new
    /// requests.
    pub fn in_flight_and_slot_counts(&self, service: &str, now: Duration) -> (u32, u32) {
        let targets = self.by_service.get(service);
        let usable = targets
            .into_iter()
            .flatten()
            .filter(|target| target.allows_request(now));
        usable.fold((0, 0), |(in_flight_count, slot_count), target| {
            (
                in_flight_count + target.in_flight_count(),
                slot_count + target.slots,
            )
        })
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
