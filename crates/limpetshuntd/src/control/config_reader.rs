//! Reads the configuration service, for newer texts and as evidence that the text in force is current.

use std::{
    sync::atomic::Ordering,
    time::Duration, //
};

use limpet_adapters::config_service::{
    ConfigReadOutcome,
    ConfigServiceClient, //
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
    actor_tasks::{
        reap_finished_tasks,
        send_periodically, //
    },
    config_installer::{
        ConfigInstallerMessage,
        OfferOutcome, //
    },
    control_state::ControlHandles,
    freshness::FreshnessMessage,
};

/// Time between two checks whether a read is due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of processes of a zone that watch the configuration service as its readers; with two, the second
/// one goes on without delay if the first one fails.
const READERS_PER_ZONE: usize = 2;
/// Maximum time for which the service holds the response to a reader's request until there is a newer
/// revision; while there is none, each reader makes two calls a second.
///
/// Evidence counts from the start of the request, so its age at a reader varies between one and two
/// timeouts. With a timeout of 1 s, this age would come too close to the freshness limit while the evidence
/// spreads through a large fleet.
const WATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay of a reader after a read that failed or returned an outdated revision.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay between two reads by a process that is not a reader but needs evidence.
const FALLBACK_DELAY: Duration = Duration::from_millis(500);
/// Additional delay per member, which keeps the reads by all processes that are not readers below 1,000 a
/// second.
const FALLBACK_DELAY_PER_NODE: Duration = Duration::from_millis(1);

/// Messages to the config reader.
#[derive(Debug)]
pub(super) enum ConfigReaderMessage {
    /// Read if a read is due.
    Tick,
    /// A read has ended.
    ReadEnded {
        /// Whether the service has a revision and no higher one is known here; false also if the read
        /// failed or the config installer ignored the text.
        is_current: bool,
    },
}

/// Watches the configuration service if this process is a reader of its zone; otherwise reads it only
/// while evidence is needed.
#[derive(Debug)]
pub(super) struct ConfigReader;

/// State of the config reader between two messages.
#[derive(Debug)]
pub(super) struct ConfigReaderState {
    handles: ControlHandles,
    is_reading: bool,
    /// Time since boot before which no read is due.
    next_read_at: Duration,
    /// Whether this process was a reader of its zone at the last check.
    was_reader: bool,
    tasks: JoinSet<()>,
}

