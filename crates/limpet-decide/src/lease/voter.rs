//! Voter side of the election: promises the vote for a lease group to one candidate.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_types::{
    LeaseGroupId, NodeId,
    message::{
        VoteReply,
        VoteRequest, //
    },
};

use crate::lease::LEASE_TTL;

/// Promise to vote for no other candidate of a lease group until the promise expires.
#[derive(Clone, Copy, Debug)]
struct Promise {
    candidate: NodeId,
    /// Number of the candidate's round in which the promise was last given or renewed.
    round: u64,
    expires_at: Duration,
}

/// Voter of one relay; keeps one promise per lease group.
#[derive(Clone, Debug)]
pub struct Voter {
    node: NodeId,
    /// End of the first full lease after the start, before which the voter refuses every request.
    may_vote_from: Duration,
    promises: HashMap<LeaseGroupId, Promise>,
}

impl Voter {
    /// Creates the voter of a process that started at `started_at`.
    ///
    /// The voter abstains for one full lease, because an earlier process of this relay may have given
    /// promises that the new process does not know.
    pub fn new(node: NodeId, started_at: Duration) -> Self {
        Self {
            node,
            may_vote_from: started_at + LEASE_TTL,
            promises: HashMap::new(),
        }
    }

    /// Returns the candidate to whom the group is promised at `now`.
    pub fn promised_to(&self, group: LeaseGroupId, now: Duration) -> Option<NodeId> {
        let promise = self.promises.get(&group)?;
        (now < promise.expires_at).then_some(promise.candidate)
    }

    /// Returns whether one full lease has passed since the process started, so that the voter may vote.
    pub fn may_vote(&self, now: Duration) -> bool {
        now >= self.may_vote_from
    }

    /// Answers one request for a vote, and records or ends the promise if the request is granted.
    ///
    /// `vms_max` is `None` while this relay has no configuration.
    pub fn vote(
        &mut self,
        request: &VoteRequest,
        vms_max: Option<u32>,
        now: Duration,
    ) -> VoteReply {
        let retry_after = self.retry_after(request, vms_max, now);
        if retry_after.is_none() {
            self.record_promise(request, now);
        }
        VoteReply {
            group: request.group,
            voter: self.node,
            round: request.round,
            granted: retry_after.is_none() && !request.ttl.is_zero(),
            retry_after: retry_after.unwrap_or_default(),
            vms_max: vms_max.unwrap_or_default(),
        }
    }

    /// Returns after what time the candidate may ask again, or `None` if the voter grants the request now.
    fn retry_after(
        &self,
        request: &VoteRequest,
        vms_max: Option<u32>,
        now: Duration,
    ) -> Option<Duration> {
        if now < self.may_vote_from {
            return Some(self.may_vote_from - now);
        }
        if vms_max.is_none() {
            return Some(LEASE_TTL);
        }
        let promise = self.promises.get(&request.group)?;
        if promise.candidate != request.candidate {
            // A request that releases the vote of another candidate is refused.
            let is_refused = now < promise.expires_at || request.ttl.is_zero();
            return is_refused.then(|| promise.expires_at.saturating_sub(now));
        }
        // A delayed request of an earlier round must not release a promise that a later round
        // renewed.
        (request.round < promise.round).then(|| promise.expires_at.saturating_sub(now))
    }

    /// Records the promise that a granted request asks for; a lifetime of zero ends the promise.
    fn record_promise(&mut self, request: &VoteRequest, now: Duration) {
        if request.ttl.is_zero() && !self.promises.contains_key(&request.group) {
            return;
        }
        let requested_until = now + request.ttl.min(LEASE_TTL);
        let expires_at = match self.promises.get(&request.group) {
            Some(promise) if promise.candidate == request.candidate && !request.ttl.is_zero() => {
                promise.expires_at.max(requested_until)
            }
            _ => requested_until,
        };
        self.promises.insert(
            request.group,
            Promise {
                candidate: request.candidate,
                round: request.round,
                expires_at,
            },
        );
    }
}
