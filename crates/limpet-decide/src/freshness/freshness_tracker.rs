//! Evidence of one process that its configuration is current.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::Duration, //
};

use limpet_types::{
    Revision,
    message::ConfigServiceReachability, //
};

use crate::freshness::peer_view::{
    PeerEvidence,
    PeerView, //
};

/// Decides from evidence until when the configuration in force counts as current.
///
/// Evidence is a successful read of the configuration service, or a peer's gossip reply that reports the age
/// of the peer's own evidence. A read counts from when it was sent. A peer's evidence counts from when the
/// gossip request was sent, less the reported age. All points in time are times since boot.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use limpet_decide::freshness::FreshnessTracker;
///
/// let freshness_limit = Duration::from_secs(4);
/// let mut freshness = FreshnessTracker::new(freshness_limit);
/// freshness.set_revision(1, freshness_limit);
/// freshness.record_read(Duration::from_secs(10));
/// assert_eq!(freshness.fresh_until(), Some(Duration::from_secs(14)));
/// ```
#[derive(Clone, Debug)]
pub struct FreshnessTracker {
    /// Age up to which evidence counts.
    freshness_limit: Duration,
    /// Revision in force; 0 stands for none.
    revision: Revision,
    /// When the latest successful read was sent.
    read_at: Option<Duration>,
    /// When the latest failed read was sent.
    read_failed_at: Option<Duration>,
    /// Time of the latest evidence that a peer reported for the revision in force here.
    peer_evidence_at: Option<Duration>,
    /// Peers on live VMs; `None` before the first VM list.
    live_peers: Option<Vec<SocketAddr>>,
    /// Last contacts with each live peer.
    peers: HashMap<SocketAddr, PeerView>,
}

impl FreshnessTracker {
    /// Creates the state of a process without evidence.
    pub fn new(freshness_limit: Duration) -> Self {
        Self {
            freshness_limit,
            revision: 0,
            read_at: None,
            read_failed_at: None,
            peer_evidence_at: None,
            live_peers: None,
            peers: HashMap::new(),
        }
    }

    /// Sets the revision in force and its freshness limit.
    ///
    /// Earlier evidence stays valid, because the new revision is at least as new as the one that
    /// was current then.
    pub fn set_revision(&mut self, revision: Revision, freshness_limit: Duration) {
        self.revision = self.revision.max(revision);
        self.freshness_limit = freshness_limit;
    }

    /// Records a read of the configuration service that returned no revision older than a known one.
    pub fn record_read(&mut self, sent_at: Duration) {
        self.read_at = self.read_at.max(Some(sent_at));
    }

    /// Records a failed read of the configuration service.
    pub fn record_read_failure(&mut self, sent_at: Duration) {
        self.read_failed_at = self.read_failed_at.max(Some(sent_at));
    }

    /// Sets the peers on VMs that the VM list reports as live, without this process, and forgets the
    /// contacts with all other peers.
    pub fn set_live_peers(&mut self, live_peers: Vec<SocketAddr>) {
        self.peers.retain(|peer, _| live_peers.contains(peer));
        for peer in &live_peers {
            self.peers.entry(*peer).or_default();
        }
        self.live_peers = Some(live_peers);
    }

    /// Records a peer's gossip reply. If the reply contains a configuration text, the caller must first
    /// have tried to put that text in force.
    ///
    /// A peer's evidence for another revision doesn't show that the revision in force here is current.
    pub fn record_reply(&mut self, peer: SocketAddr, sent_at: Duration, reply: PeerEvidence) {
        if let Some(view) = self.peers.get_mut(&peer)
            && view.last_reply.is_none_or(|(at, _)| at <= sent_at)
        {
            view.last_reply = Some((sent_at, reply));
        }
        if reply.revision == self.revision
            && self.revision > 0
            && let Some(age) = reply.freshness_age
        {
            self.peer_evidence_at = self.peer_evidence_at.max(sent_at.checked_sub(age));
        }
    }

    /// Records that the peer refused a connection attempted at `sent_at`: no process listens at its address.
    pub fn record_connection_refused(&mut self, peer: SocketAddr, sent_at: Duration) {
        if let Some(view) = self.peers.get_mut(&peer) {
            view.refused_at = view.refused_at.max(Some(sent_at));
        }
    }

