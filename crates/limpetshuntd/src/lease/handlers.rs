//! Handlers of vote and grant requests, for peers and for this process itself.

use limpet_decide::grant::OwnershipEvent;
use limpet_types::{
    LeaseGroupId,
    message::{
        GrantReply,
        GrantRequest,
        VoteReply,
        VoteRequest, //
    },
};

use crate::{
    daemon::Context,
    lease::lease_state::LeaseState, //
};

/// Answers a vote request as the voter of this relay.
pub(super) fn vote(
    context: &Context,
    lease_state: &LeaseState,
    request: &VoteRequest,
) -> VoteReply {
    let in_force = context.board.config_in_force();
    let vms_max = in_force.map(|in_force| in_force.config.fleet.vms_max);
    let mut voter = lease_state.lock_voter();
    // The clock is read while the lock is held, so that the times of successive votes do not decrease.
    voter.vote(request, vms_max, context.board.now())
}

/// Answers a grant request as coordinator of its lease group, or names the candidate for which this relay
/// has voted, if any.
///
/// Returns `None` if the lease group does not exist.
pub(super) fn grant(
    context: &Context,
    lease_state: &LeaseState,
    request: &GrantRequest,
) -> Option<GrantReply> {
    if request.group >= limpet_types::hash::LEASE_GROUP_COUNT {
        return None;
    }
    let board = &context.board;
    let rules = lease_state.rules_cache.get(board, request.group);
    let (reply, events) = {
        let mut group_state = lease_state.lock_group(request.group);
        let now = board.now();
        let has_lease = group_state.candidate.lease(now).is_some();
        // Without evidence that the configuration is current, this coordinator may apply a limit that
        // a newer configuration has assigned to another lease group.
        let may_grant = board.is_config_fresh() && !group_state.candidate.is_resigning();
        match group_state.coordinator.as_mut().filter(|_| has_lease) {
            Some(coordinator) => {
                let reply = coordinator.handle(request, &rules, !may_grant, now);
                (Some(reply), coordinator.take_events())
            }
            None => (None, Vec::new()),
        }
    };
    record_events(request.group, &events);
    metrics::counter!("limpet_grant_requests_total").increment(1);
    Some(reply.unwrap_or_else(|| not_coordinator_reply(context, lease_state, request)))
}

/// Returns the reply of a relay that does not coordinate the lease group: it names the candidate to whom the
/// group is promised here, or this relay if there is none, which tells the client that it must search on.
fn not_coordinator_reply(
    context: &Context,
    lease_state: &LeaseState,
    request: &GrantRequest,
) -> GrantReply {
    let board = &context.board;
    let coordinator = lease_state
        .lock_voter()
        .promised_to(request.group, board.now());
    GrantReply {
        group: request.group,
        coordinator: coordinator.unwrap_or(board.node),
        sequence: request.sequence,
        is_coordinator: false,
        term: 0,
        token_ttl: std::time::Duration::ZERO,
        ownership_ttl: std::time::Duration::ZERO,
        tokens: Vec::new(),
        targets: Vec::new(),
        directory_version: request.directory_version,
        directory: None,
    }
}

/// Logs and counts the ownership events of a coordinator.
fn record_events(group: LeaseGroupId, events: &[OwnershipEvent]) {
    for event in events {
        let (kind, target, owner, reason) = match event {
            OwnershipEvent::Granted(target, owner) => {
                ("granted", target, owner, "free and wanted".into())
            }
            OwnershipEvent::Confirmed(target, owner) => {
                ("confirmed", target, owner, "claimed under this term".into())
            }
            OwnershipEvent::Moving(target, owner, next_owner) => (
                "moving",
                target,
                owner,
                format!("{next_owner} is preferred"),
            ),
            OwnershipEvent::Released(target, owner) => {
                ("released", target, owner, "given back by its owner".into())
            }
            OwnershipEvent::Expired(target, owner) => {
                ("expired", target, owner, "not renewed in time".into())
            }
        };
        tracing::info!(group, %target, %owner, reason, "ownership {kind}");
        metrics::counter!("limpet_ownership_decisions_total", "kind" => kind).increment(1);
    }
}
