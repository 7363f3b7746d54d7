//! The side that promises a group to one candidate.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_types::{
    GroupId, NodeId,
    message::{
        VoteReply,
        VoteRequest, //
    },
};

use crate::lease::LEASE_TTL;

#[derive(Clone, Copy, Debug)]
struct Promise {
    candidate: NodeId,
    round: u64,
    until: Duration,
}

/// Votes of one relay, one promise per group.
#[derive(Clone, Debug)]
pub struct Voter {
    node: NodeId,
    votes_from: Duration,
    promises: HashMap<GroupId, Promise>,
}

impl Voter {
    /// Creates the voter of a process that started at `started_at`.
    ///
    /// It abstains for one full lease, because it may have promised something before it lost its
    /// memory.
    pub fn new(node: NodeId, started_at: Duration) -> Self {
        Self {
            node,
            votes_from: started_at + LEASE_TTL,
            promises: HashMap::new(),
        }
    }

    /// Returns the candidate to whom the group is promised at `now`.
    pub fn promised_to(&self, group: GroupId, now: Duration) -> Option<NodeId> {
        let promise = self.promises.get(&group)?;
        (now < promise.until).then_some(promise.candidate)
    }

    /// Returns whether this voter has been up long enough to vote.
    pub fn may_vote(&self, now: Duration) -> bool {
        now >= self.votes_from
    }

    /// Answers one request; `vms_max` is `None` while there is no configuration.
    pub fn vote(
        &mut self,
        request: &VoteRequest,
        vms_max: Option<u32>,
        now: Duration,
    ) -> VoteReply {
        let retry_after = self.refusal(request, vms_max, now);
        if retry_after.is_none() {
            self.promise(request, now);
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

    fn refusal(
        &self,
        request: &VoteRequest,
        vms_max: Option<u32>,
        now: Duration,
    ) -> Option<Duration> {
        if now < self.votes_from {
            return Some(self.votes_from - now);
        }
        if vms_max.is_none() {
            return Some(LEASE_TTL);
        }
        let promise = self.promises.get(&request.group)?;
        if promise.candidate != request.candidate {
            // A request to give back someone else's vote changes nothing.
            let busy = now < promise.until || request.ttl.is_zero();
            return busy.then(|| promise.until.saturating_sub(now));
        }
        // A delayed request to give back must not free a promise that a later round renewed.
        (request.round < promise.round).then(|| promise.until.saturating_sub(now))
    }

    fn promise(&mut self, request: &VoteRequest, now: Duration) {
        if request.ttl.is_zero() && !self.promises.contains_key(&request.group) {
            return;
        }
        let asked_until = now + request.ttl.min(LEASE_TTL);
        let until = match self.promises.get(&request.group) {
            Some(promise) if promise.candidate == request.candidate && !request.ttl.is_zero() => {
                promise.until.max(asked_until)
            }
            _ => asked_until,
        };
        self.promises.insert(
            request.group,
            Promise {
                candidate: request.candidate,
                round: request.round,
                until,
            },
        );
    }
}
