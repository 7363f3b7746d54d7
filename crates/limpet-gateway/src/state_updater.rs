//! Keeps the state of the deployment current: a few processes read the source, the others follow them.
//!
//! To follow a process means to take the changes of the state from it; a process that others follow is a
//! reader.

use std::{
    cmp::Reverse,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use futures::future::join_all;
use limpet_decide::refresh::{
    PeerAnswer,
    RefreshPlanner,
    RefreshStep,
    RefreshView,
    SourceAnswer, //
};
use limpet_peer::PeerClient;
use limpet_types::{
    deployment::StateUpdate,
    message::{
        FollowRequest,
        PeerReply,
        PeerRequest, //
    },
};
use rand::{
    Rng,
    seq::SliceRandom, //
};
use tokio::time::{
    sleep,
    timeout, //
};

use crate::{
    members::state_readers,
    shared_state::SharedState,
    source::{
        Source,
        SourceError,
        SourceErrorKind, //
    },
};

/// Time after a request to another process within which a reply counts as missing at the start of this process.
const START_REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a reply of the source with changes, so that the next reply holds several changes at once.
const BATCH_DELAY: Duration = Duration::from_millis(120);
/// Timeout of a read of the whole state, which takes many calls.
const FULL_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after its start until which a process waits to hear another one.
const PEERS_WAIT_MAX: Duration = Duration::from_millis(1000);
/// Interval at which a process checks during that time whether it has heard another one.
const PEERS_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Number of processes that a process without any state asks for theirs.
const START_PEERS_MAX: usize = 5;

/// Whether the source answered the latest read or watch of this process; kept so that only a change of the
/// status is logged, not each call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SourceStatus {
    /// No read or watch has ended yet.
    Unknown,
    /// The source answered with the state or with changes of it.
    Up,
    /// The source did not answer in time, or answered with another error than
    /// [`SourceErrorKind::HistoryGone`].
    Down,
}

/// Task that keeps the state of the deployment current, by following another process or by reading the
/// source.
#[derive(Debug)]
pub struct StateUpdater {
    shared: Arc<SharedState>,
    source: Arc<Source>,
    peer_client: PeerClient,
    source_status: SourceStatus,
    /// Whether the source no longer has the changes after the revision of this process, so that the whole
    /// state must be read.
    needs_full_read: bool,
    planner: RefreshPlanner,
}

impl StateUpdater {
    /// Creates the task.
    pub fn new(shared: Arc<SharedState>, source: Arc<Source>) -> Self {
        let planner = RefreshPlanner::new(shared.settings.refresh_limits);
        Self {
            shared,
            source,
            peer_client: PeerClient::new(),
            source_status: SourceStatus::Unknown,
            needs_full_read: false,
            planner,
        }
    }

    /// Runs until the future is dropped.
    pub async fn run(mut self) {
        if self.shared.settings.is_first_start {
            self.wait_for_peers().await;
        }
        loop {
            if self.shared.deployment_state().revision() == 0 {
                self.adopt_newest_state().await;
            }
            match self.next_step() {
                RefreshStep::AskPeer {
                    peer,
                    hold_max,
                    timeout,
                } => self.follow(peer, hold_max, timeout).await,
                RefreshStep::AskSource { hold_max, timeout } => {
                    self.ask_source(hold_max, timeout).await;
                }
                RefreshStep::Wait(delay) => sleep(delay).await,
            }
        }
    }

    /// Returns the next step by which this process keeps its state current.
    fn next_step(&mut self) -> RefreshStep {
        let shared = &self.shared;
        let live_addrs = shared.membership().live_addrs(shared.now());
        let readers = state_readers(shared, &live_addrs);
        let now = shared.suspend_aware_now();
        let age = {
            let deployment_state = shared.deployment_state();
            let has_state = deployment_state.revision() > 0;
            has_state.then(|| deployment_state.age(now).unwrap_or(Duration::MAX))
        };
        let view = RefreshView {
            age,
            own_addr: shared.settings.peer_addr,
            readers: &readers,
            live_addrs: &live_addrs,
        };
        let draw = || rand::rng().random_range(0.0..1.0);
        self.planner.next_step(&view, now, draw)
    }

    /// Waits until another process was heard, at most until some time after the start; returns at once if there
    /// is none to be heard.
    ///
    /// When a whole fleet starts, its processes would otherwise all read the source before they know each other.
    async fn wait_for_peers(&self) {
        let has_seeds = !self.shared.settings.seeds.is_empty();
        let knows_none = || self.shared.membership().known_addrs().next().is_none();
        while has_seeds && knows_none() && self.shared.now() < PEERS_WAIT_MAX {
            sleep(PEERS_CHECK_INTERVAL).await;
        }
    }