impl Actor for ConfigReader {
    type Msg = ConfigReaderMessage;
    type State = ConfigReaderState;
    type Arguments = ControlHandles;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        handles: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let mut tasks = JoinSet::new();
        send_periodically(&mut tasks, myself, TICK_INTERVAL, || {
            ConfigReaderMessage::Tick
        });
        Ok(ConfigReaderState {
            handles,
            is_reading: false,
            next_read_at: Duration::ZERO,
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
            ConfigReaderMessage::Tick => reap_finished_tasks(&mut state.tasks),
            ConfigReaderMessage::ReadEnded { is_current } => {
                state.is_reading = false;
                let board = &state.handles.control_state.board;
                state.next_read_at = board.now() + state.delay_after_read(is_current);
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

impl ConfigReaderState {
    /// Returns the delay between the read that has just ended and the next one.
    fn delay_after_read(&self, is_current: bool) -> Duration {
        if !self.was_reader {
            let members = self.handles.control_state.board.members.load();
            return FALLBACK_DELAY + FALLBACK_DELAY_PER_NODE * members.nodes.len() as u32;
        }
        if is_current {
            Duration::ZERO
        } else {
            RETRY_DELAY
        }
    }

    /// Starts a read in the background if one is due and none is in flight; logs when this process becomes a
    /// reader of its zone or ceases to be one.
    fn read_if_due(&mut self, myself: ActorRef<ConfigReaderMessage>) {
        let board = &self.handles.control_state.board;
        let is_reader = self.is_reader();
        if is_reader != self.was_reader {
            self.was_reader = is_reader;
            tracing::info!(is_reader, zone = %board.zone, "reader role for the zone changed");
        }
        let should_read = is_reader
            || self
                .handles
                .control_state
                .freshness_status
                .load()
                .needs_evidence;
        if self.is_reading || !should_read || board.now() < self.next_read_at {
            return;
        }
        self.is_reading = true;
        let handles = self.handles.clone();
        let wait = if is_reader {
            WATCH_TIMEOUT
        } else {
            Duration::ZERO
        };
        self.tasks.spawn(async move {
            let is_current = read_service(&handles, wait).await;
            let _ = myself.cast(ConfigReaderMessage::ReadEnded { is_current });
        });
    }

    /// Returns whether rendezvous hashing selects this process as a reader, among the members of its zone
    /// that are not draining.
    fn is_reader(&self) -> bool {
        let board = &self.handles.control_state.board;
        let own_score = reader_score(board.node);
        let members = board.members.load();
        let higher_scored_count = members
            .nodes
            .iter()
            .filter(|member| member.record.zone == board.zone)
            .filter(|member| member.record.phase != Phase::Draining)
            .filter(|member| {
                member.record.node != board.node && reader_score(member.record.node) > own_score
            })
            .count();
        higher_scored_count < READERS_PER_ZONE
    }
}

/// Returns the score of a node in rendezvous hashing; the nodes with the highest scores are readers.
fn reader_score(node: NodeId) -> u64 {
    let incarnation = node.incarnation.to_be_bytes();
    stable_hash_parts(&[b"reader", node.addr.to_string().as_bytes(), &incarnation])
}

/// Reads the configuration service once, offers a newer text to the config installer, and reports a read
/// that failed or showed the highest known revision to the freshness controller.
///
/// The service may hold its response for up to `wait`. Returns whether the service has a revision and no
/// higher one is known here; false also if the read failed or the config installer ignored the text.
async fn read_service(handles: &ControlHandles, wait: Duration) -> bool {
    let control_state = &handles.control_state;
    let service_client =
        ConfigServiceClient::new(control_state.settings.role.common().config_service);
    let highest_checked_revision = control_state
        .highest_checked_revision
        .load(Ordering::Acquire);
    let sent_at = control_state.board.now();
    metrics::counter!("limpet_config_reads_total").increment(1);
    let service_revision = match service_client.read(highest_checked_revision, wait).await {
        Ok(ConfigReadOutcome::Unchanged { revision }) => {
            revision.unwrap_or(highest_checked_revision)
        }
        Ok(ConfigReadOutcome::Text { revision, text }) => {
            let digest = *blake3::hash(text.as_bytes()).as_bytes();
            let version = ConfigVersion { revision, digest };
            match offer_text(handles, Origin::Service, version, text).await {
                OfferOutcome::InForce | OfferOutcome::Invalid => revision,
                OfferOutcome::Ignored => return false,
            }
        }
        Err(error) => {
            tracing::debug!(%error, "cannot read the configuration service");
            metrics::counter!("limpet_config_read_errors_total").increment(1);
            let _ = handles
                .freshness
                .cast(FreshnessMessage::ServiceReadFailed { sent_at });
            return false;
        }
    };
    let is_current =
        service_revision > 0 && service_revision >= control_state.highest_known_revision();
    if is_current {
        let _ = handles
            .freshness
            .cast(FreshnessMessage::ServiceRead { sent_at });
    }
    is_current
}

/// Offers a text to the config installer and waits for the outcome; `Ignored` if the installer has stopped.
pub(super) async fn offer_text(
    handles: &ControlHandles,
    origin: Origin,
    version: ConfigVersion,
    text: Box<str>,
) -> OfferOutcome {
    let (reply, reply_receiver) = oneshot::channel();
    let message = ConfigInstallerMessage::Offer {
        origin,
        version,
        text,
        reply,
    };
    if handles.installer.cast(message).is_err() {
        return OfferOutcome::Ignored;
    }
    reply_receiver.await.unwrap_or(OfferOutcome::Ignored)
}
