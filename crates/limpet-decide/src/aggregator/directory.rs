//! The processes that may aggregate, by zone.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    net::SocketAddr, //
};

use limpet_types::hash::stable_hash_parts;

/// Fraction of the processor capacity of all processes that the primary aggregators of all zones have
/// together. Fewer would be overloaded; with more of them their connections would be less warm.
const PRIMARY_CAPACITY_FRACTION: f64 = 0.1;
/// A zone is used if its share of shards is at least this fraction of the best one.
const ZONE_SHARE_MIN: f64 = 0.8;

/// What a process announces about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct AggregatorNode {
    /// Availability zone of the process.
    pub zone: Box<str>,
    /// Processor capacity, in cores.
    pub capacity_cores: f64,
}

/// What the choice of an aggregator for one query depends on.
pub struct AggregatorChoice<'a> {
    /// Address of this process.
    pub own_addr: SocketAddr,
    /// Zone of this process.
    pub own_zone: &'a str,
    /// Share of the shards that have a usable target in each zone.
    pub shard_shares: &'a [(Box<str>, f64)],
    /// Returns whether a process is live and not ejected.
    pub is_usable: &'a dyn Fn(SocketAddr) -> bool,
    /// Aggregators that refused this query.
    pub refused_by: &'a [SocketAddr],
    /// Random number in 0..1 that chooses the zone.
    pub zone_draw: f64,
    /// Random number in 0..1 that chooses the process.
    pub draw: f64,
}

/// The processes that may aggregate. In each zone they are ranked by capacity, the highest first, and the
/// first of them, the primary ones, get the queries.
#[derive(Clone, Debug, Default)]
pub struct AggregatorDirectory {
    nodes: BTreeMap<SocketAddr, AggregatorNode>,
    /// Addresses of each zone in the order of their rank, unless `is_ranked` is false.
    ranked: BTreeMap<Box<str>, Vec<SocketAddr>>,
    /// Whether the order takes all changes into account. A start of the whole fleet brings many at once.
    is_ranked: bool,
}

impl AggregatorDirectory {
    /// Creates a directory without processes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of processes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether the directory has no processes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns what a process announced.
    pub fn node(&self, addr: SocketAddr) -> Option<&AggregatorNode> {
        self.nodes.get(&addr)
    }

    /// Adds a process or replaces what it announced before; a capacity that is no positive number counts as
    /// none.
    pub fn insert(&mut self, addr: SocketAddr, node: AggregatorNode) {
        if self.nodes.get(&addr) == Some(&node) {
            return;
        }
        self.nodes.insert(addr, node);
        self.is_ranked = false;
    }

    /// Removes a process.
    pub fn remove(&mut self, addr: SocketAddr) {
        if self.nodes.remove(&addr).is_some() {
            self.is_ranked = false;
        }
    }

    /// Chooses an aggregator: a random primary one of the zone that has most of the shards, preferably of this
    /// process's own zone. After a refusal, twice as many processes of that zone come into question.
    ///
    /// Returns `None` if there is no usable one, or if it is this process itself.
    pub fn choose(&mut self, choice: &AggregatorChoice<'_>) -> Option<SocketAddr> {
        self.rank();
        let zone = self.choose_zone(choice)?;
        let ranked = self.ranked.get(zone)?;
        let serving_zone_count = serving_zones(choice.shard_shares).count();
        let primary_count = self.primary_count(zone, serving_zone_count);
        let considered_count = primary_count << choice.refused_by.len().min(8);
        let usable: Vec<SocketAddr> = ranked
            .iter()
            .copied()
            .filter(|addr| *addr == choice.own_addr || (choice.is_usable)(*addr))
            .filter(|addr| !choice.refused_by.contains(addr))
            .take(considered_count)
            .collect();
        let index = (choice.draw * usable.len() as f64) as usize;
        let chosen = usable.get(index.min(usable.len().saturating_sub(1)))?;
        // A primary aggregator runs its own queries itself.
        let is_own_primary = usable.contains(&choice.own_addr) && choice.refused_by.is_empty();
        (*chosen != choice.own_addr && !is_own_primary).then_some(*chosen)
    }

