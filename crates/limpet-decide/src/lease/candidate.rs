//! The side that collects votes and holds the lease.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::Duration, //
};

use limpet_types::{
    GroupId, NodeId, Term,
    message::{
        VoteReply,
        VoteRequest, //
    },
};

use crate::lease::{
    LEASE_TTL,
    quorum,
    usable_ttl, //
};

/// A lease that this relay holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Random number drawn at the election.
    pub term: Term,
    /// When the election was won.
    pub elected_at: Duration,
    /// When the lease ends unless it is renewed.
    pub until: Duration,
}

/// What one reply led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundOutcome {
    /// No quorum yet, or the reply did not count.
    Pending,
    /// The group is won under a new term.
    Elected(Lease),
    /// The lease goes on.
    Renewed(Lease),
}

#[derive(Clone, Debug)]
struct Round {
    sent_at: Duration,
    granted_by: BTreeSet<SocketAddr>,
    is_complete: bool,
}

/// Candidate for one group.
#[derive(Clone, Debug)]
pub struct Candidate {
    node: NodeId,
    group: GroupId,
    round: u64,
    open: Option<Round>,
    vms_max: u32,
    lease: Option<Lease>,
    is_resigning: bool,
}

impl Candidate {
    /// Creates a candidate without a lease.
    pub fn new(node: NodeId, group: GroupId) -> Self {
        Self {
            node,
            group,
            round: 0,
            open: None,
            vms_max: 0,
            lease: None,
            is_resigning: false,
        }
    }

    /// Returns the lease if it is valid at `now`.
    pub fn lease(&self, now: Duration) -> Option<Lease> {
        self.lease.filter(|lease| now < lease.until)
    }

    /// Drops and returns a lease that has run out.
    pub fn take_expired(&mut self, now: Duration) -> Option<Lease> {
        self.lease.take_if(|lease| now >= lease.until)
    }

    /// Starts a round; its request goes to every relay, this one included.
    ///
    /// `vms_max` is this relay's own figure. `None` while it resigns.
    pub fn start_round(&mut self, vms_max: u32, now: Duration) -> Option<VoteRequest> {
        if self.is_resigning {
            return None;
        }
        self.vms_max = self.vms_max.max(vms_max);
        if self.open.as_ref().is_none_or(|round| round.is_complete) {
            // The largest figure seen counts per round: a lowered figure takes effect with the next.
            self.vms_max = vms_max;
        }
        self.round += 1;
        self.open = Some(Round {
            sent_at: now,
            granted_by: BTreeSet::new(),
            is_complete: false,
        });
        Some(self.request(LEASE_TTL))
    }

    /// Counts one reply; `new_term` is used if it completes an election.
    pub fn on_reply(&mut self, reply: &VoteReply, new_term: Term, now: Duration) -> RoundOutcome {
        let Some(round) = self.open.as_mut() else {
            return RoundOutcome::Pending;
        };
        if reply.group != self.group || reply.round != self.round || round.is_complete {
            return RoundOutcome::Pending;
        }
        // A refusing voter's figure counts too: it may know of a raise that the others do not.
        self.vms_max = self.vms_max.max(reply.vms_max);
        if reply.granted {
            // Counted by address: two incarnations of one relay are never two voters.
            round.granted_by.insert(reply.voter.addr);
        }
        let until = round.sent_at + usable_ttl(LEASE_TTL);
        if (round.granted_by.len() as u32) < quorum(self.vms_max) || now >= until {
            return RoundOutcome::Pending;
        }
        round.is_complete = true;
        // After a gap another relay may have held the group, so the term must change.
        match self.lease(now) {
            Some(held) => {
                let until = held.until.max(until);
                let lease = Lease { until, ..held };
                self.lease = Some(lease);
                RoundOutcome::Renewed(lease)
            }
            None => {
                let lease = Lease {
                    term: new_term,
                    elected_at: now,
                    until,
                };
                self.lease = Some(lease);
                RoundOutcome::Elected(lease)
            }
        }
    }

    /// Closes a round without quorum and returns the request that gives its votes back.
    ///
    /// `None` if the round has a quorum or a lease is held, because then the votes are in use.
    pub fn abandon_round(&mut self, now: Duration) -> Option<VoteRequest> {
        if self.lease(now).is_some() || self.open.take_if(|r| !r.is_complete).is_none() {
            return None;
        }
        self.round += 1;
        Some(self.request(Duration::ZERO))
    }

    /// Stops renewing; the lease stays valid until [`Self::release`].
    pub fn resign(&mut self) {
        self.is_resigning = true;
        self.open = None;
    }

    /// Returns whether the candidate is giving up the group.
    pub fn is_resigning(&self) -> bool {
        self.is_resigning
    }

    /// Ends the lease and returns the request that gives the votes back.
    ///
    /// Called only when no right granted under the lease is still valid.
    pub fn release(&mut self) -> Option<VoteRequest> {
        self.lease.take()?;
        self.round += 1;
        Some(self.request(Duration::ZERO))
    }

    fn request(&self, ttl: Duration) -> VoteRequest {
        VoteRequest {
            group: self.group,
            candidate: self.node,
            round: self.round,
            ttl,
        }
    }
}
