//! Candidate side of the election: collects votes and holds the lease.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    time::Duration, //
};

use limpet_types::{
    LeaseGroupId, NodeId, Term,
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
    /// Random number that identifies the term; drawn at the election.
    pub term: Term,
    /// When this relay won the election.
    pub elected_at: Duration,
    /// When the lease expires unless it is renewed.
    pub expires_at: Duration,
}

/// What counting one vote reply has led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundOutcome {
    /// Nothing has changed: the round has no quorum yet or comes too late for a lease, or the reply was
    /// ignored.
    Pending,
    /// The candidate was elected and starts a new term.
    Elected(Lease),
    /// The lease was renewed.
    Renewed(Lease),
}

/// Round of votes for which the candidate still counts replies.
#[derive(Clone, Debug)]
struct Round {
    /// When the vote requests were sent.
    sent_at: Duration,
    /// Addresses of the voters that granted their votes.
    granted_by: BTreeSet<SocketAddr>,
    has_quorum: bool,
}

/// Candidate for the coordination of one lease group.
#[derive(Clone, Debug)]
pub struct Candidate {
    node: NodeId,
    group: LeaseGroupId,
    round_number: u64,
    open_round: Option<Round>,
    /// Largest `vms_max` seen in the current round and in the rounds without quorum directly before it; the
    /// quorum follows from it.
    vms_max: u32,
    lease: Option<Lease>,
    is_resigning: bool,
}

impl Candidate {
    /// Creates a candidate without a lease.
    pub fn new(node: NodeId, group: LeaseGroupId) -> Self {
        Self {
            node,
            group,
            round_number: 0,
            open_round: None,
            vms_max: 0,
            lease: None,
            is_resigning: false,
        }
    }

    /// Returns the lease if it is valid at `now`.
    pub fn lease(&self, now: Duration) -> Option<Lease> {
        self.lease.filter(|lease| now < lease.expires_at)
    }

    /// Removes and returns the lease if it has expired at `now`.
    pub fn take_expired(&mut self, now: Duration) -> Option<Lease> {
        self.lease.take_if(|lease| now >= lease.expires_at)
    }

    /// Starts a round of votes and returns the request to send to every relay, this one included.
    ///
    /// `vms_max` is the largest number of VMs by this relay's configuration. Returns `None` while the
    /// candidate resigns.
    pub fn start_round(&mut self, vms_max: u32, now: Duration) -> Option<VoteRequest> {
        if self.is_resigning {
            return None;
        }
        self.vms_max = self.vms_max.max(vms_max);
        if self
            .open_round
            .as_ref()
            .is_none_or(|round| round.has_quorum)
        {
            // The largest `vms_max` seen counts for the whole round, and for the next rounds too until
            // one reaches a quorum or is abandoned. Only the round after that one uses a lowered value.
            self.vms_max = vms_max;
        }
        self.round_number += 1;
        self.open_round = Some(Round {
            sent_at: now,
            granted_by: BTreeSet::new(),
            has_quorum: false,
        });
        Some(self.vote_request(LEASE_TTL))
    }

    /// Counts one vote reply; `new_term` is the term to use if the reply completes an election.
    pub fn on_reply(&mut self, reply: &VoteReply, new_term: Term, now: Duration) -> RoundOutcome {
        let Some(round) = self.open_round.as_mut() else {
            return RoundOutcome::Pending;
        };
        if reply.group != self.group || reply.round != self.round_number || round.has_quorum {
            return RoundOutcome::Pending;
        }
        // The `vms_max` of a voter that refuses counts too: it may be the only one that knows of a
        // raise.
        self.vms_max = self.vms_max.max(reply.vms_max);
        if reply.granted {
            // Votes are counted by address, so that two incarnations of a relay are one voter.
            round.granted_by.insert(reply.voter.addr);
        }
        let expires_at = round.sent_at + usable_ttl(LEASE_TTL);
        if (round.granted_by.len() as u32) < quorum(self.vms_max) || now >= expires_at {
            return RoundOutcome::Pending;
        }
        round.has_quorum = true;
        // Without a valid lease a new term starts, as another relay may have held the lease since.
        match self.lease(now) {
            Some(held) => {
                let expires_at = held.expires_at.max(expires_at);
                let lease = Lease { expires_at, ..held };
                self.lease = Some(lease);
                RoundOutcome::Renewed(lease)
            }
            None => {
                let lease = Lease {
                    term: new_term,
                    elected_at: now,
                    expires_at,
                };
                self.lease = Some(lease);
                RoundOutcome::Elected(lease)
            }
        }
    }

    /// Ends a round without quorum and returns the request that releases its votes.
    ///
    /// Returns `None` if no round is open, and if the round reached a quorum or a lease is held, because
    /// then the votes are in use.
    pub fn abandon_round(&mut self, now: Duration) -> Option<VoteRequest> {
        if self.lease(now).is_some() || self.open_round.take_if(|r| !r.has_quorum).is_none() {
            return None;
        }
        self.round_number += 1;
        Some(self.vote_request(Duration::ZERO))
    }

    /// Stops renewing the lease, which stays valid until it expires or [`Self::release`] ends it.
    pub fn resign(&mut self) {
        self.is_resigning = true;
        self.open_round = None;
    }

    /// Returns whether the candidate resigns.
    pub fn is_resigning(&self) -> bool {
        self.is_resigning
    }

    /// Ends the lease and returns the request that releases its votes; `None` if no lease is held.
    ///
    /// The caller must first wait until no token granted under the lease is valid.
    pub fn release(&mut self) -> Option<VoteRequest> {
        self.lease.take()?;
        self.round_number += 1;
        Some(self.vote_request(Duration::ZERO))
    }

    /// Builds the request of the current round; a `ttl` of zero asks the voters to release their votes.
    fn vote_request(&self, ttl: Duration) -> VoteRequest {
        VoteRequest {
            group: self.group,
            candidate: self.node,
            round: self.round_number,
            ttl,
        }
    }
}