    /// Asks several processes at once for their state, and applies the newest of the replies.
    ///
    /// A process that has just started must not begin with a state that is older than what the others already
    /// act on: a single other process may have missed changes.
    async fn adopt_newest_state(&mut self) {
        let mut peers = self.live_peers();
        peers.shuffle(&mut rand::rng());
        peers.truncate(START_PEERS_MAX);
        let asked_at = self.shared.suspend_aware_now();
        let replies = join_all(
            peers
                .iter()
                .map(|peer| self.request_update(*peer, Duration::ZERO, START_REPLY_TIMEOUT)),
        );
        let updates = replies.await.into_iter().flatten();
        let newest = updates.max_by_key(|update| (update.revision, Reverse(update.age)));
        if let Some(update) = newest.filter(|update| update.revision > 0) {
            tracing::info!(
                revision = update.revision,
                age_ms = update.age.as_millis() as u64,
                asked = peers.len(),
                "state adopted from another process at the start"
            );
            apply_update(&self.shared, &update, asked_at);
        }
    }

    /// Returns the addresses of the other live processes.
    fn live_peers(&self) -> Vec<SocketAddr> {
        let own_addr = self.shared.settings.peer_addr;
        let mut live_addrs = self.shared.membership().live_addrs(self.shared.now());
        live_addrs.retain(|addr| *addr != own_addr);
        live_addrs
    }

    /// Asks another process for changes; returns `None` if it does not answer in time.
    ///
    /// The other process delays its reply by up to `hold_max` while nothing changes.
    async fn request_update(
        &self,
        peer: SocketAddr,
        hold_max: Duration,
        reply_timeout: Duration,
    ) -> Option<StateUpdate> {
        let request = PeerRequest::Follow(FollowRequest {
            after_revision: self.shared.deployment_state().revision(),
            wait_max: hold_max,
        });
        match self.peer_client.call(peer, &request, reply_timeout).await {
            Ok(PeerReply::Follow(update)) => Some(update),
            Ok(_) => {
                tracing::warn!(%peer, "process does not support follow requests");
                None
            }
            Err(error) => {
                tracing::info!(
                    %peer, %error, timeout_ms = reply_timeout.as_millis() as u64,
                    "process cannot be followed"
                );
                None
            }
        }
    }

    /// Asks another process for changes, and applies them.
    async fn follow(&mut self, peer: SocketAddr, hold_max: Duration, reply_timeout: Duration) {
        let requested_at = self.shared.suspend_aware_now();
        let own_revision = self.shared.deployment_state().revision();
        let update = self.request_update(peer, hold_max, reply_timeout).await;
        let answer = update.map_or(PeerAnswer::Missing, |update| {
            self.apply_peer_update(peer, &update, own_revision, requested_at, hold_max)
        });
        count_answer("peer", answer.label());
        let now = self.shared.suspend_aware_now();
        self.planner.record_peer_answer(peer, answer, now);
    }

    /// Applies the reply of another process to a call sent at `requested_at` by a process at `own_revision`.
    fn apply_peer_update(
        &self,
        peer: SocketAddr,
        update: &StateUpdate,
        own_revision: u64,
        requested_at: Duration,
        hold_max: Duration,
    ) -> PeerAnswer {
        let is_young = update.age <= self.shared.settings.refresh_limits.current_age_max();
        let is_current = is_young && update.revision >= own_revision;
        if !is_current {
            tracing::info!(
                %peer, age_ms = update.age.as_millis() as u64, revision = update.revision,
                own_revision, "state of the followed process is too old"
            );
        }
        // How long the reply was on its way is not known. Only a current process without changes delays it.
        let is_held = is_young && update.revision == own_revision;
        let as_of = match is_held {
            true => (requested_at + hold_max).min(self.shared.suspend_aware_now()),
            false => requested_at,
        };
        apply_update(&self.shared, update, as_of);
        match is_current {
            true => PeerAnswer::Current,
            false => PeerAnswer::Outdated,
        }
    }

