//! Targets of one revision by name and by address.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use limpet_config::TargetState;
use limpet_types::{
    TargetAddr,
    TargetName,
    TeamName, //
};

use crate::blackboard::ConfigInForce;

/// What the relay needs to know of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Site {
    pub(crate) addr: TargetAddr,
    pub(crate) is_zone_out: bool,
    pub(crate) is_leaving: bool,
    pub(crate) slots: u32,
    pub(crate) connections_max: u32,
    pub(crate) cold_limit: u32,
}

/// Targets of one revision.
#[derive(Debug)]
pub(crate) struct Sites {
    pub(crate) in_force: Arc<ConfigInForce>,
    by_name: HashMap<TargetName, Site>,
    by_addr: HashMap<TargetAddr, Site>,
    weights: HashMap<TeamName, u32>,
}

impl Sites {
    pub(crate) fn new(in_force: Arc<ConfigInForce>) -> Self {
        let config = &in_force.config;
        let zones_out: HashMap<&str, bool> = config
            .zones
            .iter()
            .map(|zone| (&*zone.name, config.is_zone_disabled(&zone.name)))
            .collect();
        let mut by_name = HashMap::new();
        let mut by_addr = HashMap::new();
        for found in config.targets() {
            let site = Site {
                addr: found.target.addr,
                is_zone_out: zones_out.get(&*found.target.zone).copied().unwrap_or(true),
                is_leaving: found.target.state == TargetState::Leaving,
                slots: found.service.slots,
                connections_max: found.service.connections_max,
                cold_limit: found.service.cold_limit,
            };
            by_name.insert(found.target.name.clone(), site);
            by_addr.insert(site.addr, site);
        }
        let weights = config.teams.iter().map(|t| (t.name.clone(), t.weight));
        let weights = weights.collect();
        Self {
            by_name,
            by_addr,
            weights,
            in_force,
        }
    }

    pub(crate) fn named(&self, name: &str) -> Option<Site> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn at(&self, addr: TargetAddr) -> Option<Site> {
        self.by_addr.get(&addr).copied()
    }

    /// Returns the weight of a team; open routes have no team and weigh one.
    pub(crate) fn weight(&self, team: &str) -> u32 {
        self.weights.get(team).copied().unwrap_or(1).max(1)
    }
}
