//! Indexes of a configuration by name, address and API key.

use std::collections::HashMap;

use limpet_types::TargetAddr;

use crate::model::{
    ConfigSections,
    api_key_index::ApiKeyIndex, //
};

/// Position of a target in the vectors of a [`ConfigSections`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct TargetPosition {
    pub(crate) service_index: usize,
    pub(crate) shard_index: usize,
    pub(crate) replica_index: usize,
}

/// Maps from names, addresses and API keys to indexes into the vectors of a [`ConfigSections`].
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ConfigIndex {
    pub(crate) service_indexes: HashMap<Box<str>, usize>,
    pub(crate) lookup_indexes: HashMap<Box<str>, usize>,
    pub(crate) team_indexes: HashMap<Box<str>, usize>,
    pub(crate) target_positions: HashMap<TargetAddr, TargetPosition>,
    pub(crate) api_key_index: ApiKeyIndex,
}

impl ConfigIndex {
    pub(crate) fn new(sections: &ConfigSections) -> Self {
        let mut target_positions = HashMap::new();
        for (service_index, service) in sections.services.iter().enumerate() {
            for (shard_index, shard) in service.shards.iter().enumerate() {
                for (replica_index, target) in shard.targets.iter().enumerate() {
                    let position = TargetPosition {
                        service_index,
                        shard_index,
                        replica_index,
                    };
                    target_positions.insert(target.addr, position);
                }
            }
        }
        Self {
            service_indexes: index_by_name(sections.services.iter().map(|service| &service.name)),
            lookup_indexes: index_by_name(sections.lookups.iter().map(|lookup| &lookup.name)),
            team_indexes: index_by_name(sections.teams.iter().map(|team| &team.name)),
            target_positions,
            api_key_index: ApiKeyIndex::new(&sections.teams),
        }
    }
}

/// Maps each name to its position in the iteration.
fn index_by_name<'a>(names: impl Iterator<Item = &'a Box<str>>) -> HashMap<Box<str>, usize> {
    names
        .cloned()
        .enumerate()
        .map(|(index, name)| (name, index))
        .collect()
}
