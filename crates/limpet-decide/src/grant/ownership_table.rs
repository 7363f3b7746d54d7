//! Ownership of the targets of one lease group, as its coordinator grants it.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_types::{
    NodeId,
    TargetAddr,
    message::DirectoryEntry, //
};

use crate::grant::{
    MOVES_PER_S,
    OWNERSHIP_TTL, //
};

/// Interval between two searches for expired ownerships.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct Ownership {
    owner: NodeId,
    expires_at: Duration,
    /// Relay to which the target is being moved.
    moving_to: Option<NodeId>,
}

/// Change of the table, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipEvent {
    /// A free target was granted to a relay.
    Granted(TargetAddr, NodeId),
    /// The claim of an owner to whom an earlier coordinator granted the target was confirmed.
    Confirmed(TargetAddr, NodeId),
    /// The ownership is no longer renewed; the target moves from its owner to the preferred relay.
    Moving(TargetAddr, NodeId, NodeId),
    /// The owner released the target.
    Released(TargetAddr, NodeId),
    /// The owner did not renew in time.
    Expired(TargetAddr, NodeId),
}

/// Ownership table of a coordinator during one term.
///
/// A new coordinator does not know the owners. During a grace period of [`OWNERSHIP_TTL`] it
/// therefore only confirms claims. It grants free targets afterwards, when every ownership that an
/// earlier coordinator granted has ended or was confirmed.
#[derive(Clone, Debug)]
pub struct OwnershipTable {
    ownerships: HashMap<TargetAddr, Ownership>,
    grace_until: Duration,
    is_in_grace: bool,
    /// Version of the directory; changes when a target gets or loses an owner and when the grace period ends.
    version: u64,
    swept_at: Duration,
    /// Number of moves that the rate limit of moves allows now.
    moves_left: f64,
    moves_refilled_at: Duration,
    events: Vec<OwnershipEvent>,
}

impl OwnershipTable {
    /// Creates the empty table of a coordinator that was elected at `elected_at`.
    ///
    /// `first_version` is random, so that two terms are unlikely to use the same directory version.
    pub fn new(elected_at: Duration, first_version: u64) -> Self {
        Self {
            ownerships: HashMap::new(),
            grace_until: elected_at + OWNERSHIP_TTL,
            is_in_grace: true,
            version: first_version,
            swept_at: elected_at,
            moves_left: f64::from(MOVES_PER_S),
            moves_refilled_at: elected_at,
            events: Vec::new(),
        }
    }

