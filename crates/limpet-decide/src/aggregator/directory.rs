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
/// Fraction of the processor capacity of all processes that the extended set has, the primary aggregators and those
/// that help them under load.
const EXTENDED_CAPACITY_FRACTION: f64 = 0.3;
/// Smallest number of processes among those with the most capacity in all zones: a query that one of them refuses is
/// sent to another one.
const HELPERS_MIN: usize = 2;
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

/// The processes that may aggregate. In each zone they are ranked by capacity, the highest first. The first of them
/// in the zones with targets, the primary ones, get the queries at low load. Under load, those with the most capacity
/// in all zones help them; both together are the extended set.
#[derive(Clone, Debug, Default)]
pub struct AggregatorDirectory {
    nodes: BTreeMap<SocketAddr, AggregatorNode>,
    /// Addresses of each zone in the order of their rank, unless `is_ranked` is false.
    ranked: BTreeMap<Box<str>, Vec<SocketAddr>>,
    /// Number of processes of each zone that are among those with the most capacity in all zones, unless
    /// `is_ranked` is false.
    helper_counts: BTreeMap<Box<str>, usize>,
    /// Capacity of all processes, in cores, unless `is_ranked` is false.
    total_cores: f64,
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

    /// Removes the processes for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(SocketAddr) -> bool) {
        let count_before = self.nodes.len();
        self.nodes.retain(|addr, _| keep(*addr));
        self.is_ranked &= self.nodes.len() == count_before;
    }

    /// Returns the size of the extended set if this process belongs to it, else `None`.
    pub fn extended_count_with(
        &mut self,
        own_addr: SocketAddr,
        shard_shares: &[(Box<str>, f64)],
    ) -> Option<usize> {
        self.rank();
        let own_zone = &self.nodes.get(&own_addr)?.zone;
        let own_zone_count = self.extended_count(own_zone, shard_shares);
        let mut own_zone_members = self.ranked.get(own_zone)?.iter().take(own_zone_count);
        if !own_zone_members.any(|addr| *addr == own_addr) {
            return None;
        }
        let counts = self.ranked.keys();
        Some(
            counts
                .map(|zone| self.extended_count(zone, shard_shares))
                .sum(),
        )
    }

    /// Returns the largest capacity of a process in a zone, in cores; [`AggregatorDirectory::rank`] must precede.
    pub(super) fn largest_cores(&self, zone: &str) -> f64 {
        let largest = self.ranked(zone).first();
        let node = largest.and_then(|addr| self.nodes.get(addr));
        node.map_or(0.0, AggregatorNode::usable_cores)
    }

    /// Returns the zones of all processes.
    pub(super) fn zones(&self) -> impl Iterator<Item = &str> {
        self.ranked.keys().map(|zone| &**zone)
    }

    /// Returns the processes of a zone in the order of their rank; [`AggregatorDirectory::rank`] must precede.
    pub(super) fn ranked(&self, zone: &str) -> &[SocketAddr] {
        self.ranked.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of members of the extended set in a zone, the first ones of its ranking.
    pub(super) fn extended_count(&self, zone: &str, shard_shares: &[(Box<str>, f64)]) -> usize {
        let helper_count = self.helper_counts.get(zone).copied().unwrap_or_default();
        let is_serving = serving_zones(shard_shares).any(|serving| serving == zone);
        match is_serving {
            true => helper_count.max(self.primary_count(zone, shard_shares)),
            false => helper_count,
        }
    }

    /// Returns the number of primary aggregators of a zone: as many, in the order of their rank, as have its
    /// part of the capacity that all primary ones need.
    pub(super) fn primary_count(&self, zone: &str, shard_shares: &[(Box<str>, f64)]) -> usize {
        let serving_zone_count = serving_zones(shard_shares).count().max(1);
        let needed = self.total_cores * PRIMARY_CAPACITY_FRACTION / serving_zone_count as f64;
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
    pub(super) fn rank(&mut self) {
        if self.is_ranked {
            return;
        }
        self.is_ranked = true;
        let cores = self.nodes.values().map(AggregatorNode::usable_cores);
        self.total_cores = cores.sum();
        self.ranked.clear();
        for (addr, node) in &self.nodes {
            let ranked = self.ranked.entry(node.zone.clone()).or_default();
            ranked.push(*addr);
        }
        let nodes = &self.nodes;
        let rank_of = |addr: &SocketAddr| {
            let hash = stable_hash_parts(&[addr.to_string().as_bytes()]);
            (Reverse(nodes[addr].capacity_millicores()), hash)
        };
        for ranked in self.ranked.values_mut() {
            ranked.sort_by_cached_key(rank_of);
        }
        let mut all: Vec<SocketAddr> = nodes.keys().copied().collect();
        all.sort_by_cached_key(rank_of);
        self.count_helpers(&all);
    }

    /// Counts the processes with the most capacity in each zone: as many of `all`, ranked in the same way, as come
    /// closest to the capacity of the extended set.
    fn count_helpers(&mut self, all: &[SocketAddr]) {
        let needed = self.total_cores * EXTENDED_CAPACITY_FRACTION;
        let mut capacity = 0.0;
        self.helper_counts.clear();
        let nodes = all.iter().filter_map(|addr| self.nodes.get(addr));
        for (index, node) in nodes.enumerate() {
            let cores = node.usable_cores();
            let is_enough = index >= HELPERS_MIN && capacity + cores / 2.0 > needed;
            if cores <= 0.0 || is_enough {
                break;
            }
            capacity += cores;
            *self.helper_counts.entry(node.zone.clone()).or_default() += 1;
        }
    }
}

impl AggregatorNode {
    /// Returns the capacity in thousandths of a core, or 0 if it is no positive number.
    pub fn capacity_millicores(&self) -> u64 {
        (self.usable_cores() * 1000.0) as u64
    }

    /// Returns the capacity, or 0 if it is no positive number.
    pub(super) fn usable_cores(&self) -> f64 {
        match self.capacity_cores.is_finite() && self.capacity_cores > 0.0 {
            true => self.capacity_cores,
            false => 0.0,
        }
    }
}

/// Returns the zones that have about as many of the shards as the best one.
pub(super) fn serving_zones(shard_shares: &[(Box<str>, f64)]) -> impl Iterator<Item = &str> {
    let best = shard_shares
        .iter()
        .map(|(_, share)| *share)
        .fold(0.0, f64::max);
    shard_shares
        .iter()
        .filter(move |(_, share)| *share > 0.0 && *share >= best * ZONE_SHARE_MIN)
        .map(|(zone, _)| &**zone)
}
