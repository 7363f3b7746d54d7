//! Candidate and coordinator of one lease group.

use std::time::Duration;

use limpet_decide::{
    grant::Coordinator,
    lease::{
        Candidate,
        RoundOutcome, //
    },
};
use limpet_types::{
    LeaseGroupId,
    NodeId,
    message::VoteReply, //
};

/// Candidate of one lease group, and the coordinator that exists while the candidate holds the lease.
#[derive(Debug)]
pub(super) struct GroupState {
    pub(super) candidate: Candidate,
    pub(super) coordinator: Option<Coordinator>,
}

impl GroupState {
    /// Creates the state of a lease group whose lease this process does not hold.
    pub(super) fn new(node: NodeId, group: LeaseGroupId) -> Self {
        Self {
            candidate: Candidate::new(node, group),
            coordinator: None,
        }
    }

    /// Counts a vote; returns true if the vote completes the quorum of the round, by which this process
    /// becomes the coordinator or its lease is renewed.
    pub(super) fn on_vote_reply(&mut self, node: NodeId, reply: &VoteReply, now: Duration) -> bool {
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

    /// Removes the lease with its coordinator if it has expired; returns whether a lease was removed.
    pub(super) fn drop_expired_lease(&mut self, group: LeaseGroupId, now: Duration) -> bool {
        let Some(lease) = self.candidate.take_expired(now) else {
            return false;
        };
        self.coordinator = None;
        tracing::warn!(
            group,
            term = lease.term,
            reason = "no quorum renewed the lease in time",
            "coordinator lease expired"
        );
        metrics::counter!("limpet_leases_lost_total").increment(1);
        true
    }
}
