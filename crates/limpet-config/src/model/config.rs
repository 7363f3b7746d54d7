//! The whole compiled text.

use limpet_types::TargetAddr;
use subtle::ConstantTimeEq;

use crate::model::{
    Fleet,
    Lookup,
    Service,
    Shard,
    Target,
    Team,
    Zone,
    ZoneState, //
};

/// A target with the shard and service that it belongs to.
#[derive(Clone, Copy, Debug)]
pub struct TargetSite<'a> {
    /// Service.
    pub service: &'a Service,
    /// Shard.
    pub shard: &'a Shard,
    /// Position among the replicas of the shard.
    pub replica_index: usize,
    /// Target.
    pub target: &'a Target,
}

/// A checked text in compiled form.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Figures of the fleet.
    pub fleet: Fleet,
    /// Zones.
    pub zones: Vec<Zone>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Services.
    pub services: Vec<Service>,
    /// Lookups.
    pub lookups: Vec<Lookup>,
}

impl Config {
    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// Returns a lookup by name.
    pub fn lookup(&self, name: &str) -> Option<&Lookup> {
        self.lookups.iter().find(|lookup| &*lookup.name == name)
    }

    /// Returns a team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| &*team.name == name)
    }

    /// Returns the team that an API key belongs to.
    ///
    /// Every digest is compared in full, so the time tells nothing about the digests.
    pub fn team_by_key(&self, key: &[u8]) -> Option<&Team> {
        let digest = blake3::hash(key);
        let mut found = None;
        for team in &self.teams {
            for known in &team.key_digests {
                if bool::from(known.ct_eq(digest.as_bytes())) {
                    found = Some(team);
                }
            }
        }
        found
    }

    /// Returns whether a zone is out; a zone that the text does not name is.
    pub fn zone_is_out(&self, name: &str) -> bool {
        self.zones
            .iter()
            .find(|zone| &*zone.name == name)
            .is_none_or(|zone| zone.state == ZoneState::Out)
    }

    /// Iterates over every target.
    pub fn targets(&self) -> impl Iterator<Item = TargetSite<'_>> {
        self.services.iter().flat_map(|service| {
            service.shards.iter().flat_map(move |shard| {
                let sites = shard.targets.iter().enumerate();
                sites.map(move |(replica_index, target)| TargetSite {
                    service,
                    shard,
                    replica_index,
                    target,
                })
            })
        })
    }

    /// Returns the target at an address.
    pub fn target(&self, addr: TargetAddr) -> Option<TargetSite<'_>> {
        self.targets().find(|site| site.target.addr == addr)
    }
}
