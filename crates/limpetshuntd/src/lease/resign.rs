//! Orderly end of coordination.

use std::time::Duration;

use limpet_types::hash::LEASE_GROUP_COUNT;

use crate::{
    daemon::Context,
    lease::{
        candidate_actor::{
            publish,
            send_to_all, //
        },
        state::LeaseState,
    },
};

/// Time between two looks at the tokens that are out.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Resigns every group that this relay coordinates.
///
/// The votes go back only when no granted token is valid any more: the next coordinator counts none
/// of them, so an earlier return would let a team exceed its burst.
pub(super) async fn resign_all(context: &Context, lease: &LeaseState) {
    for group in 0..LEASE_GROUP_COUNT {
        lease.group(group).candidate.resign();
    }
    for group in 0..LEASE_GROUP_COUNT {
        while has_tokens_out(context, lease, group) {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        let give_back = {
            let mut shared = lease.group(group);
            shared.coordinator = None;
            shared.candidate.release()
        };
        if let Some(request) = give_back {
            tracing::info!(group, reason = "draining", "resigned as coordinator");
            metrics::counter!("limpet_resignations_total").increment(1);
            send_to_all(context, lease, &request).await;
        }
    }
    publish(&context.board, lease);
}

fn has_tokens_out(context: &Context, lease: &LeaseState, group: u16) -> bool {
    let rules = lease.rules.get(&context.board, group);
    let mut shared = lease.group(group);
    let now = context.board.now();
    shared.drop_expired(group, now);
    shared
        .coordinator
        .as_mut()
        .is_some_and(|c| c.outstanding_tokens(&rules, now) > 0)
}
