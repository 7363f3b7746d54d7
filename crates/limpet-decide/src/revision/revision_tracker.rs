//! Revisions seen by one process.

use limpet_types::Revision;

/// A revision with the digest of its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigVersion {
    /// Revision.
    pub revision: Revision,
    /// BLAKE3 digest of the text.
    pub digest: [u8; 32],
}

/// Where a text came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The configuration service.
    Service,
    /// A peer, which has it in force.
    Peer,
}

/// What to do with an offered text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferStatus {
    /// Check it and, if it is valid, put it in force.
    Newer,
    /// It is in force.
    InForce,
    /// It was refused as invalid before.
    Invalid,
    /// A higher revision was seen.
    Stale,
    /// The same revision was seen with another text.
    Conflict,
}

/// Decides about offered texts.
///
/// An invalid revision does not stop a lower valid one that comes from a peer: a process that starts
/// while the service holds an invalid text must still get the text that its peers have in force.
///
/// # Examples
///
/// ```
/// use limpet_decide::revision::{ConfigVersion, OfferStatus, Origin, RevisionTracker};
///
/// let mut revisions = RevisionTracker::new();
/// let second = ConfigVersion { revision: 2, digest: [2; 32] };
/// assert_eq!(revisions.classify(Origin::Service, second), OfferStatus::Newer);
/// revisions.put_in_force(second);
/// let first = ConfigVersion { revision: 1, digest: [1; 32] };
/// assert_eq!(revisions.classify(Origin::Service, first), OfferStatus::Stale);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RevisionTracker {
    in_force: Option<ConfigVersion>,
    invalid: Option<ConfigVersion>,
}

impl RevisionTracker {
    /// Creates the state of a process that saw nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision in force; 0 stands for none.
    pub fn in_force(&self) -> Revision {
        self.in_force.map_or(0, |seen| seen.revision)
    }

    /// Returns the highest revision seen; 0 stands for none.
    pub fn highest(&self) -> Revision {
        let invalid = self.invalid.map_or(0, |seen| seen.revision);
        self.in_force().max(invalid)
    }

    /// Decides about a text without changing anything.
    pub fn classify(&self, origin: Origin, offered: ConfigVersion) -> OfferStatus {
        for (known, verdict) in [
            (self.in_force, OfferStatus::InForce),
            (self.invalid, OfferStatus::Invalid),
        ] {
            match known {
                Some(known) if known == offered => return verdict,
                Some(known) if known.revision == offered.revision => return OfferStatus::Conflict,
                _ => {}
            }
        }
        let floor = match origin {
            Origin::Service => self.highest(),
            Origin::Peer => self.in_force(),
        };
        if offered.revision <= floor {
            return OfferStatus::Stale;
        }
        OfferStatus::Newer
    }

    /// Notes that a text classified as [`OfferStatus::Newer`] is valid and in force.
    pub fn put_in_force(&mut self, seen: ConfigVersion) {
        if seen.revision > self.in_force() {
            self.in_force = Some(seen);
        }
    }

    /// Notes that a text classified as [`OfferStatus::Newer`] is invalid.
    pub fn mark_invalid(&mut self, seen: ConfigVersion) {
        if self
            .invalid
            .is_none_or(|known| known.revision < seen.revision)
        {
            self.invalid = Some(seen);
        }
    }
}
