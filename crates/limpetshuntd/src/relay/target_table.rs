//! Targets of one configuration revision by name and by address, and the weights of the teams.

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

/// Configuration of a target, as far as the relay needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TargetConfig {
    pub(crate) addr: TargetAddr,
    /// Whether the zone of the target is disabled, so that the target gets no attempts.
    pub(crate) is_zone_disabled: bool,
    /// Whether the target is being removed and gets no new attempts.
    pub(crate) is_leaving: bool,
    /// Maximum number of attempts that the target runs at a time.
    pub(crate) slots: u32,
    /// Maximum number of connections that the target accepts over all VMs.
    pub(crate) connections_max: u32,
    /// Maximum number of attempts that the target runs at a time while cold.
    pub(crate) cold_limit: u32,
}

/// Targets and team weights of one configuration revision.
#[derive(Debug)]
pub(crate) struct TargetTable {
    /// Configuration from which the table was built.
    pub(crate) config_in_force: Arc<ConfigInForce>,
    by_name: HashMap<TargetName, TargetConfig>,
    by_addr: HashMap<TargetAddr, TargetConfig>,
    team_weights: HashMap<TeamName, u32>,
}

impl TargetTable {
    pub(crate) fn new(config_in_force: Arc<ConfigInForce>) -> Self {
        let config = &config_in_force.config;
        let is_zone_disabled_by_name: HashMap<&str, bool> = config
            .zones
            .iter()
            .map(|zone| (&*zone.name, config.is_zone_disabled(&zone.name)))
            .collect();
        let mut by_name = HashMap::new();
        let mut by_addr = HashMap::new();
        for target_ref in config.targets() {
            let target_config = TargetConfig {
                addr: target_ref.target.addr,
                // A zone that the configuration does not list counts as disabled.
                is_zone_disabled: is_zone_disabled_by_name
                    .get(&*target_ref.target.zone)
                    .copied()
                    .unwrap_or(true),
                is_leaving: target_ref.target.state == TargetState::Leaving,
                slots: target_ref.service.slots,
                connections_max: target_ref.service.connections_max,
                cold_limit: target_ref.service.cold_limit,
            };
            by_name.insert(target_ref.target.name.clone(), target_config);
            by_addr.insert(target_config.addr, target_config);
        }
        let team_weights = config
            .teams
            .iter()
            .map(|team| (team.name.clone(), team.weight));
        let team_weights = team_weights.collect();
        Self {
            by_name,
            by_addr,
            team_weights,
            config_in_force,
        }
    }

    pub(crate) fn get_by_name(&self, name: &str) -> Option<TargetConfig> {
        self.by_name.get(name).copied()
    }

    pub(crate) fn get_by_addr(&self, addr: TargetAddr) -> Option<TargetConfig> {
        self.by_addr.get(&addr).copied()
    }

    /// Returns the weight of a team, or 1 if the configuration does not have the team; callers of open
    /// services may have none.
    pub(crate) fn team_weight(&self, team: &str) -> u32 {
        self.team_weights.get(team).copied().unwrap_or(1).max(1)
    }
}
