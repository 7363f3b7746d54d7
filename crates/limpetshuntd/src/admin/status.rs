//! Document of `/status`, which shows the state of a process and its view of the fleet.

use std::{
    fmt::Write as _,
    sync::atomic::Ordering,
    time::Duration, //
};

use limpet_config::{
    Config,
    TargetRef,
    TargetState,
    Team, //
};
use limpet_types::{
    Role,
    status::{
        ConfigStatus,
        CoordinatorStatus,
        MemberStatus,
        StatusDocument,
        TargetStatus,
        TokenStatus, //
    },
};

use crate::{
    Blackboard,
    admin::readiness, //
};

/// Returns the current status of the process.
pub(crate) fn build_document(board: &Blackboard) -> StatusDocument {
    let now = board.now();
    let readiness = readiness::check(board);
    let fresh_until = Duration::from_micros(board.config_fresh_until_us.load(Ordering::Acquire));
    let in_force = board.config_in_force();
    StatusDocument {
        node: board.node.to_string().into(),
        role: board.role,
        zone: board.zone.clone(),
        phase: board.phase(),
        ready: readiness.is_ok(),
        not_ready_reason: readiness.err().map(|reason| reason.to_string().into()),
        fresh_for_ms: to_whole_ms(fresh_until.saturating_sub(now)),
        config: in_force.as_deref().map(|in_force| ConfigStatus {
            revision: in_force.revision,
            digest: to_hex(&in_force.digest),
            size_bytes: in_force.text.len(),
        }),
        refused_texts: board.refused_texts.load().to_vec(),
        members: member_statuses(board, now),
        coordinators: coordinator_statuses(board),
        targets: in_force
            .as_deref()
            .map(|in_force| target_statuses(board, &in_force.config, now))
            .unwrap_or_default(),
        tokens: in_force
            .as_deref()
            .filter(|_| board.role == Role::Entry)
            .map(|in_force| token_statuses(board, &in_force.config, now))
            .unwrap_or_default(),
    }
}

/// Returns the state of a target according to the configuration, as `/status` shows it.
pub(crate) fn target_state(config: &Config, target_ref: &TargetRef<'_>) -> &'static str {
    if target_ref.target.state == TargetState::Leaving {
        "leaving"
    } else if config.is_zone_disabled(&target_ref.target.zone) {
        "zone_out"
    } else {
        "live"
    }
}

/// Returns the statuses of the nodes known by gossip, sorted by node identifier.
fn member_statuses(board: &Blackboard, now: Duration) -> Vec<MemberStatus> {
    let members = board.members.load();
    let member_status = |member: &crate::blackboard::Member| MemberStatus {
        node: member.record.node.to_string().into(),
        role: member.record.role,
        zone: member.record.zone.clone(),
        phase: member.record.phase,
        revision: member.record.revision,
        age_ms: to_whole_ms(now.saturating_sub(member.last_seen_at)),
    };
    let mut statuses: Vec<MemberStatus> = members.nodes.iter().map(member_status).collect();
    statuses.sort_by(|a, b| a.node.cmp(&b.node));
    statuses
}

/// Returns the coordinators that the node records report, sorted by lease group.
fn coordinator_statuses(board: &Blackboard) -> Vec<CoordinatorStatus> {
    let members = board.members.load();
    let mut statuses: Vec<CoordinatorStatus> = members
        .nodes
        .iter()
        .flat_map(|member| {
            let node: Box<str> = member.record.node.to_string().into();
            let groups = member.record.coordinated_groups.iter();
            groups.map(move |group| CoordinatorStatus {
                group: *group,
                node: node.clone(),
            })
        })
        .collect();
    statuses.sort_by(|a, b| (a.group, &a.node).cmp(&(b.group, &b.node)));
    statuses
}

/// Returns the statuses of the targets of the configuration, each with the owner if one is known and, for a
/// target that this relay owns, the time until the ownership ends.
fn target_statuses(board: &Blackboard, config: &Config, now: Duration) -> Vec<TargetStatus> {
    let directory = board.owner_directory.load();
    let deadlines = board.ownership_deadlines.load();
    config
        .targets()
        .map(|target_ref| {
            let addr = target_ref.target.addr;
            let owned_until = deadlines.owned_until(addr, now);
            let owner = owned_until
                .map(|_| board.node)
                .or_else(|| directory.owner_of(addr));
            TargetStatus {
                name: target_ref.target.name.clone(),
                addr,
                service: target_ref.service.name.clone(),
                shard: target_ref.shard.name.clone(),
                zone: target_ref.target.zone.clone(),
                state: target_state(config, &target_ref).into(),
                owner: owner.map(|node| node.addr),
                owned_for_ms: owned_until.map(|until| to_whole_ms(until.saturating_sub(now))),
            }
        })
        .collect()
}

/// Returns for each team the number of tokens that this entry can spend at `now`.
fn token_statuses(board: &Blackboard, config: &Config, now: Duration) -> Vec<TokenStatus> {
    let token_pool = board.token_pool();
    let token_status = |team: &Team| TokenStatus {
        team: team.name.clone(),
        tokens: token_pool.available(&team.name, now).into(),
    };
    config.teams.iter().map(token_status).collect()
}

/// Converts a duration to whole milliseconds, at most `u64::MAX`.
fn to_whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the lowercase hexadecimal digits of the bytes.
fn to_hex(bytes: &[u8]) -> Box<str> {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text.into()
}
