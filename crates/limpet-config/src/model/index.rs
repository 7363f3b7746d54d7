//! Positions by name and address, built once for each text.

use std::collections::HashMap;

use limpet_types::TargetAddr;

use crate::model::{
    ConfigParts,
    keys::Keys, //
};

/// Position of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Place {
    pub(crate) service: usize,
    pub(crate) shard: usize,
    pub(crate) replica: usize,
}

/// Positions in the vectors of a [`ConfigParts`].
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Index {
    pub(crate) services: HashMap<Box<str>, usize>,
    pub(crate) lookups: HashMap<Box<str>, usize>,
    pub(crate) teams: HashMap<Box<str>, usize>,
    pub(crate) targets: HashMap<TargetAddr, Place>,
    pub(crate) keys: Keys,
}

impl Index {
    pub(crate) fn new(config: &ConfigParts) -> Self {
        let mut targets = HashMap::new();
        for (service, s) in config.services.iter().enumerate() {
            for (shard, s) in s.shards.iter().enumerate() {
                for (replica, target) in s.targets.iter().enumerate() {
                    let place = Place {
                        service,
                        shard,
                        replica,
                    };
                    targets.insert(target.addr, place);
                }
            }
        }
        Self {
            services: positions(config.services.iter().map(|s| &s.name)),
            lookups: positions(config.lookups.iter().map(|l| &l.name)),
            teams: positions(config.teams.iter().map(|t| &t.name)),
            targets,
            keys: Keys::new(&config.teams),
        }
    }
}

fn positions<'a>(names: impl Iterator<Item = &'a Box<str>>) -> HashMap<Box<str>, usize> {
    names
        .cloned()
        .enumerate()
        .map(|(at, name)| (name, at))
        .collect()
}
