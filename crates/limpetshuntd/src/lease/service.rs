//! Answers to votes and grant requests.

use limpet_decide::grant::OwnershipEvent;
use limpet_types::{
    GroupId,
    message::{
        GrantReply,
        GrantRequest,
        VoteReply,
        VoteRequest, //
    },
};

use crate::{
    daemon::Context,
    lease::state::LeaseState, //
};

/// Votes as this relay.
pub(super) fn vote(context: &Context, state: &LeaseState, request: &VoteRequest) -> VoteReply {
    let in_force = context.board.config_in_force();
    let vms_max = in_force.map(|in_force| in_force.config.fleet.vms_max);
    let mut voter = state.voter();
    // The clock is read under the lock, so that it does not run backwards between two votes.
    voter.vote(request, vms_max, context.board.now())
}

/// Grants as coordinator, or names the coordinator; `None` for a group that does not exist.
pub(super) fn grant(
    context: &Context,
    state: &LeaseState,
    request: &GrantRequest,
) -> Option<GrantReply> {
    if request.group >= limpet_types::hash::LEASE_GROUP_COUNT {
        return None;
    }
    let board = &context.board;
    let rules = state.rules.get(board, request.group);
    let (reply, events) = {
        let mut group = state.group(request.group);
        let now = board.now();
        let is_held = group.candidate.lease(now).is_some();
        // A coordinator that does not know whether its text is current may have a team's limit that
        // another group has taken over.
        let may_grant = board.is_config_fresh() && !group.candidate.is_resigning();
        match group.coordinator.as_mut().filter(|_| is_held) {
            Some(coordinator) => {
                let reply = coordinator.handle(request, &rules, !may_grant, now);
                (Some(reply), coordinator.take_events())
            }
            None => (None, Vec::new()),
        }
    };
    log_events(request.group, &events);
    metrics::counter!("limpet_grant_requests_total").increment(1);
    Some(reply.unwrap_or_else(|| refusal(context, state, request)))
}

fn refusal(context: &Context, state: &LeaseState, request: &GrantRequest) -> GrantReply {
    let board = &context.board;
    let known = state.voter().promised_to(request.group, board.now());
    GrantReply {
        group: request.group,
        coordinator: known.unwrap_or(board.node),
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

fn log_events(group: GroupId, events: &[OwnershipEvent]) {
    for event in events {
        let (kind, target, owner, reason) = match event {
            OwnershipEvent::Granted(t, n) => ("granted", t, n, "free and wanted".into()),
            OwnershipEvent::Confirmed(t, n) => {
                ("confirmed", t, n, "claimed under this term".into())
            }
            OwnershipEvent::Moving(t, n, to) => ("moving", t, n, format!("{to} is preferred")),
            OwnershipEvent::Released(t, n) => ("released", t, n, "given back by its owner".into()),
            OwnershipEvent::Expired(t, n) => ("expired", t, n, "not renewed in time".into()),
        };
        tracing::info!(group, %target, %owner, reason, "ownership {kind}");
        metrics::counter!("limpet_ownership_decisions_total", "kind" => kind).increment(1);
    }
}
