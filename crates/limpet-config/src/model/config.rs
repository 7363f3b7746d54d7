//! The whole compiled text.

use std::ops::Deref;

use limpet_types::TargetAddr;

use crate::model::{
    ConfigParts,
    Fleet,
    Lookup,
    Service,
    Shard,
    Target,
    Team,
    Zone,
    ZoneState,
    index::Index, //
};

/// A reference to a target, with the shard and service that it belongs to.
#[derive(Clone, Copy, Debug)]
pub struct TargetRef<'a> {
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
///
/// The fields of [`ConfigParts`] can be read through it, `config.teams`, but not written, because the
/// look-ups are built from them; [`Self::change`] builds the look-ups again.
///
/// ```compile_fail
/// # fn change(mut config: limpet_config::Config) {
/// config.teams.clear();
/// # }
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    parts: ConfigParts,
    index: Index,
}

impl Deref for Config {
    type Target = ConfigParts;

    fn deref(&self) -> &ConfigParts {
        &self.parts
    }
}

impl Config {
    /// Creates the form and builds the look-ups.
    pub fn new(
        fleet: Fleet,
        zones: Vec<Zone>,
        teams: Vec<Team>,
        services: Vec<Service>,
        lookups: Vec<Lookup>,
    ) -> Self {
        let parts = ConfigParts {
            fleet,
            zones,
            teams,
            services,
            lookups,
        };
        let index = Index::new(&parts);
        Self { parts, index }
    }

    /// Changes parts and builds the look-ups again.
    ///
    /// # Examples
    ///
    /// ```
    /// # use limpet_config::Config;
    /// let mut config = Config::parse("fleet.vms_max = 8").unwrap();
    /// config.change(|parts| parts.fleet.vms_max = 9);
    /// assert_eq!(config.fleet.vms_max, 9);
    /// ```
    pub fn change(&mut self, change: impl FnOnce(&mut ConfigParts)) {
        change(&mut self.parts);
        self.index = Index::new(&self.parts);
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.index.services.get(name).map(|at| &self.services[*at])
    }

    /// Returns a lookup by name.
    pub fn lookup(&self, name: &str) -> Option<&Lookup> {
        self.index.lookups.get(name).map(|at| &self.lookups[*at])
    }

    /// Returns a team by name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.index.teams.get(name).map(|at| &self.teams[*at])
    }

    /// Returns the team that an API key belongs to.
    pub fn team_by_key(&self, key: &[u8]) -> Option<&Team> {
        let digest = *blake3::hash(key).as_bytes();
        self.index.keys.team(&digest).map(|at| &self.teams[at])
    }

    /// Returns whether a zone is disabled; a zone that the text does not define counts as disabled.
    pub fn is_zone_disabled(&self, name: &str) -> bool {
        self.zones
            .iter()
            .find(|zone| &*zone.name == name)
            .is_none_or(|zone| zone.state == ZoneState::Disabled)
    }

    /// Iterates over every target.
    pub fn targets(&self) -> impl Iterator<Item = TargetRef<'_>> {
        self.services.iter().flat_map(|service| {
            service.shards.iter().flat_map(move |shard| {
                let sites = shard.targets.iter().enumerate();
                sites.map(move |(replica_index, target)| TargetRef {
                    service,
                    shard,
                    replica_index,
                    target,
                })
            })
        })
    }

    /// Returns the target at an address.
    pub fn target(&self, addr: TargetAddr) -> Option<TargetRef<'_>> {
        let place = self.index.targets.get(&addr)?;
        let service = &self.services[place.service];
        let shard = &service.shards[place.shard];
        Some(TargetRef {
            service,
            shard,
            replica_index: place.replica,
            target: &shard.targets[place.replica],
        })
    }
}
