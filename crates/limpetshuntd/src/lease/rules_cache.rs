//! Cache of each lease group's token limits and preferred owners of targets, which depend on the
//! configuration and the serving relays.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use limpet_config::TargetState;
use limpet_decide::{
    grant::{
        GroupRules,
        LimitHistory,
        RateLimit,
        group_limit, //
    },
    placement,
};
use limpet_types::{
    LeaseGroupId, NodeId, Phase, Revision, Role, TargetAddr, TeamName,
    hash::{
        LEASE_GROUP_COUNT,
        lease_group_of_target, //
    },
};

use crate::blackboard::{
    Blackboard,
    ConfigInForce, //
};

/// Age of a relay's latest node record from which on the relay is assigned no targets. Shorter than the
/// lifetime of an ownership, so that other relays already want the targets of a killed relay when its
/// ownerships expire.
const RELAY_SILENCE_MAX: Duration = Duration::from_secs(3);

/// Rules of each lease group, with the configuration revision and the relays for which they were computed.
#[derive(Debug, Default)]
struct CachedRules {
    revision: Revision,
    relays: Vec<NodeId>,
    rules: Vec<Arc<GroupRules>>,
    /// Past limits of each lease group, because an earlier limit may still apply after a change.
    limit_histories: [LimitHistory; LEASE_GROUP_COUNT as usize],
    /// Time since boot of the next change of a limit; `None` if no change is pending.
    valid_until: Option<Duration>,
}

/// Rules of every lease group, recomputed when the configuration, the relays or a limit changes.
#[derive(Debug, Default)]
pub(super) struct RulesCache {
    cached: Mutex<CachedRules>,
}

impl RulesCache {
    /// Returns the rules of a lease group for the current configuration and members; without a
    /// configuration in force, the rules have neither limits nor preferred relays.
    pub(super) fn get(&self, board: &Blackboard, group: LeaseGroupId) -> Arc<GroupRules> {
        let Some(in_force) = board.config_in_force() else {
            return Arc::default();
        };
        let relays = serving_relays(board);
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        let now = board.now();
        let is_first = cached.rules.is_empty();
        let is_new_revision = is_first || cached.revision != in_force.revision;
        let is_expired = cached.valid_until.is_some_and(|until| now >= until);
        if is_new_revision || is_expired || cached.relays != relays {
            cached.rules.clear();
            cached.valid_until = None;
            let freshness_limit = in_force.config.fleet.freshness_limit;
            for group in 0..LEASE_GROUP_COUNT {
                let history = &mut cached.limit_histories[usize::from(group)];
                if is_new_revision {
                    history.install(group_limits(&in_force, group), is_first, now);
                }
                let (limits, next_change_at) = history.effective_limits(freshness_limit, now);
                cached.valid_until = cached.valid_until.into_iter().chain(next_change_at).min();
                let preferred = preferred_relays(&in_force, &relays, group);
                cached
                    .rules
                    .push(Arc::new(GroupRules { limits, preferred }));
            }
            cached.revision = in_force.revision;
            cached.relays = relays;
        }
        Arc::clone(&cached.rules[usize::from(group)])
    }
}

/// Returns the part of each team's token limit that the lease group grants.
fn group_limits(in_force: &ConfigInForce, group: LeaseGroupId) -> HashMap<TeamName, RateLimit> {
    let limits = in_force.config.teams.iter().map(|team| {
        let team_limit = RateLimit {
            rate_per_s: team.rate_per_s,
            burst: team.burst,
        };
        (
            team.name.clone(),
            group_limit(&team.name, team_limit, group),
        )
    });
    limits.collect()
}

/// Returns the preferred relay of each live target of the lease group.
fn preferred_relays(
    in_force: &ConfigInForce,
    relays: &[NodeId],
    group: LeaseGroupId,
) -> HashMap<TargetAddr, NodeId> {
    let config = &in_force.config;
    let group_targets = config.targets().filter(|target_ref| {
        target_ref.target.state == TargetState::Live
            && lease_group_of_target(target_ref.target.addr) == group
    });
    let preferred = group_targets.filter_map(|target_ref| {
        let (service, shard) = (&target_ref.service.name, &target_ref.shard.name);
        let relay = placement::preferred_relay(service, shard, target_ref.replica_index, relays)?;
        Some((target_ref.target.addr, relay))
    });
    preferred.collect()
}

/// Returns the relays that can own targets, because they serve and were heard from recently, in the order of
/// their addresses.
fn serving_relays(board: &Blackboard) -> Vec<NodeId> {
    let now = board.now();
    let members = board.members.load();
    let serving = members.nodes_with_role(Role::Relay).filter(|member| {
        let is_alive = now.saturating_sub(member.last_seen_at) < RELAY_SILENCE_MAX;
        is_alive && member.record.phase == Phase::Serving && member.record.node != board.node
    });
    let mut serving: Vec<_> = serving
        .map(|member| (member.record.node, member.last_seen_at))
        .collect();
    if board.role == Role::Relay && board.phase() == Phase::Serving {
        serving.push((board.node, now));
    }
    // Of two incarnations at one address, the one heard last is running.
    serving
        .sort_unstable_by_key(|(node, last_seen_at)| (node.addr, std::cmp::Reverse(*last_seen_at)));
    serving.dedup_by_key(|(node, _)| node.addr);
    serving.into_iter().map(|(node, _)| node).collect()
}
