//! The validated configuration and its queries.

use std::ops::Deref;

use limpet_types::TargetAddr;

use crate::model::{
    ConfigSections,
    FleetSettings,
    Lookup,
    Service,
    Shard,
    Target,
    Team,
    Zone,
    ZoneState,
    config_index::ConfigIndex, //
};

/// A target together with the shard and service that it belongs to.
#[derive(Clone, Copy, Debug)]
pub struct TargetRef<'a> {
    /// Service that the shard belongs to.
    pub service: &'a Service,
    /// Shard that the target is a replica of.
    pub shard: &'a Shard,
    /// Index of the target among the replicas of the shard.
    pub replica_index: usize,
    /// The target.
    pub target: &'a Target,
}

/// A validated configuration with indexes by name, address and API key.
///
/// The fields of [`ConfigSections`] can be read directly (`config.teams`) but not written, because the
/// indexes are built from them; [`Self::change`] rebuilds the indexes.
///
/// ```compile_fail
/// # fn change(mut config: limpet_config::Config) {
/// config.teams.clear();
/// # }
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    sections: ConfigSections,
    index: ConfigIndex,
}

impl Deref for Config {
    type Target = ConfigSections;

    fn deref(&self) -> &ConfigSections {
        &self.sections
    }
}

impl Config {
    /// Creates a configuration and builds its indexes.
    pub fn new(
        fleet: FleetSettings,
        zones: Vec<Zone>,
        teams: Vec<Team>,
        services: Vec<Service>,
        lookups: Vec<Lookup>,
    ) -> Self {
        let sections = ConfigSections {
            fleet,
            zones,
            teams,
            services,
            lookups,
        };
        let index = ConfigIndex::new(&sections);
        Self { sections, index }
    }

    /// Applies a change to the sections and rebuilds the indexes.
    ///
    /// # Examples
    ///
    /// ```
    /// # use limpet_config::Config;
    /// let mut config = Config::parse("fleet.vms_max = 8").unwrap();
    /// config.change(|sections| sections.fleet.vms_max = 9);
    /// assert_eq!(config.fleet.vms_max, 9);
    /// ```
    pub fn change(&mut self, change: impl FnOnce(&mut ConfigSections)) {
        change(&mut self.sections);
        self.index = ConfigIndex::new(&self.sections);
    }

    /// Returns the service named `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.index
            .service_indexes
            .get(name)
            .map(|index| &self.services[*index])
    }

    /// Returns the lookup named `name`.
    pub fn lookup(&self, name: &str) -> Option<&Lookup> {
        self.index
            .lookup_indexes
            .get(name)
            .map(|index| &self.lookups[*index])
    }

    /// Returns the team named `name`.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.index
            .team_indexes
            .get(name)
            .map(|index| &self.teams[*index])
    }

    /// Returns the team that an API key belongs to.
    pub fn team_by_api_key(&self, key: &[u8]) -> Option<&Team> {
        let digest = *blake3::hash(key).as_bytes();
        self.index
            .api_key_index
            .team_index(&digest)
            .map(|index| &self.teams[index])
    }

    /// Returns whether a zone is disabled; a zone that the text does not define counts as disabled.
    pub fn is_zone_disabled(&self, name: &str) -> bool {
        self.zones
            .iter()
            .find(|zone| &*zone.name == name)
            .is_none_or(|zone| zone.state == ZoneState::Disabled)
    }

    /// Iterates over the targets of all services.
    pub fn targets(&self) -> impl Iterator<Item = TargetRef<'_>> {
        self.services.iter().flat_map(|service| {
            service.shards.iter().flat_map(move |shard| {
                let targets = shard.targets.iter().enumerate();
                targets.map(move |(replica_index, target)| TargetRef {
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
        let position = self.index.target_positions.get(&addr)?;
        let service = &self.services[position.service_index];
        let shard = &service.shards[position.shard_index];
        Some(TargetRef {
            service,
            shard,
            replica_index: position.replica_index,
            target: &shard.targets[position.replica_index],
        })
    }
}
