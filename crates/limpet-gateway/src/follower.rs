//! Keeps the state of the deployment current: one process reads the source, the others follow it.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use limpet_peer::PeerClient;
use limpet_types::{
    deployment::Update,
    message::{
        FollowRequest,
        PeerReply,
        PeerRequest, //
    },
};
use rand::Rng;
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

/// Longest time for which the source holds back a watch without changes.
const WATCH_WAIT: Duration = Duration::from_millis(1000);
/// Longest time for which a process holds back a follower without changes.
const FOLLOW_WAIT: Duration = Duration::from_millis(800);
/// Processes that are tried before one reads the source itself.
const READERS_MAX: usize = 3;
/// Added to a wait before the other side counts as silent.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Age beyond which a process no longer counts as a reader: a watch that returned in time has at
/// most the wait and its reply time.
const READER_AGE_MAX: Duration = Duration::from_millis(1600);
/// Pause after changes, in which further ones gather for one call.
const BATCH_PAUSE: Duration = Duration::from_millis(120);
/// Pause after a failed read, with the same again at random.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Where the last update came from, for the log lines of lost and regained dependencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Unknown,
    Up,
    Down,
}

/// The controller that keeps the state current.
#[derive(Debug)]
pub struct Follower {
    shared: Arc<SharedState>,
    source: Source,
    peers: PeerClient,
    source_link: Link,
    /// Whether the history after the revision is gone, so that the whole state must be read.
    needs_read: bool,
}

impl Follower {
    /// Creates the controller.
    pub fn new(shared: Arc<SharedState>, source: Source) -> Self {
        Self {
            shared,
            source,
            peers: PeerClient::new(),
            source_link: Link::Unknown,
            needs_read: false,
        }
    }

    /// Runs until it is dropped.
    pub async fn run(mut self) {
        loop {
            if self.follow_reader().await || self.read_source().await {
                continue;
            }
            // The source does not answer this process; another one may know more.
            if let Some(peer) = self.any_peer() {
                self.follow(peer, Duration::ZERO).await;
            }
            let jitter = rand::rng().random_range(0.0..1.0);
            sleep(RETRY_PAUSE + RETRY_PAUSE.mul_f64(jitter)).await;
        }
    }

    /// Follows the first process that is current; false if this one is to read the source.
    ///
    /// Every process tries the same ones in the same order, so that few read the source even if it
    /// turns the first of them away.
    async fn follow_reader(&mut self) -> bool {
        let own = self.shared.settings.peer_addr;
        let live = self.shared.roster().live_addrs(self.shared.now());
        for reader in live.into_iter().take(READERS_MAX) {
            if reader == own {
                return false;
            }
            if self.follow(reader, FOLLOW_WAIT).await {
                return true;
            }
        }
        false
    }

    fn any_peer(&self) -> Option<SocketAddr> {
        let now = self.shared.now();
        let own = self.shared.settings.peer_addr;
        let mut live = self.shared.roster().live_addrs(now);
        live.retain(|addr| *addr != own);
        let index = rand::rng().random_range(0..live.len().max(1));
        live.get(index).copied()
    }

    /// Asks another process for changes; true if it is as current as a reader.
    async fn follow(&mut self, peer: SocketAddr, wait: Duration) -> bool {
        let asked_at = self.shared.now();
        let request = PeerRequest::Follow(FollowRequest {
            after_revision: self.shared.state().revision(),
            wait_max: wait,
        });
        let update = match self.peers.call(peer, &request, wait + REPLY_TIMEOUT).await {
            Ok(PeerReply::Follow(update)) => update,
            Ok(_) => {
                tracing::warn!(%peer, "process does not serve followers");
                return false;
            }
            Err(error) => {
                tracing::info!(%peer, %error, "process cannot be followed");
                return false;
            }
        };
        let is_current = update.age <= READER_AGE_MAX;
        if !is_current {
            tracing::info!(
                %peer, age_ms = update.age.as_millis(), revision = update.revision,
                "process is not current"
            );
        }
        // A watch that waited proves nothing about the time before its reply; only the age counts.
        let known_at = match update.changes.is_empty() {
            true => self.shared.now(),
            false => asked_at,
        };
        apply(&self.shared, &update, known_at);
        is_current
    }

    /// Reads or watches the source; false if it does not answer.
    async fn read_source(&mut self) -> bool {
        let asked_at = self.shared.now();
        let revision = self.shared.state().revision();
        let is_read = revision == 0 || self.needs_read;
        let reading = match is_read {
            true => (self.source.read)(),
            false => (self.source.watch)(revision, WATCH_WAIT),
        };
        let result = timeout(WATCH_WAIT + REPLY_TIMEOUT, reading).await;
        let context = match result {
            Ok(Ok(update)) => {
                self.needs_read = false;
                self.note_link(Link::Up, "");
                let has_changes = !update.changes.is_empty();
                let known_at = match is_read || has_changes {
                    true => asked_at,
                    false => self.shared.now(),
                };
                apply(&self.shared, &update, known_at);
                if has_changes {
                    sleep(BATCH_PAUSE).await;
                }
                return true;
            }
            Ok(Err(error)) if error.kind == SourceErrorKind::HistoryGone => {
                tracing::info!(
                    revision,
                    "history of the source is gone, reading the whole state"
                );
                self.needs_read = true;
                return true;
            }
            Ok(Err(error)) => error.context,
            Err(_) => "no reply in time".into(),
        };
        let now = self.shared.now();
        self.shared.state().note_trouble(now);
        self.note_link(Link::Down, &context);
        false
    }

    fn note_link(&mut self, link: Link, context: &str) {
        if self.source_link == link {
            return;
        }
        self.source_link = link;
        let age_ms = self
            .shared
            .state()
            .age(self.shared.now())
            .map(|age| age.as_millis() as u64);
        match link {
            Link::Up => tracing::info!(age_ms, "source answers"),
            Link::Down | Link::Unknown => tracing::warn!(age_ms, context, "source does not answer"),
        }
    }
}

/// Answers a follower: at once if there is something newer or this process is not current.
pub async fn serve_follower(shared: &SharedState, request: FollowRequest) -> Update {
    let mut revisions = shared.subscribe_revisions();
    let is_idle = {
        let state = shared.state();
        let age = state.age(shared.now()).unwrap_or(Duration::MAX);
        state.revision() == request.after_revision && age <= READER_AGE_MAX
    };
    if is_idle {
        let changed = revisions.wait_for(|revision| *revision != request.after_revision);
        // Either there is a change or the wait is over; both are answered from the state.
        let _ = timeout(request.wait_max, changed).await;
    }
    shared
        .state()
        .update_since(request.after_revision, shared.now())
}

/// Takes in an update and everything that follows from it.
pub fn apply(shared: &SharedState, update: &Update, known_at: Duration) {
    let now = shared.now();
    let applied = shared.state().apply(update, known_at, now);
    if applied.text {
        shared.install_config();
    }
    if applied.text || applied.targets {
        shared.sync_fleet();
    }
    shared.publish_revision();
}
