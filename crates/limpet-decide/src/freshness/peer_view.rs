//! What a process learnt from one peer.

use std::time::Duration;

use limpet_types::{
    Revision,
    message::ConfigServiceReachability, //
};

/// The part of a peer's gossip that counts as evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerEvidence {
    /// Revision that the peer has in force.
    pub revision: Revision,
    /// Whether the peer can read the service.
    pub reachability: ConfigServiceReachability,
    /// Age of the peer's evidence; `None` while it has none or is starting.
    pub freshness_age: Option<Duration>,
}

/// Last contacts with one peer, each timed from before the call.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerView {
    pub(super) asked_at: Option<Duration>,
    pub(super) answered: Option<(Duration, PeerEvidence)>,
    pub(super) refused_at: Option<Duration>,
}

impl PeerView {
    /// Returns until when the peer does not contradict an outage of the service.
    ///
    /// The later contact counts: a process may have started where none was before.
    pub(super) fn agrees_until(&self, revision: Revision, limit: Duration) -> Option<Duration> {
        let answered_at = self.answered.map(|(at, _)| at);
        if self.refused_at > answered_at {
            return Some(self.refused_at? + limit);
        }
        let (at, answer) = self.answered?;
        let agrees = answer.reachability == ConfigServiceReachability::Unreachable
            && answer.revision <= revision;
        agrees.then_some(at + limit)
    }

    /// Returns whether the peer's last contact was an answer with this revision and some evidence, which
    /// a starting process never tells.
    pub(super) fn was_up_with(&self, revision: Revision) -> bool {
        self.answered.is_some_and(|(at, answer)| {
            self.refused_at <= Some(at)
                && answer.revision == revision
                && answer.freshness_age.is_some()
        })
    }

    /// Returns whether the peer ever answered or was found to be gone.
    pub(super) const fn is_known(&self) -> bool {
        self.answered.is_some() || self.refused_at.is_some()
    }
}
