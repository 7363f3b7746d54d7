//! Candidate and coordinator of one group.

use std::time::Duration;

use limpet_decide::{
    grant::Coordinator,
    lease::{
        Candidate,
        RoundOutcome, //
    },
};
use limpet_types::{
    GroupId,
    NodeId,
    message::VoteReply, //
};

/// Candidate of one group, and what it grants while it holds the lease.
#[derive(Debug)]
pub(super) struct GroupState {
    pub(super) candidate: Candidate,
    pub(super) coordinator: Option<Coordinator>,
}

impl GroupState {
    pub(super) fn new(node: NodeId, group: GroupId) -> Self {
        Self {
            candidate: Candidate::new(node, group),
            coordinator: None,
        }
    }

    /// Counts a vote and starts or renews the coordinator; true if the round has its quorum.
    pub(super) fn on_vote(&mut self, node: NodeId, reply: &VoteReply, now: Duration) -> bool {
        match self.candidate.on_reply(reply, rand::random(), now) {
            RoundOutcome::Pending => false,
            RoundOutcome::Elected(lease) => {
                tracing::info!(
                    group = reply.group,
                    term = lease.term,
                    reason = "quorum of votes",
                    "elected coordinator"
                );
                metrics::counter!("limpet_elections_total").increment(1);
                self.coordinator = Some(Coordinator::new(node, reply.group, lease));
                true
            }
            RoundOutcome::Renewed(lease) => {
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.renew(lease);
                }
                true
            }
        }
    }

    /// Forgets a lease that has run out; true if there was one.
    pub(super) fn drop_expired(&mut self, group: GroupId, now: Duration) -> bool {
        let Some(lease) = self.candidate.take_expired(now) else {
            return false;
        };
        self.coordinator = None;
        tracing::warn!(
            group,
            term = lease.term,
            reason = "no quorum renewed the lease in time",
            "lost coordinator lease"
        );
        metrics::counter!("limpet_leases_lost_total").increment(1);
        true
    }
}
