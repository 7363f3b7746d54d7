//! Last contacts with one peer.

use std::time::Duration;

use limpet_types::{
    Revision,
    message::ConfigServiceReachability, //
};

/// Evidence in a peer's gossip reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerEvidence {
    /// Revision that the peer has in force.
    pub revision: Revision,
    /// Whether the peer can read the configuration service.
    pub reachability: ConfigServiceReachability,
    /// Age of the peer's latest evidence that its configuration is current; `None` while the peer has no
    /// evidence or is starting.
    pub freshness_age: Option<Duration>,
}

/// Last contacts with one peer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerView {
    /// When the peer was last chosen for a probe.
    pub(super) probed_at: Option<Duration>,
    /// When the last request with a reply was sent, and the evidence in that reply.
    pub(super) last_reply: Option<(Duration, PeerEvidence)>,
    /// When the last connection that the peer refused was attempted.
    pub(super) refused_at: Option<Duration>,
}

impl PeerView {
    /// Returns until when the last contact with the peer confirms an outage of the configuration service;
    /// `None` if that contact confirms no outage.
    ///
    /// The later of the last reply and the last refused connection counts, because a process may
    /// have started at an address where none was listening before. A refused connection confirms
    /// the outage: no process is left there that could read the configuration service.
    pub(super) fn outage_confirmed_until(
        &self,
        revision: Revision,
        freshness_limit: Duration,
    ) -> Option<Duration> {
        let replied_at = self.last_reply.map(|(at, _)| at);
        if self.refused_at > replied_at {
            return Some(self.refused_at? + freshness_limit);
        }
        let (at, reply) = self.last_reply?;
        let is_outage_confirmed = reply.reachability == ConfigServiceReachability::Unreachable
            && reply.revision <= revision;
        is_outage_confirmed.then_some(at + freshness_limit)
    }

    /// Returns whether the last contact with the peer was a reply with this revision and with the age of the
    /// peer's evidence.
    ///
    /// A starting process reports no evidence.
    pub(super) fn has_evidence_for(&self, revision: Revision) -> bool {
        self.last_reply.is_some_and(|(at, reply)| {
            self.refused_at <= Some(at)
                && reply.revision == revision
                && reply.freshness_age.is_some()
        })
    }

    /// Returns whether the peer ever replied or refused a connection.
    pub(super) const fn is_contacted(&self) -> bool {
        self.last_reply.is_some() || self.refused_at.is_some()
    }
}
