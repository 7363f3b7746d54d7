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
    shared_state::SharedState,
    source::{
        Source,
        SourceErrorKind, //
    },
};

/// Longest time for which the source delays its reply to a watch while nothing changes.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Longest time for which the source delays its reply to the watch after one with changes. The age of the state
/// counts from the request of a watch that returned changes, so the next reply must not take long.
const WATCH_WAIT_AFTER_CHANGES: Duration = Duration::from_millis(300);
/// Longest time for which a process delays its reply while nothing changes, to a follower that others follow in
/// turn.
const READER_FOLLOW_WAIT: Duration = Duration::from_millis(400);
/// Longest time for which a process delays its reply to another follower while nothing changes.
const FOLLOW_WAIT: Duration = Duration::from_millis(800);
/// Time beyond the requested wait after which a reply counts as missing.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Age of the state beyond which a process is not current. While its watches return in time, its state is at most
/// as old as a watch, the delay after changes and the next watch take together.
const CURRENT_AGE_MAX: Duration = Duration::from_millis(1600);
/// Delay after a reply of the source with changes, so that the next reply holds several changes at once.
const BATCH_DELAY: Duration = Duration::from_millis(120);
/// Timeout of a read of the whole state, which takes many calls.
const FULL_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed read of the source; up to the same again is added as jitter.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(150);
/// Longest delay of a process that the others do not try to follow. Such a process may wait longer: once the
/// source answers again, it gets the state from the first ones that notice.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(1000);
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
    /// Longest time for which the source delays its reply to the next watch.
    watch_wait: Duration,
    /// Delay after the next failed read of the source, without jitter.
    retry_delay: Duration,
    /// Process that was current when it was followed last, other than the candidates of all processes.
    current_peer: Option<SocketAddr>,
}

