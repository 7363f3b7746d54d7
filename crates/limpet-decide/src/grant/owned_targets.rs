//! Targets of one group that a relay owns, as the relay knows them.

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

/// Targets that a grant request asks for, claims and releases.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipClaims {
    /// Targets requested and not owned.
    pub wanted: Vec<TargetAddr>,
    /// Targets owned when the request is sent.
    pub claimed: Vec<TargetAddr>,
    /// Targets released.
    pub released: Vec<TargetAddr>,
}

/// Change of the targets that the relay owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// The relay owns the target now.
    Gained(TargetAddr),
    /// The coordinator no longer renews the ownership, which ends at its expiration. Names the
    /// owner that the coordinator reported.
    Ending(TargetAddr, Option<NodeId>),
    /// The ownership has expired.
    Lost(TargetAddr),
}

/// Targets that a relay owns, and released ones that the coordinator was not told of yet.
#[derive(Clone, Debug)]
pub struct OwnedTargets {
    node: NodeId,
    expirations: BTreeMap<TargetAddr, Duration>,
    unreported_releases: BTreeSet<TargetAddr>,
}

impl OwnedTargets {
    /// Creates the state of a relay that owns nothing.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            expirations: BTreeMap::new(),
            unreported_releases: BTreeSet::new(),
        }
    }

    /// Iterates over the targets with the expirations of their ownerships.
    pub fn owned(&self) -> impl Iterator<Item = (TargetAddr, Duration)> + '_ {
        self.expirations
            .iter()
            .map(|(target, until)| (*target, *until))
    }

    /// Removes expired ownerships and returns them as changes.
    pub fn expire(&mut self, now: Duration) -> Vec<OwnershipChange> {
        let mut lost = Vec::new();
        self.expirations.retain(|target, until| {
            if now >= *until {
                lost.push(OwnershipChange::Lost(*target));
            }
            now < *until
        });
        lost
    }

    /// Releases one target and returns when its ownership would have expired.
    ///
    /// The next request reports the release; until then [`Self::undo_release`] revokes it.
    pub fn release(&mut self, target: TargetAddr) -> Option<Duration> {
        let until = self.expirations.remove(&target)?;
        self.unreported_releases.insert(target);
        Some(until)
    }

    /// Revokes the release of a target that was not reported yet; `until` is its former expiration.
    pub fn undo_release(&mut self, target: TargetAddr, until: Duration) {
        if self.unreported_releases.remove(&target) {
            self.expirations.insert(target, until);
        }
    }

    /// Releases every target; called when no attempt is in flight on any of them.
    pub fn release_all(&mut self) {
        self.unreported_releases
            .extend(std::mem::take(&mut self.expirations).into_keys());
    }

    /// Returns the content of the next request.
    ///
    /// `preferred` are the targets that this relay should own. `is_kept` returns false for targets
    /// that were removed from the configuration; they are not claimed.
    pub fn claims(
        &self,
        preferred: &[TargetAddr],
        is_kept: impl Fn(TargetAddr) -> bool,
        now: Duration,
    ) -> OwnershipClaims {
        let is_owned = |target: &TargetAddr| self.expirations.get(target).is_some_and(|u| now < *u);
        let owned = self.expirations.keys().copied();
        OwnershipClaims {
            wanted: preferred.iter().copied().filter(|t| !is_owned(t)).collect(),
            claimed: owned.filter(|t| is_owned(t) && is_kept(*t)).collect(),
            released: self.unreported_releases.iter().copied().collect(),
        }
    }

    /// Applies the reply to the request that contained `claims` and was sent at `sent_at`.
    ///
    /// A target released since the request was sent stays released.
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
        for decision in &reply.targets {
            let target = decision.target;
            let was_requested = claims.wanted.contains(&target) || claims.claimed.contains(&target);
            if !was_requested || self.unreported_releases.contains(&target) {
                continue;
            }
            match (
                decision.owner == Some(self.node),
                self.expirations.get_mut(&target),
            ) {
                (true, Some(until)) => *until = end.max(*until),
                (true, None) if now < end => {
                    self.expirations.insert(target, end);
                    changes.push(OwnershipChange::Gained(target));
                }
                (false, Some(_)) if decision.owner.is_some() => {
                    changes.push(OwnershipChange::Ending(target, decision.owner));
                }
                _ => {}
            }
        }
        for target in &claims.released {
            self.unreported_releases.remove(target);
        }
        changes
    }
}
