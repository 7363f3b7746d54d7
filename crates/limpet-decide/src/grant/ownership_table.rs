//! Which relay owns which target of one group.

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

/// Time between two searches for expired entries.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug)]
struct Slot {
    owner: NodeId,
    until: Duration,
    moving_to: Option<NodeId>,
}

/// A decision of the table, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipEvent {
    /// A free target was granted.
    Granted(TargetAddr, NodeId),
    /// A claim from before this term was confirmed.
    Confirmed(TargetAddr, NodeId),
    /// The owner is not renewed, in favour of the preferred relay.
    Moving(TargetAddr, NodeId, NodeId),
    /// The owner gave the target back.
    Released(TargetAddr, NodeId),
    /// The owner did not renew.
    Expired(TargetAddr, NodeId),
}

/// Ownership table of one term.
#[derive(Clone, Debug)]
pub struct OwnershipTable {
    slots: HashMap<TargetAddr, Slot>,
    grace_until: Duration,
    is_in_grace: bool,
    version: u64,
    swept_at: Duration,
    moves: f64,
    moves_refilled_at: Duration,
    events: Vec<OwnershipEvent>,
}

impl OwnershipTable {
    /// Creates the table of a coordinator that was elected at `elected_at` and knows nothing.
    ///
    /// `first_version` is random, so that versions of two terms are not equal by chance.
    pub fn new(elected_at: Duration, first_version: u64) -> Self {
        Self {
            slots: HashMap::new(),
            grace_until: elected_at + OWNERSHIP_TTL,
            is_in_grace: true,
            version: first_version,
            swept_at: elected_at,
            moves: f64::from(MOVES_PER_S),
            moves_refilled_at: elected_at,
            events: Vec::new(),
        }
    }

    /// Returns the version of the directory.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the owners.
    pub fn directory(&self) -> Vec<DirectoryEntry> {
        let entry = |(target, slot): (&TargetAddr, &Slot)| DirectoryEntry {
            target: *target,
            owner: slot.owner,
        };
        self.slots.iter().map(entry).collect()
    }

    /// Takes the decisions since the last call.
    pub fn take_events(&mut self) -> Vec<OwnershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Drops expired entries and refills the limit on moves.
    pub fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.moves_refilled_at).as_secs_f64();
        self.moves_refilled_at = self.moves_refilled_at.max(now);
        let per_s = f64::from(MOVES_PER_S);
        self.moves = (self.moves + per_s * elapsed).min(per_s);
        if self.is_in_grace && now >= self.grace_until {
            // Holders keep the former directory during the grace period and replace it now.
            self.is_in_grace = false;
            self.version = self.version.wrapping_add(1);
        }
        if now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        let events = &mut self.events;
        let before = self.slots.len();
        self.slots.retain(|target, slot| {
            if now >= slot.until {
                events.push(OwnershipEvent::Expired(*target, slot.owner));
            }
            now < slot.until
        });
        if self.slots.len() != before {
            self.version = self.version.wrapping_add(1);
        }
    }

    /// Answers a claim of a target that the holder owned when it sent the request.
    ///
    /// `is_current_term` tells whether the claim quotes this term; if not, it may have been sent
    /// before the former coordinator's last grant and counts for nothing.
    pub fn claim(
        &mut self,
        target: TargetAddr,
        holder: NodeId,
        is_current_term: bool,
        now: Duration,
    ) -> Option<NodeId> {
        match self.live(target, now) {
            Some(slot) if slot.owner == holder => self.renew(target, slot, is_current_term, now),
            Some(slot) => Some(slot.owner),
            None if is_current_term => {
                self.set_owner(target, holder, now);
                self.events.push(OwnershipEvent::Confirmed(target, holder));
                Some(holder)
            }
            None => None,
        }
    }

    /// Answers a relay that does not own the target and wants it.
    pub fn request(
        &mut self,
        target: TargetAddr,
        holder: NodeId,
        preferred: Option<NodeId>,
        now: Duration,
    ) -> Option<NodeId> {
        match self.live(target, now) {
            Some(slot) if slot.owner == holder => self.renew(target, slot, true, now),
            Some(slot) => {
                let is_move = preferred == Some(holder) && slot.moving_to.is_none();
                if is_move && !self.is_in_grace && self.moves >= 1.0 {
                    self.moves -= 1.0;
                    let moving_to = Some(holder);
                    self.slots.insert(target, Slot { moving_to, ..slot });
                    let event = OwnershipEvent::Moving(target, slot.owner, holder);
                    self.events.push(event);
                }
                Some(slot.owner)
            }
            None if self.is_in_grace => None,
            None => {
                self.set_owner(target, holder, now);
                self.events.push(OwnershipEvent::Granted(target, holder));
                Some(holder)
            }
        }
    }

    /// Returns whether the owner was told to give a target up in favour of `holder`.
    pub fn is_moving_to(&self, target: TargetAddr, holder: NodeId) -> bool {
        let slot = self.slots.get(&target);
        slot.is_some_and(|slot| slot.moving_to == Some(holder))
    }

    /// Frees a target that its owner gave back.
    pub fn release(&mut self, target: TargetAddr, holder: NodeId) {
        if self.slots.get(&target).is_some_and(|s| s.owner == holder) {
            self.slots.remove(&target);
            self.version = self.version.wrapping_add(1);
            self.events.push(OwnershipEvent::Released(target, holder));
        }
    }

    fn live(&self, target: TargetAddr, now: Duration) -> Option<Slot> {
        self.slots.get(&target).copied().filter(|s| now < s.until)
    }

    fn renew(
        &mut self,
        target: TargetAddr,
        slot: Slot,
        may: bool,
        now: Duration,
    ) -> Option<NodeId> {
        if slot.moving_to.is_some() {
            return slot.moving_to;
        }
        if !may {
            return None;
        }
        let until = slot.until.max(now + OWNERSHIP_TTL);
        self.slots.insert(target, Slot { until, ..slot });
        Some(slot.owner)
    }

    fn set_owner(&mut self, target: TargetAddr, owner: NodeId, now: Duration) {
        let slot = Slot {
            owner,
            until: now + OWNERSHIP_TTL,
            moving_to: None,
        };
        self.slots.insert(target, slot);
        self.version = self.version.wrapping_add(1);
    }
}
