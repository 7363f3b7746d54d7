//! Evidence of one process.

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

/// Evidence that the configuration in force is current.
///
/// All times are boot times from before the read or call that gave the evidence was sent.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use limpet_decide::freshness::Freshness;
///
/// let limit = Duration::from_secs(4);
/// let mut freshness = Freshness::new(limit);
/// freshness.set_revision(1, limit);
/// freshness.record_read(Duration::from_secs(10));
/// assert_eq!(freshness.fresh_until(), Some(Duration::from_secs(14)));
/// ```
#[derive(Clone, Debug)]
pub struct Freshness {
    limit: Duration,
    revision: Revision,
    read_at: Option<Duration>,
    read_failed_at: Option<Duration>,
    heard_at: Option<Duration>,
    listed: Option<Vec<SocketAddr>>,
    peers: HashMap<SocketAddr, PeerView>,
}

impl Freshness {
    /// Creates the state of a process without evidence.
    pub fn new(limit: Duration) -> Self {
        Self {
            limit,
            revision: 0,
            read_at: None,
            read_failed_at: None,
            heard_at: None,
            listed: None,
            peers: HashMap::new(),
        }
    }

    /// Notes the revision put in force and the limit that it sets.
    ///
    /// Earlier evidence stays: the new revision is at least as new as what was current then.
    pub fn set_revision(&mut self, revision: Revision, limit: Duration) {
        self.revision = self.revision.max(revision);
        self.limit = limit;
    }

    /// Notes a read of the service that showed no revision below any known one.
    pub fn record_read(&mut self, sent_at: Duration) {
        self.read_at = self.read_at.max(Some(sent_at));
    }

    /// Notes a read that failed.
    pub fn record_read_failure(&mut self, sent_at: Duration) {
        self.read_failed_at = self.read_failed_at.max(Some(sent_at));
    }

    /// Replaces the peers that the VM list calls live, this process excluded.
    pub fn set_listed_peers(&mut self, listed: Vec<SocketAddr>) {
        self.peers.retain(|peer, _| listed.contains(peer));
        for peer in &listed {
            self.peers.entry(*peer).or_default();
        }
        self.listed = Some(listed);
    }

    /// Notes an answer; the text that came with it is already in force if it could be.
    ///
    /// Evidence about any other revision says nothing about the one in force here.
    pub fn record_reply(&mut self, peer: SocketAddr, sent_at: Duration, answer: PeerEvidence) {
        if let Some(view) = self.peers.get_mut(&peer)
            && view.answered.is_none_or(|(at, _)| at <= sent_at)
        {
            view.answered = Some((sent_at, answer));
        }
        if answer.revision == self.revision
            && self.revision > 0
            && let Some(age) = answer.freshness_age
        {
            self.heard_at = self.heard_at.max(sent_at.checked_sub(age));
        }
    }

    /// Notes that nothing listens at the peer's address.
    pub fn record_connection_refused(&mut self, peer: SocketAddr, sent_at: Duration) {
        if let Some(view) = self.peers.get_mut(&peer) {
            view.refused_at = view.refused_at.max(Some(sent_at));
        }
    }

    fn evidence_at(&self) -> Option<Duration> {
        self.read_at.max(self.heard_at)
    }

    /// Returns the age of the evidence.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.evidence_at().map(|at| now.saturating_sub(at))
    }

    /// Returns whether the evidence is missing or nears its limit, so that more has to be sought.
    ///
    /// Without a fault the age stays under half of a limit of 4 s; the rest of the limit is left for
    /// reads and calls.
    pub fn needs_refresh(&self, now: Duration) -> bool {
        self.age(now).is_none_or(|age| age > self.limit * 5 / 8)
    }

    /// Returns what to tell peers about the service.
    pub fn reachability(&self, now: Duration) -> ConfigServiceReachability {
        if !self.needs_refresh(now) {
            return ConfigServiceReachability::Reachable;
        }
        // A failure counts as long as evidence does; an older one proves nothing about now.
        let has_failed = self.read_failed_at > self.evidence_at()
            && self.read_failed_at.is_some_and(|at| now <= at + self.limit);
        if has_failed {
            ConfigServiceReachability::Unreachable
        } else {
            ConfigServiceReachability::Unknown
        }
    }

    /// Returns until when the configuration counts as current.
    pub fn fresh_until(&self) -> Option<Duration> {
        if self.revision == 0 {
            return None;
        }
        let by_evidence = self.evidence_at().map(|at| at + self.limit);
        by_evidence.max(self.outage_until())
    }

    /// Returns until when the service counts as down for everybody.
    fn outage_until(&self) -> Option<Duration> {
        let mut until = self.read_failed_at? + self.limit;
        for peer in self.listed.as_ref()? {
            let view = self.peers.get(peer)?;
            until = until.min(view.agrees_until(self.revision, self.limit)?);
        }
        Some(until)
    }

    /// Returns whether a starting process may serve.
    pub fn may_start_serving(&self, now: Duration) -> bool {
        let is_recent = |at: Option<Duration>| at.is_some_and(|at| now < at + self.limit);
        let is_alone_or_met_all = || {
            self.listed.as_ref().is_some_and(|listed| {
                listed
                    .iter()
                    .all(|peer| self.peers.get(peer).is_some_and(PeerView::is_known))
            })
        };
        self.revision > 0
            && (is_recent(self.heard_at)
                || (is_recent(self.read_at) && is_alone_or_met_all())
                || self.joins_outage(now))
    }

    /// Returns whether the service is down for everybody and a listed peer that was up before has the
    /// same text.
    ///
    /// Without that peer, starting processes that all read a stale service before it went down would
    /// confirm each other.
    fn joins_outage(&self, now: Duration) -> bool {
        let has_same_text = |view: &PeerView| view.was_up_with(self.revision);
        self.outage_until().is_some_and(|until| now < until)
            && self.peers.values().any(has_same_text)
    }

    /// Returns up to `count` listed peers to ask next, those asked longest ago first.
    pub fn next_probes(&mut self, now: Duration, count: usize) -> Vec<SocketAddr> {
        let mut peers: Vec<_> = self.peers.iter_mut().collect();
        peers.sort_by_key(|(peer, view)| (view.asked_at, **peer));
        let asked = peers.into_iter().take(count).map(|(peer, view)| {
            view.asked_at = Some(now);
            *peer
        });
        asked.collect()
    }
}
