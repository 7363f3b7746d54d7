//! Revisions of the configuration text that one process has received.

use limpet_types::Revision;

/// Identity of a configuration text: its revision and digest.
///
/// The digest tells apart two texts that were published under the same revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigVersion {
    /// Revision number.
    pub revision: Revision,
    /// BLAKE3 digest of the text.
    pub digest: [u8; 32],
}

/// Source of an offered text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The configuration service.
    Service,
    /// A peer that has the text in force.
    Peer,
}

/// Relation of an offered text to the texts received before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferStatus {
    /// The text is newer than the one in force and, if the service offers it, also than the latest invalid
    /// one; the caller validates the text and puts it in force if it is valid.
    Newer,
    /// The text is in force already.
    InForce,
    /// The text was found invalid before.
    Invalid,
    /// The text is not newer, because a higher revision was received before.
    Stale,
    /// Another text was received under the same revision.
    Conflict,
}

/// Tracks the text in force and the latest invalid one, and classifies offered texts by them.
///
/// An invalid revision does not exclude a lower one that a peer offers: a process that starts while
/// the configuration service has an invalid text must still get the text that its peers have in
/// force.
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
    /// Creates the state of a process that has received no text.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision in force; 0 stands for none.
    pub fn revision_in_force(&self) -> Revision {
        self.in_force.map_or(0, |version| version.revision)
    }

    /// Returns the highest revision received, valid or not; 0 stands for none.
    pub fn highest_revision(&self) -> Revision {
        let invalid = self.invalid.map_or(0, |version| version.revision);
        self.revision_in_force().max(invalid)
    }

    /// Classifies an offered text by the text in force and the latest invalid one.
    pub fn classify(&self, origin: Origin, offered: ConfigVersion) -> OfferStatus {
        for (known, status) in [
            (self.in_force, OfferStatus::InForce),
            (self.invalid, OfferStatus::Invalid),
        ] {
            match known {
                Some(known) if known == offered => return status,
                Some(known) if known.revision == offered.revision => return OfferStatus::Conflict,
                _ => {}
            }
        }
        let newest_known = match origin {
            Origin::Service => self.highest_revision(),
            Origin::Peer => self.revision_in_force(),
        };
        if offered.revision <= newest_known {
            return OfferStatus::Stale;
        }
        OfferStatus::Newer
    }

    /// Records that a text classified as [`OfferStatus::Newer`] is valid and in force.
    pub fn put_in_force(&mut self, version: ConfigVersion) {
        if version.revision > self.revision_in_force() {
            self.in_force = Some(version);
        }
    }

    /// Records that a text classified as [`OfferStatus::Newer`] is invalid.
    pub fn mark_invalid(&mut self, version: ConfigVersion) {
        if self
            .invalid
            .is_none_or(|known| known.revision < version.revision)
        {
            self.invalid = Some(version);
        }
    }
}