    /// Returns the number of primary aggregators in all zones if this process is one of them, else `None`.
    pub fn primary_count_with(
        &mut self,
        own_addr: SocketAddr,
        shard_shares: &[(Box<str>, f64)],
    ) -> Option<usize> {
        self.rank();
        let own_zone = &self.nodes.get(&own_addr)?.zone;
        let serving_zone_count = serving_zones(shard_shares).count();
        let primary_count = self.primary_count(own_zone, serving_zone_count);
        let mut own_zone_primaries = self.ranked.get(own_zone)?.iter().take(primary_count);
        let is_serving = serving_zones(shard_shares).any(|zone| zone == &**own_zone);
        if !is_serving || !own_zone_primaries.any(|addr| *addr == own_addr) {
            return None;
        }
        let counts =
            serving_zones(shard_shares).map(|zone| self.primary_count(zone, serving_zone_count));
        Some(counts.sum())
    }

    /// Chooses the zone of the aggregator: this process's own if it serves, else a random serving one.
    fn choose_zone<'a>(&self, choice: &AggregatorChoice<'a>) -> Option<&'a str> {
        let has_usable = |zone: &&str| {
            let ranked = self.ranked.get(*zone);
            ranked.is_some_and(|ranked| {
                ranked
                    .iter()
                    .any(|addr| *addr == choice.own_addr || (choice.is_usable)(*addr))
            })
        };
        let zones: Vec<&str> = serving_zones(choice.shard_shares)
            .filter(has_usable)
            .collect();
        if let Some(own_zone) = zones.iter().find(|zone| **zone == choice.own_zone) {
            return Some(own_zone);
        }
        let index = (choice.zone_draw * zones.len() as f64) as usize;
        zones.get(index.min(zones.len().saturating_sub(1))).copied()
    }

    /// Returns the number of primary aggregators of a zone: as many, in the order of their rank, as have its
    /// part of the capacity that all primary ones need.
    fn primary_count(&self, zone: &str, serving_zone_count: usize) -> usize {
        let total: f64 = self.nodes.values().map(AggregatorNode::usable_cores).sum();
        let needed = total * PRIMARY_CAPACITY_FRACTION / serving_zone_count.max(1) as f64;
        let mut capacity = 0.0;
        let mut count = 0;
        for addr in self.ranked.get(zone).into_iter().flatten() {
            if capacity >= needed {
                break;
            }
            capacity += self
                .nodes
                .get(addr)
                .map_or(0.0, AggregatorNode::usable_cores);
            count += 1;
        }
        count.max(1)
    }

    /// Ranks the processes of each zone by capacity, and by a hash of their address where it is equal.
    fn rank(&mut self) {
        if self.is_ranked {
            return;
        }
        self.is_ranked = true;
        self.ranked.clear();
        for (addr, node) in &self.nodes {
            let ranked = self.ranked.entry(node.zone.clone()).or_default();
            ranked.push(*addr);
        }
        let nodes = &self.nodes;
        for ranked in self.ranked.values_mut() {
            ranked.sort_by_cached_key(|addr| {
                let hash = stable_hash_parts(&[addr.to_string().as_bytes()]);
                (Reverse(nodes[addr].capacity_millicores()), hash)
            });
        }
    }
}

impl AggregatorNode {
    /// Returns the capacity in thousandths of a core, or 0 if it is no positive number.
    pub fn capacity_millicores(&self) -> u64 {
        (self.usable_cores() * 1000.0) as u64
    }

    /// Returns the capacity, or 0 if it is no positive number.
    fn usable_cores(&self) -> f64 {
        match self.capacity_cores.is_finite() && self.capacity_cores > 0.0 {
            true => self.capacity_cores,
            false => 0.0,
        }
    }
}

/// Returns the zones that have about as many of the shards as the best one.
fn serving_zones(shard_shares: &[(Box<str>, f64)]) -> impl Iterator<Item = &str> {
    let best = shard_shares
        .iter()
        .map(|(_, share)| *share)
        .fold(0.0, f64::max);
    shard_shares
        .iter()
        .filter(move |(_, share)| *share > 0.0 && *share >= best * ZONE_SHARE_MIN)
        .map(|(zone, _)| &**zone)
}
