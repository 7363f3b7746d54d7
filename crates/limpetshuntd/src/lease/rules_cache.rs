//! Limits and preferred owners, computed once per configuration and set of relays.

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
        split_limit, //
    },
    placement,
};
use limpet_types::{
    GroupId, NodeId, Phase, Revision, Role, TargetAddr, TeamName,
    hash::{
        LEASE_GROUP_COUNT,
        group_of_target, //
    },
};

use crate::blackboard::{
    Blackboard,
    ConfigInForce, //
};

/// A relay not heard for longer gets no targets; shorter than the life of ownership, so that the
/// targets of a killed relay are wanted by others when their ownership ends.
const RELAY_SILENCE_MAX: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct Cached {
    revision: Revision,
    relays: Vec<NodeId>,
    rules: Vec<Arc<GroupRules>>,
    limits: [LimitHistory; LEASE_GROUP_COUNT as usize],
    valid_until: Option<Duration>,
}

/// Rules of every group as of the last change.
#[derive(Debug, Default)]
pub(super) struct RulesCache {
    cached: Mutex<Cached>,
}

impl RulesCache {
    /// Returns the rules of a group under the configuration and members of this moment.
    pub(super) fn get(&self, board: &Blackboard, group: GroupId) -> Arc<GroupRules> {
        let Some(in_force) = board.config_in_force() else {
            return Arc::default();
        };
        let relays = serving_relays(board);
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        let now = board.now();
        let is_first = cached.rules.is_empty();
        let is_new_text = is_first || cached.revision != in_force.revision;
        let is_over = cached.valid_until.is_some_and(|until| now >= until);
        if is_new_text || is_over || cached.relays != relays {
            cached.rules.clear();
            cached.valid_until = None;
            let freshness_limit = in_force.config.fleet.freshness_limit;
            for group in 0..LEASE_GROUP_COUNT {
                let history = &mut cached.limits[usize::from(group)];
                if is_new_text {
                    history.install(limits(&in_force, group), is_first, now);
                }
                let (limits, next) = history.effective_limits(freshness_limit, now);
                cached.valid_until = cached.valid_until.into_iter().chain(next).min();
                let preferred = preferred(&in_force, &relays, group);
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

fn limits(in_force: &ConfigInForce, group: GroupId) -> HashMap<TeamName, RateLimit> {
    let limits = in_force.config.teams.iter().map(|team| {
        let whole = RateLimit {
            rate_per_s: team.rate_per_s,
            burst: team.burst,
        };
        (team.name.clone(), split_limit(&team.name, whole, group))
    });
    limits.collect()
}

fn preferred(
    in_force: &ConfigInForce,
    relays: &[NodeId],
    group: GroupId,
) -> HashMap<TargetAddr, NodeId> {
    let config = &in_force.config;
    let of_group = config.targets().filter(|site| {
        site.target.state == TargetState::Live && group_of_target(site.target.addr) == group
    });
    let preferred = of_group.filter_map(|site| {
        let (service, shard) = (&site.service.name, &site.shard.name);
        let relay = placement::preferred_relay(service, shard, site.replica_index, relays)?;
        Some((site.target.addr, relay))
    });
    preferred.collect()
}

/// Returns the relays that take targets, in the order of their addresses.
fn serving_relays(board: &Blackboard) -> Vec<NodeId> {
    let now = board.now();
    let members = board.members.load();
    let heard = members.iter_role(Role::Relay).filter(|member| {
        let is_heard = now.saturating_sub(member.last_seen_at) < RELAY_SILENCE_MAX;
        is_heard && member.record.phase == Phase::Serving && member.record.node != board.node
    });
    let mut heard: Vec<_> = heard.map(|m| (m.record.node, m.last_seen_at)).collect();
    if board.role == Role::Relay && board.phase() == Phase::Serving {
        heard.push((board.node, now));
    }
    // Of two incarnations at one address the one heard last is running.
    heard
        .sort_unstable_by_key(|(node, last_seen_at)| (node.addr, std::cmp::Reverse(*last_seen_at)));
    heard.dedup_by_key(|(node, _)| node.addr);
    heard.into_iter().map(|(node, _)| node).collect()
}