    fn evidence_at(&self) -> Option<Duration> {
        self.read_at.max(self.peer_evidence_at)
    }

    /// Returns the age of the latest evidence, or `None` without any.
    pub fn evidence_age(&self, now: Duration) -> Option<Duration> {
        self.evidence_at().map(|at| now.saturating_sub(at))
    }

    /// Returns whether evidence is missing or close to its limit, so that newer evidence is needed.
    ///
    /// Without a fault the age of the evidence stays below half of a limit of 4 s. The rest of the limit
    /// leaves time for reads and calls.
    pub fn needs_refresh(&self, now: Duration) -> bool {
        self.evidence_age(now)
            .is_none_or(|age| age > self.freshness_limit * 5 / 8)
    }

    /// Returns the reachability of the configuration service to report to peers.
    pub fn reachability(&self, now: Duration) -> ConfigServiceReachability {
        if !self.needs_refresh(now) {
            return ConfigServiceReachability::Reachable;
        }
        // A failed read counts for the freshness limit, as evidence does; an older failure says nothing
        // about the present.
        let has_failed = self.read_failed_at > self.evidence_at()
            && self
                .read_failed_at
                .is_some_and(|at| now <= at + self.freshness_limit);
        if has_failed {
            ConfigServiceReachability::Unreachable
        } else {
            ConfigServiceReachability::Unknown
        }
    }

    /// Returns until when the configuration in force counts as current; `None` without a
    /// revision or evidence.
    pub fn fresh_until(&self) -> Option<Duration> {
        if self.revision == 0 {
            return None;
        }
        let evidence_expires_at = self.evidence_at().map(|at| at + self.freshness_limit);
        evidence_expires_at.max(self.outage_until())
    }

    /// Returns until when the configuration service counts as down for all processes.
    ///
    /// While no process can read the service, none can learn of a newer revision than the one in force here.
    /// Returns `None` if no read of this process has failed, if no VM list is known, or if the last contact
    /// with any one of the live peers does not confirm the outage.
    fn outage_until(&self) -> Option<Duration> {
        let mut until = self.read_failed_at? + self.freshness_limit;
        for peer in self.live_peers.as_ref()? {
            let view = self.peers.get(peer)?;
            until = until.min(view.outage_confirmed_until(self.revision, self.freshness_limit)?);
        }
        Some(until)
    }

    /// Returns whether a starting process may serve.
    ///
    /// The process needs a revision in force and one of these: recent evidence from a peer for that revision;
    /// a recent read and contact with every live peer; an outage of the configuration service in which a live
    /// peer that served before the outage has the same revision.
    pub fn may_start_serving(&self, now: Duration) -> bool {
        let is_recent = |at: Option<Duration>| at.is_some_and(|at| now < at + self.freshness_limit);
        let has_contacted_all_peers = || {
            self.live_peers.as_ref().is_some_and(|live_peers| {
                live_peers
                    .iter()
                    .all(|peer| self.peers.get(peer).is_some_and(PeerView::is_contacted))
            })
        };
        self.revision > 0
            && (is_recent(self.peer_evidence_at)
                || (is_recent(self.read_at) && has_contacted_all_peers())
                || self.may_start_in_outage(now))
    }

    /// Returns whether the configuration service is down for all processes and a live peer that served before
    /// the outage has the same revision.
    ///
    /// Without that peer, starting processes that all read a stale service before it went down
    /// would confirm each other.
    fn may_start_in_outage(&self, now: Duration) -> bool {
        let has_evidence = |view: &PeerView| view.has_evidence_for(self.revision);
        self.outage_until().is_some_and(|until| now < until)
            && self.peers.values().any(has_evidence)
    }

    /// Returns up to `count` live peers to probe next, least recently probed first, and records that they are
    /// probed at `now`.
    pub fn next_probes(&mut self, now: Duration, count: usize) -> Vec<SocketAddr> {
        let mut peers: Vec<_> = self.peers.iter_mut().collect();
        peers.sort_by_key(|(peer, view)| (view.probed_at, **peer));
        let probes = peers.into_iter().take(count).map(|(peer, view)| {
            view.probed_at = Some(now);
            *peer
        });
        probes.collect()
    }
}
