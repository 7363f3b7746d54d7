//! Reads of the configuration service.

use std::{
    sync::atomic::Ordering,
    time::Duration, //
};

use limpet_adapters::config_service::{
    ConfigService,
    ReadOutcome, //
};
use limpet_decide::revision::{
    ConfigVersion,
    Origin, //
};
use limpet_types::{
    NodeId,
    Phase,
    hash::stable_hash_parts, //
};
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use tokio::{
    sync::oneshot,
    task::JoinSet, //
};

use crate::control::{
    freshness::FreshnessMessage,
    installer::{
        InstallerMessage,
        Outcome, //
    },
    shared::Links,
    ticker::{
        reap,
        tick, //
    },
};

/// Time between two decisions whether to read.
const TICK: Duration = Duration::from_millis(50);
/// Readers in a zone: two, so that the loss of one costs no time.
const READERS_PER_ZONE: usize = 2;
/// Wait of a watch. Evidence counts from its start, so its age at a reader swings between one and
/// two waits; with 1 s it would come too close to the freshness limit on its way through a large
/// fleet. Costs two calls a second for each reader.
const WATCH: Duration = Duration::from_millis(500);
/// Pause after a read that failed or showed an old value.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two reads of a process that is no reader but lacks evidence.
const FALLBACK_PAUSE: Duration = Duration::from_millis(500);
/// Addition for each node, which keeps such reads of a whole fleet under 1,000 a second.
const FALLBACK_PAUSE_PER_NODE: Duration = Duration::from_millis(1);

/// Messages to the reader.
#[derive(Debug)]
pub(super) enum ReaderMessage {
    /// Decide whether to read.
    Tick,
    /// A read has ended.
    Done {
        /// Whether it showed nothing older than what is known.
        is_current: bool,
    },
}

/// Watches the service, if this process is among the readers of its zone.
#[derive(Debug)]
pub(super) struct Reader;

#[derive(Debug)]
pub(super) struct ReaderState {
    links: Links,
    is_reading: bool,
    not_before: Duration,
    was_reader: bool,
    tasks: JoinSet<()>,
}

impl Actor for Reader {
    type Msg = ReaderMessage;
    type State = ReaderState;
    type Arguments = Links;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        links: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let mut tasks = JoinSet::new();
        tick(&mut tasks, myself, TICK, || ReaderMessage::Tick);
        Ok(ReaderState {
            links,
            is_reading: false,
            not_before: Duration::ZERO,
            was_reader: false,
            tasks,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            ReaderMessage::Tick => reap(&mut state.tasks),
            ReaderMessage::Done { is_current } => {
                state.is_reading = false;
                let board = &state.links.shared.board;
                state.not_before = board.now() + state.pause_after(is_current);
            }
        }
        state.read_if_due(myself);
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<Self::Msg>,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        state.tasks.shutdown().await;
        Ok(())
    }
}

impl ReaderState {
    fn pause_after(&self, is_current: bool) -> Duration {
        if !self.was_reader {
            let members = self.links.shared.board.members.load();
            return FALLBACK_PAUSE + FALLBACK_PAUSE_PER_NODE * members.nodes.len() as u32;
        }
        if is_current {
            Duration::ZERO
        } else {
            RETRY_PAUSE
        }
    }

    fn read_if_due(&mut self, myself: ActorRef<ReaderMessage>) {
        let board = &self.links.shared.board;
        let is_reader = self.is_reader();
        if is_reader != self.was_reader {
            self.was_reader = is_reader;
            tracing::info!(is_reader, zone = %board.zone, "role as reader changed");
        }
        let is_wanted = is_reader || self.links.shared.evidence.load().is_wanted;
        if self.is_reading || !is_wanted || board.now() < self.not_before {
            return;
        }
        self.is_reading = true;
        let links = self.links.clone();
        let wait = if is_reader { WATCH } else { Duration::ZERO };
        self.tasks.spawn(async move {
            let is_current = read(&links, wait).await;
            let _ = myself.cast(ReaderMessage::Done { is_current });
        });
    }

    /// Returns whether rendezvous hashing ranks this process among the first of its zone.
    fn is_reader(&self) -> bool {
        let board = &self.links.shared.board;
        let own = rank(board.node);
        let members = board.members.load();
        let before = members
            .nodes
            .iter()
            .filter(|member| member.record.zone == board.zone)
            .filter(|member| member.record.phase != Phase::Draining)
            .filter(|member| member.record.node != board.node && rank(member.record.node) > own)
            .count();
        before < READERS_PER_ZONE
    }
}

fn rank(node: NodeId) -> u64 {
    let incarnation = node.incarnation.to_be_bytes();
    stable_hash_parts(&[b"reader", node.addr.to_string().as_bytes(), &incarnation])
}

/// Reads once and returns whether the read showed nothing older than what is known.
async fn read(links: &Links, wait: Duration) -> bool {
    let shared = &links.shared;
    let service = ConfigService::new(shared.settings.role.common().config_service);
    let after = shared.highest_judged.load(Ordering::Acquire);
    let sent_at = shared.board.now();
    metrics::counter!("limpet_config_reads_total").increment(1);
    let shown = match service.read(after, wait).await {
        Ok(ReadOutcome::Unchanged { revision }) => revision.unwrap_or(after),
        Ok(ReadOutcome::Text { revision, text }) => {
            let digest = *blake3::hash(text.as_bytes()).as_bytes();
            let seen = ConfigVersion { revision, digest };
            match offer(links, Origin::Service, seen, text).await {
                Outcome::InForce | Outcome::Invalid => revision,
                Outcome::Ignored => return false,
            }
        }
        Err(error) => {
            tracing::debug!(%error, "configuration service not read");
            metrics::counter!("limpet_config_read_errors_total").increment(1);
            let _ = links
                .freshness
                .cast(FreshnessMessage::ReadFailed { sent_at });
            return false;
        }
    };
    let is_current = shown > 0 && shown >= shared.highest_known();
    if is_current {
        let _ = links.freshness.cast(FreshnessMessage::Read { sent_at });
    }
    is_current
}

/// Offers a text to the installer and waits for what becomes of it.
pub(super) async fn offer(
    links: &Links,
    origin: Origin,
    seen: ConfigVersion,
    text: Box<str>,
) -> Outcome {
    let (outcome, received) = oneshot::channel();
    let offer = InstallerMessage::Offer {
        origin,
        seen,
        text,
        outcome,
    };
    if links.installer.cast(offer).is_err() {
        return Outcome::Ignored;
    }
    received.await.unwrap_or(Outcome::Ignored)
}