    /// Reads the whole state from the source, or watches the source for changes, and applies the reply.
    async fn ask_source(&mut self, hold_max: Duration, reply_timeout: Duration) {
        let requested_at = self.shared.suspend_aware_now();
        let revision = self.shared.deployment_state().revision();
        let is_full_read = revision == 0 || self.needs_full_read;
        let (reply, reply_timeout) = match is_full_read {
            true => ((self.source.read)(), FULL_READ_TIMEOUT),
            false => ((self.source.watch)(revision, hold_max), reply_timeout),
        };
        let error = match timeout(reply_timeout, reply).await {
            Ok(Ok(update)) => {
                self.needs_full_read = false;
                self.apply_source_update(&update, is_full_read, revision, requested_at, hold_max)
                    .await;
                return;
            }
            Ok(Err(error)) => error,
            Err(_) => SourceError::new(SourceErrorKind::Interrupted, "no reply in time"),
        };
        let answer = match error.kind {
            SourceErrorKind::HistoryGone => {
                tracing::info!(
                    revision,
                    "source no longer has the changes after this revision, reading the whole state"
                );
                self.needs_full_read = true;
                SourceAnswer::Answered
            }
            SourceErrorKind::Interrupted => SourceAnswer::Interrupted,
            SourceErrorKind::Unavailable => SourceAnswer::Rejected,
        };
        count_answer("source", answer.label());
        if self.planner.record_source_answer(answer, false) {
            self.shared
                .deployment_state()
                .record_source_failure(requested_at);
            self.set_source_status(SourceStatus::Down, &error.context);
        }
    }

    /// Applies a reply of the source to a call sent at `requested_at` by a process at `own_revision`.
    async fn apply_source_update(
        &mut self,
        update: &StateUpdate,
        is_full_read: bool,
        own_revision: u64,
        requested_at: Duration,
        hold_max: Duration,
    ) {
        self.set_source_status(SourceStatus::Up, "");
        let has_changes = !update.changes.is_empty();
        // A reply at the same revision was delayed, but how long it was on its way is not known.
        let is_held = !is_full_read && update.revision == own_revision;
        let as_of = match is_held {
            true => (requested_at + hold_max).min(self.shared.suspend_aware_now()),
            false => requested_at,
        };
        apply_update(&self.shared, update, as_of);
        count_answer("source", SourceAnswer::Answered.label());
        self.planner
            .record_source_answer(SourceAnswer::Answered, has_changes);
        self.wait_for_peers().await;
        if has_changes {
            sleep(BATCH_DELAY).await;
        }
    }

    /// Stores the status of the source and logs it if it changed.
    fn set_source_status(&mut self, status: SourceStatus, context: &str) {
        if self.source_status == status {
            return;
        }
        self.source_status = status;
        let age_ms = self
            .shared
            .deployment_state()
            .age(self.shared.suspend_aware_now())
            .map(|age| age.as_millis() as u64);
        match status {
            SourceStatus::Up => tracing::info!(age_ms, "source answers"),
            SourceStatus::Down | SourceStatus::Unknown => {
                tracing::warn!(age_ms, context, "source does not answer")
            }
        }
    }
}

/// Counts the outcome of a call to another process or the source.
fn count_answer(asked: &'static str, outcome: &'static str) {
    metrics::counter!("limpet_state_calls_total", "asked" => asked, "outcome" => outcome)
        .increment(1);
}

/// Returns the changes that a follower asks for: at once if its revision differs from that of this process or
/// this process is not current, else after the next change or the requested wait.
pub async fn serve_follower(shared: &SharedState, request: FollowRequest) -> StateUpdate {
    let mut revision_receiver = shared.subscribe_revisions();
    let is_up_to_date = {
        let deployment_state = shared.deployment_state();
        let age = deployment_state.age(shared.suspend_aware_now());
        let is_current =
            age.is_some_and(|age| age <= shared.settings.refresh_limits.current_age_max());
        is_current && deployment_state.revision() == request.after_revision
    };
    if is_up_to_date {
        let next_change =
            revision_receiver.wait_for(|revision| *revision != request.after_revision);
        // The reply is built from the current state, whether it changed or the wait is over.
        let _ = timeout(request.wait_max, next_change).await;
    }
    shared
        .deployment_state()
        .update_since(request.after_revision, shared.suspend_aware_now())
}

/// Applies an update to the state of the deployment and to everything that is derived from it; `as_of` is the
/// time to which the age of the update refers.
pub fn apply_update(shared: &SharedState, update: &StateUpdate, as_of: Duration) {
    let now = shared.suspend_aware_now();
    let effect = shared.deployment_state().apply(update, as_of, now);
    if effect.has_new_config {
        shared.install_config();
    }
    if effect.has_new_config || effect.has_target_changes {
        shared.sync_fleet();
    }
    shared.publish_revision();
}