impl StateUpdater {
    /// Creates the task.
    pub fn new(shared: Arc<SharedState>, source: Arc<Source>) -> Self {
        Self {
            shared,
            source,
            peer_client: PeerClient::new(),
            source_status: SourceStatus::Unknown,
            needs_full_read: false,
            watch_wait: WATCH_WAIT,
            retry_delay: RETRY_DELAY_MIN,
            current_peer: None,
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
            if self.follow_reader().await
                || self.follow_current_peer().await
                || (self.should_ask_source() && self.read_source().await)
            {
                self.retry_delay = RETRY_DELAY_MIN;
                self.wait_for_peers().await;
                continue;
            }
            // The source does not answer this process, but another process may have a later state.
            if let Some(peer) = self.random_peer()
                && self.follow(peer, Duration::ZERO).await
            {
                self.current_peer = Some(peer);
                continue;
            }
            let jitter = rand::rng().random_range(0.0..1.0);
            sleep(self.retry_delay + self.retry_delay.mul_f64(jitter)).await;
            self.retry_delay = match self.shared.readers().has_followers {
                true => RETRY_DELAY_MIN,
                false => (self.retry_delay * 2).min(RETRY_DELAY_MAX),
            };
        }
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
        let asked_at = self.shared.now();
        let replies = join_all(
            peers
                .iter()
                .map(|peer| self.request_update(*peer, Duration::ZERO)),
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

    /// Returns whether this process asks the source although others may do so; one without any state always does.
    fn should_ask_source(&self) -> bool {
        let has_state = self.shared.deployment_state().revision() > 0;
        let probability = self.shared.readers().probe_probability;
        !has_state || rand::rng().random_range(0.0..1.0) < probability
    }

    /// Follows the process that was current last, if no candidate of all processes is.
    async fn follow_current_peer(&mut self) -> bool {
        let Some(peer) = self.current_peer.take() else {
            return false;
        };
        let is_current = self.follow(peer, FOLLOW_WAIT).await;
        self.current_peer = is_current.then_some(peer);
        is_current
    }

    /// Follows the first candidate that is current; returns false if this process has to read the source.
    ///
    /// All processes try the same candidates in the same order, so that few processes read the source even
    /// if the source does not answer the first candidate.
    async fn follow_reader(&mut self) -> bool {
        let own_addr = self.shared.settings.peer_addr;
        let readers = self.shared.readers();
        let wait_max = match readers.has_followers {
            true => READER_FOLLOW_WAIT,
            false => FOLLOW_WAIT,
        };
        for reader in readers.candidates {
            if reader == own_addr {
                return false;
            }
            if self.follow(reader, wait_max).await {
                return true;
            }
        }
        false
    }

    /// Returns the addresses of the other live processes.
    fn live_peers(&self) -> Vec<SocketAddr> {
        let own_addr = self.shared.settings.peer_addr;
        let mut live_addrs = self.shared.membership().live_addrs(self.shared.now());
        live_addrs.retain(|addr| *addr != own_addr);
        live_addrs
    }

    /// Returns the address of a random other live process, or `None` if there is none.
    fn random_peer(&self) -> Option<SocketAddr> {
        let peers = self.live_peers();
        let index = rand::rng().random_range(0..peers.len().max(1));
        peers.get(index).copied()
    }

    /// Asks another process for changes; returns `None` if it does not answer.
    ///
    /// The other process delays its reply by up to `wait_max` while nothing changes.
    async fn request_update(&self, peer: SocketAddr, wait_max: Duration) -> Option<StateUpdate> {
        let request = PeerRequest::Follow(FollowRequest {
            after_revision: self.shared.deployment_state().revision(),
            wait_max,
        });
        let reply = self
            .peer_client
            .call(peer, &request, wait_max + REPLY_TIMEOUT);
        match reply.await {
            Ok(PeerReply::Follow(update)) => Some(update),
            Ok(_) => {
                tracing::warn!(%peer, "process does not support follow requests");
                None
            }
            Err(error) => {
                tracing::info!(%peer, %error, "process cannot be followed");
                None
            }
        }
    }

    /// Asks another process for changes, and applies them; returns whether that process is current.
    async fn follow(&mut self, peer: SocketAddr, wait_max: Duration) -> bool {
        let requested_at = self.shared.now();
        let Some(update) = self.request_update(peer, wait_max).await else {
            return false;
        };
        let is_current = update.age <= CURRENT_AGE_MAX;
        if !is_current {
            tracing::info!(
                %peer, age_ms = update.age.as_millis(), revision = update.revision,
                "state of the followed process is too old"
            );
        }
        // Without changes the age was measured at the reply, which may come long after the request.
        let as_of = match update.changes.is_empty() {
            true => self.shared.now(),
            false => requested_at,
        };
        apply_update(&self.shared, &update, as_of);
        is_current
    }

    /// Reads the whole state from the source, or watches the source for changes, and applies the reply;
    /// returns whether the source answered.
    async fn read_source(&mut self) -> bool {
        let requested_at = self.shared.now();
        let revision = self.shared.deployment_state().revision();
        let is_full_read = revision == 0 || self.needs_full_read;
        let reply = match is_full_read {
            true => (self.source.read)(),
            false => (self.source.watch)(revision, self.watch_wait),
        };
        let reply_timeout = match is_full_read {
            true => FULL_READ_TIMEOUT,
            false => WATCH_WAIT + REPLY_TIMEOUT,
        };
        let result = timeout(reply_timeout, reply).await;
        let context = match result {
            Ok(Ok(update)) => {
                self.needs_full_read = false;
                self.set_source_status(SourceStatus::Up, "");
                let has_changes = !update.changes.is_empty();
                let as_of = match is_full_read || has_changes {
                    true => requested_at,
                    false => self.shared.now(),
                };
                apply_update(&self.shared, &update, as_of);
                self.watch_wait = WATCH_WAIT;
                if has_changes {
                    self.watch_wait = WATCH_WAIT_AFTER_CHANGES;
                    sleep(BATCH_DELAY).await;
                }
                return true;
            }
            Ok(Err(error)) if error.kind == SourceErrorKind::HistoryGone => {
                tracing::info!(
                    revision,
                    "source no longer has the changes after this revision, reading the whole state"
                );
                self.needs_full_read = true;
                return true;
            }
            Ok(Err(error)) => error.context,
            Err(_) => "no reply in time".into(),
        };
        let now = self.shared.now();
        self.shared.deployment_state().record_source_failure(now);
        self.set_source_status(SourceStatus::Down, &context);
        false
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
            .age(self.shared.now())
            .map(|age| age.as_millis() as u64);
        match status {
            SourceStatus::Up => tracing::info!(age_ms, "source answers"),
            SourceStatus::Down | SourceStatus::Unknown => {
                tracing::warn!(age_ms, context, "source does not answer")
            }
        }
    }
}

/// Returns the changes that a follower asks for: at once if its revision differs from that of this process or
/// this process is not current, else after the next change or the requested wait.
pub async fn serve_follower(shared: &SharedState, request: FollowRequest) -> StateUpdate {
    let mut revision_receiver = shared.subscribe_revisions();
    let is_up_to_date = {
        let deployment_state = shared.deployment_state();
        let age = deployment_state.age(shared.now()).unwrap_or(Duration::MAX);
        deployment_state.revision() == request.after_revision && age <= CURRENT_AGE_MAX
    };
    if is_up_to_date {
        let next_change =
            revision_receiver.wait_for(|revision| *revision != request.after_revision);
        // The reply is built from the current state, whether it changed or the wait is over.
        let _ = timeout(request.wait_max, next_change).await;
    }
    shared
        .deployment_state()
        .update_since(request.after_revision, shared.now())
}

/// Applies an update to the state of the deployment and to everything that is derived from it; `as_of` is the
/// time to which the age of the update refers.
pub fn apply_update(shared: &SharedState, update: &StateUpdate, as_of: Duration) {
    let now = shared.now();
    let effect = shared.deployment_state().apply(update, as_of, now);
    if effect.has_new_config {
        shared.install_config();
    }
    if effect.has_new_config || effect.has_target_changes {
        shared.sync_fleet();
    }
    shared.publish_revision();
}
