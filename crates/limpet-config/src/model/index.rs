//! Indexes of a configuration by name, address and API key.

use std::collections::HashMap;

use limpet_types::TargetAddr;

use crate::model::{
    ConfigSections,
    key_index::KeyIndex, //
};

/// Indexes of the service, shard and replica that locate a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TargetPosition {
    pub(crate) service: usize,
    pub(crate) shard: usize,
    pub(crate) replica: usize,
}

/// Maps from names, addresses and API keys to indexes into the vectors of a [`ConfigSections`].
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Index {
    pub(crate) services: HashMap<Box<str>, usize>,
    pub(crate) lookups: HashMap<Box<str>, usize>,
    pub(crate) teams: HashMap<Box<str>, usize>,
    pub(crate) targets: HashMap<TargetAddr, TargetPosition>,
    pub(crate) key_index: KeyIndex,
}

impl Index {
    pub(crate) fn new(config: &ConfigSections) -> Self {
        let mut targets = HashMap::new();
        for (service, service_config) in config.services.iter().enumerate() {
            for (shard, shard_config) in service_config.shards.iter().enumerate() {
                for (replica, target) in shard_config.targets.iter().enumerate() {
                    let position = TargetPosition {
                        service,
                        shard,
                        replica,
                    };
                    targets.insert(target.addr, position);
                }
            }
        }
        Self {
            services: index_by_name(config.services.iter().map(|s| &s.name)),
            lookups: index_by_name(config.lookups.iter().map(|l| &l.name)),
            teams: index_by_name(config.teams.iter().map(|t| &t.name)),
            targets,
            key_index: KeyIndex::new(&config.teams),
        }
    }
}

fn index_by_name<'a>(names: impl Iterator<Item = &'a Box<str>>) -> HashMap<Box<str>, usize> {
    names
        .cloned()
        .enumerate()
        .map(|(index, name)| (name, index))
        .collect()
}
