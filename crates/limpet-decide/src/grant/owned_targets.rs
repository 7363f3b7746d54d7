//! Targets of one lease group that a relay owns, as the relay knows them.

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

/// Part of a grant request that is about targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipRequest {
    /// Targets that the relay does not own and wants to own.
    pub wanted: Vec<TargetAddr>,
    /// Targets that the relay claims: those that it owns when it sends the request and wants to keep.
    pub claimed: Vec<TargetAddr>,
    /// Targets that the relay owned and has released, without a confirmation by the coordinator yet.
    pub released: Vec<TargetAddr>,
}

/// Change of the targets that the relay owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// The relay owns the target now.
    Gained(TargetAddr),
    /// The coordinator no longer renews the ownership of the target, which therefore ends when it expires.
    /// Contains also the owner that the coordinator reported.
    Ending(TargetAddr, Option<NodeId>),
    /// The ownership has expired.
    Lost(TargetAddr),
}

/// Targets that a relay owns, and released ones whose release the coordinator has not confirmed yet.
#[derive(Clone, Debug)]
pub struct OwnedTargets {
    node: NodeId,
    /// Owned targets, with the times at which their ownerships expire.
    expirations: BTreeMap<TargetAddr, Duration>,
    unconfirmed_releases: BTreeSet<TargetAddr>,
}

impl OwnedTargets {
    /// Creates the state of a relay that owns nothing.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            expirations: BTreeMap::new(),
            unconfirmed_releases: BTreeSet::new(),
        }
    }

    /// Iterates over the targets with the expirations of their ownerships.
    pub fn owned(&self) -> impl Iterator<Item = (TargetAddr, Duration)> + '_ {
        self.expirations
            .iter()
            .map(|(target, expires_at)| (*target, *expires_at))
    }

    /// Removes expired ownerships and returns them as changes.
    pub fn expire(&mut self, now: Duration) -> Vec<OwnershipChange> {
        let mut lost = Vec::new();
        self.expirations.retain(|target, expires_at| {
            if now >= *expires_at {
                lost.push(OwnershipChange::Lost(*target));
            }
            now < *expires_at
        });
        lost
    }

    /// Releases one target and returns when its ownership would have expired; `None` if the relay does not
    /// own the target.
    ///
    /// The next request reports the release; until then [`Self::undo_release`] undoes it.
    pub fn release(&mut self, target: TargetAddr) -> Option<Duration> {
        let expires_at = self.expirations.remove(&target)?;
        self.unconfirmed_releases.insert(target);
        Some(expires_at)
    }

    /// Undoes a release that the coordinator has not confirmed yet; `expires_at` is the former expiration of
    /// the ownership.
    pub fn undo_release(&mut self, target: TargetAddr, expires_at: Duration) {
        if self.unconfirmed_releases.remove(&target) {
            self.expirations.insert(target, expires_at);
        }
    }

    /// Releases every target; called when no attempt is in flight on any of them.
    pub fn release_all(&mut self) {
        self.unconfirmed_releases
            .extend(std::mem::take(&mut self.expirations).into_keys());
    }

    /// Builds the part of the next grant request that is about targets.
    ///
    /// `preferred` are the targets that this relay should own. `is_configured` returns false for targets
    /// that were removed from the configuration; such targets are not claimed.
    pub fn build_request(
        &self,
        preferred: &[TargetAddr],
        is_configured: impl Fn(TargetAddr) -> bool,
        now: Duration,
    ) -> OwnershipRequest {
        let is_owned =
            |target: &TargetAddr| self.expirations.get(target).is_some_and(|end| now < *end);
        let owned = self.expirations.keys().copied();
        OwnershipRequest {
            wanted: preferred.iter().copied().filter(|t| !is_owned(t)).collect(),
            claimed: owned.filter(|t| is_owned(t) && is_configured(*t)).collect(),
            released: self.unconfirmed_releases.iter().copied().collect(),
        }
    }

    /// Applies the reply to the request that contained `ownership_request` and was sent at `sent_at`; returns
    /// the changes of ownership, those by expiration included.
    ///
    /// A target released since the request was sent stays released.
    pub fn apply(
        &mut self,
        ownership_request: &OwnershipRequest,
        reply: &GrantReply,
        sent_at: Duration,
        now: Duration,
    ) -> Vec<OwnershipChange> {
        let mut changes = self.expire(now);
        if !reply.is_coordinator {
            return changes;
        }
        let new_expires_at = sent_at + usable_ttl(reply.ownership_ttl);
        for decision in &reply.targets {
            let target = decision.target;
            let was_requested = ownership_request.wanted.contains(&target)
                || ownership_request.claimed.contains(&target);
            if !was_requested || self.unconfirmed_releases.contains(&target) {
                continue;
            }
            match (
                decision.owner == Some(self.node),
                self.expirations.get_mut(&target),
            ) {
                (true, Some(expires_at)) => *expires_at = new_expires_at.max(*expires_at),
                (true, None) if now < new_expires_at => {
                    self.expirations.insert(target, new_expires_at);
                    changes.push(OwnershipChange::Gained(target));
                }
                (false, Some(_)) if decision.owner.is_some() => {
                    changes.push(OwnershipChange::Ending(target, decision.owner));
                }
                _ => {}
            }
        }
        for target in &ownership_request.released {
            self.unconfirmed_releases.remove(target);
        }
        changes
    }
}
