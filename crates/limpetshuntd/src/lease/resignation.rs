//! Resignation of a draining relay as coordinator.

use std::time::Duration;

use limpet_types::hash::LEASE_GROUP_COUNT;

use crate::{
    daemon::Context,
    lease::{
        candidate_actor::{
            publish_coordinated_groups,
            release_votes, //
        },
        lease_state::LeaseState,
    },
};

/// Interval between two checks whether entries may still spend tokens that this relay granted.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Resigns as coordinator of every lease group that this relay coordinates.
///
/// The votes are released only when no granted token is valid any more. The next coordinator does not
/// know these tokens, so an earlier release could let a team exceed its burst.
pub(super) async fn resign_all(context: &Context, lease_state: &LeaseState) {
    for group in 0..LEASE_GROUP_COUNT {
        lease_state.lock_group(group).candidate.resign();
    }
    for group in 0..LEASE_GROUP_COUNT {
        while has_outstanding_tokens(context, lease_state, group) {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        let vote_release = {
            let mut group_state = lease_state.lock_group(group);
            group_state.coordinator = None;
            group_state.candidate.release()
        };
        if let Some(request) = vote_release {
            tracing::info!(group, reason = "draining", "resigned as coordinator");
            metrics::counter!("limpet_resignations_total").increment(1);
            release_votes(context, lease_state, &request).await;
        }
    }
    publish_coordinated_groups(&context.board, lease_state);
}

/// Returns whether entries may still spend tokens that this relay granted for the lease group; false once
/// its lease has expired.
fn has_outstanding_tokens(context: &Context, lease_state: &LeaseState, group: u16) -> bool {
    let rules = lease_state.rules_cache.get(&context.board, group);
    let mut group_state = lease_state.lock_group(group);
    let now = context.board.now();
    group_state.drop_expired_lease(group, now);
    group_state
        .coordinator
        .as_mut()
        .is_some_and(|coordinator| coordinator.outstanding_tokens(&rules, now) > 0)
}