    /// Returns the version of the directory.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the directory: the targets of the table with their owners.
    pub fn directory(&self) -> Vec<DirectoryEntry> {
        let entry = |(target, ownership): (&TargetAddr, &Ownership)| DirectoryEntry {
            target: *target,
            owner: ownership.owner,
        };
        self.ownerships.iter().map(entry).collect()
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<OwnershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Drops expired ownerships, refills the rate limit of moves and ends the grace period when its time is
    /// over.
    pub fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.moves_refilled_at).as_secs_f64();
        self.moves_refilled_at = self.moves_refilled_at.max(now);
        let moves_per_s = f64::from(MOVES_PER_S);
        self.moves_left = (self.moves_left + moves_per_s * elapsed).min(moves_per_s);
        if self.is_in_grace && now >= self.grace_until {
            // During the grace period the directory lacks owners that have not sent a claim yet. Holders
            // therefore merge it into their own copy and keep the owners that it lacks. The new version makes
            // them fetch the directory again; a holder that has known the term for `OWNERSHIP_TTL` by then
            // replaces all its owners of this group.
            self.is_in_grace = false;
            self.version = self.version.wrapping_add(1);
        }
        if now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        let events = &mut self.events;
        let len_before = self.ownerships.len();
        self.ownerships.retain(|target, ownership| {
            if now >= ownership.expires_at {
                events.push(OwnershipEvent::Expired(*target, ownership.owner));
            }
            now < ownership.expires_at
        });
        if self.ownerships.len() != len_before {
            self.version = self.version.wrapping_add(1);
        }
    }

    /// Answers a claim of a target that the holder owned when it sent the request; returns the owner, or the
    /// relay to which the target is being moved from the holder. Returns `None` if the claim is ignored.
    ///
    /// `is_current_term` tells whether the holder stated the term of this coordinator in its request. Any
    /// other claim neither confirms nor renews an ownership, because it may have been sent before the last
    /// grant of the previous coordinator.
    pub fn claim(
        &mut self,
        target: TargetAddr,
        holder: NodeId,
        is_current_term: bool,
        now: Duration,
    ) -> Option<NodeId> {
        match self.valid_ownership(target, now) {
            Some(ownership) if ownership.owner == holder => {
                self.renew(target, ownership, is_current_term, now)
            }
            Some(ownership) => Some(ownership.owner),
            None if is_current_term => {
                self.set_owner(target, holder, now);
                self.events.push(OwnershipEvent::Confirmed(target, holder));
                Some(holder)
            }
            None => None,
        }
    }

    /// Answers a relay that does not own the target and requests it; returns the owner, or `None` if the
    /// target has no known owner during the grace period.
    ///
    /// After the grace period, grants a free target to the relay. If the target has another owner and the
    /// relay is the preferred one, starts to move the target, unless it is being moved already or the rate
    /// limit of moves is used up.
    pub fn request(
        &mut self,
        target: TargetAddr,
        holder: NodeId,
        preferred: Option<NodeId>,
        now: Duration,
    ) -> Option<NodeId> {
        match self.valid_ownership(target, now) {
            Some(ownership) if ownership.owner == holder => {
                self.renew(target, ownership, true, now)
            }
            Some(ownership) => {
                let is_move = preferred == Some(holder) && ownership.moving_to.is_none();
                if is_move && !self.is_in_grace && self.moves_left >= 1.0 {
                    self.moves_left -= 1.0;
                    let moving_to = Some(holder);
                    self.ownerships.insert(
                        target,
                        Ownership {
                            moving_to,
                            ..ownership
                        },
                    );
                    let event = OwnershipEvent::Moving(target, ownership.owner, holder);
                    self.events.push(event);
                }
                Some(ownership.owner)
            }
            None if self.is_in_grace => None,
            None => {
                self.set_owner(target, holder, now);
                self.events.push(OwnershipEvent::Granted(target, holder));
                Some(holder)
            }
        }
    }

    /// Returns whether the target is being moved from its owner to `holder`.
    pub fn is_moving_to(&self, target: TargetAddr, holder: NodeId) -> bool {
        let ownership = self.ownerships.get(&target);
        ownership.is_some_and(|ownership| ownership.moving_to == Some(holder))
    }

    /// Removes the ownership of a target that its owner released.
    pub fn release(&mut self, target: TargetAddr, holder: NodeId) {
        if self
            .ownerships
            .get(&target)
            .is_some_and(|ownership| ownership.owner == holder)
        {
            self.ownerships.remove(&target);
            self.version = self.version.wrapping_add(1);
            self.events.push(OwnershipEvent::Released(target, holder));
        }
    }

    fn valid_ownership(&self, target: TargetAddr, now: Duration) -> Option<Ownership> {
        self.ownerships
            .get(&target)
            .copied()
            .filter(|ownership| now < ownership.expires_at)
    }

    /// Renews an ownership and returns its owner.
    ///
    /// The ownership of a target that is being moved is not renewed; the relay to which it moves is
    /// returned instead.
    fn renew(
        &mut self,
        target: TargetAddr,
        ownership: Ownership,
        may_extend: bool,
        now: Duration,
    ) -> Option<NodeId> {
        if ownership.moving_to.is_some() {
            return ownership.moving_to;
        }
        if !may_extend {
            return None;
        }
        let expires_at = ownership.expires_at.max(now + OWNERSHIP_TTL);
        self.ownerships.insert(
            target,
            Ownership {
                expires_at,
                ..ownership
            },
        );
        Some(ownership.owner)
    }

    fn set_owner(&mut self, target: TargetAddr, owner: NodeId, now: Duration) {
        let ownership = Ownership {
            owner,
            expires_at: now + OWNERSHIP_TTL,
            moving_to: None,
        };
        self.ownerships.insert(target, ownership);
        self.version = self.version.wrapping_add(1);
    }
}
