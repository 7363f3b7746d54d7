//! Targets of one group that a relay owns.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use limpet_types::{
    NodeId,
    TargetAddr,
    message::GrantReply, //
};

use crate::lease::usable_ttl;

/// The parts of a request that concern ownership.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipClaims {
    /// Targets wanted and not owned.
    pub wanted: Vec<TargetAddr>,
    /// Targets owned at the moment of sending.
    pub claimed: Vec<TargetAddr>,
    /// Targets given back.
    pub released: Vec<TargetAddr>,
}

/// A change of what the relay owns, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// Now owned.
    Gained(TargetAddr),
    /// No longer renewed by the coordinator; owned until its end.
    Ending(TargetAddr, Option<NodeId>),
    /// No longer owned.
    Lost(TargetAddr),
}

/// Ownership as counted by the relay.
#[derive(Clone, Debug)]
pub struct OwnedTargets {
    node: NodeId,
    until: BTreeMap<TargetAddr, Duration>,
    released: BTreeSet<TargetAddr>,
}

impl OwnedTargets {
    /// Creates a holder that owns nothing.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            until: BTreeMap::new(),
            released: BTreeSet::new(),
        }
    }

    /// Iterates over the targets with the end of their ownership.
    pub fn owned(&self) -> impl Iterator<Item = (TargetAddr, Duration)> + '_ {
        self.until.iter().map(|(target, until)| (*target, *until))
    }

    /// Drops and returns what has ended.
    pub fn expire(&mut self, now: Duration) -> Vec<OwnershipChange> {
        let mut lost = Vec::new();
        self.until.retain(|target, until| {
            if now >= *until {
                lost.push(OwnershipChange::Lost(*target));
            }
            now < *until
        });
        lost
    }

    /// Stops using one target and returns when its ownership ends.
    ///
    /// The next claims give it back; [`Self::undo_release`] undoes this until then.
    pub fn release(&mut self, target: TargetAddr) -> Option<Duration> {
        let until = self.until.remove(&target)?;
        self.released.insert(target);
        Some(until)
    }

    /// Goes on using a target that was released and not given back yet.
    pub fn undo_release(&mut self, target: TargetAddr, until: Duration) {
        if self.released.remove(&target) {
            self.until.insert(target, until);
        }
    }

    /// Gives every target back; called when nothing is in flight on any of them.
    pub fn release_all(&mut self) {
        self.released
            .extend(std::mem::take(&mut self.until).into_keys());
    }

    /// Returns what to ask. `is_kept` is false for targets that left the operators' text.
    pub fn claims(
        &self,
        preferred: &[TargetAddr],
        is_kept: impl Fn(TargetAddr) -> bool,
        now: Duration,
    ) -> OwnershipClaims {
        let is_owned = |target: &TargetAddr| self.until.get(target).is_some_and(|u| now < *u);
        let owned = self.until.keys().copied();
        OwnershipClaims {
            wanted: preferred.iter().copied().filter(|t| !is_owned(t)).collect(),
            claimed: owned.filter(|t| is_owned(t) && is_kept(*t)).collect(),
            released: self.released.iter().copied().collect(),
        }
    }

    /// Applies the reply to the request that carried `claims` and was sent at `sent_at`.
    ///
    /// A target that was released since then stays released.
    pub fn apply(
        &mut self,
        claims: &OwnershipClaims,
        reply: &GrantReply,
        sent_at: Duration,
        now: Duration,
    ) -> Vec<OwnershipChange> {
        let mut changes = self.expire(now);
        if !reply.is_coordinator {
            return changes;
        }
        let end = sent_at + usable_ttl(reply.ownership_ttl);
        for grant in &reply.targets {
            let target = grant.target;
            let was_asked = claims.wanted.contains(&target) || claims.claimed.contains(&target);
            if !was_asked || self.released.contains(&target) {
                continue;
            }
            match (grant.owner == Some(self.node), self.until.get_mut(&target)) {
                (true, Some(until)) => *until = end.max(*until),
                (true, None) if now < end => {
                    self.until.insert(target, end);
                    changes.push(OwnershipChange::Gained(target));
                }
                (false, Some(_)) if grant.owner.is_some() => {
                    changes.push(OwnershipChange::Ending(target, grant.owner));
                }
                _ => {}
            }
        }
        for target in &claims.released {
            self.released.remove(target);
        }
        changes
    }
}
