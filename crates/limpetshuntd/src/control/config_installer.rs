//! Validates offered configuration texts and puts them in force.

use std::sync::{
    Arc,
    atomic::Ordering, //
};

use limpet_config::{
    Config,
    Problem, //
};
use limpet_decide::revision::{
    ConfigVersion,
    OfferStatus,
    Origin,
    RevisionTracker, //
};
use limpet_types::{
    Revision,
    status::RefusedText, //
};
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use tokio::sync::oneshot;

use crate::{
    blackboard::ConfigInForce,
    control::{
        control_state::ControlState,
        freshness::FreshnessMessage, //
    },
};

/// Maximum number of problems that are logged for a refused text; the log also has their total.
const LOGGED_PROBLEMS_MAX: usize = 3;
/// Maximum number of problems that `/status` shows for a refused text.
const STATUS_PROBLEMS_MAX: usize = 20;
/// Maximum number of refused texts that `/status` shows; the latest ones are kept.
const STATUS_REFUSED_TEXTS_MAX: usize = 8;

/// Outcome of an offered text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OfferOutcome {
    /// The text is in force, by this offer or an earlier one.
    InForce,
    /// The text is invalid; the one in force did not change.
    Invalid,
    /// A higher revision or another text of the same revision is known, or the text could not be checked.
    Ignored,
}

/// Messages to the config installer.
#[derive(Debug)]
pub(super) enum ConfigInstallerMessage {
    /// Validate a text that is classified as [`OfferStatus::Newer`], and put it in force if it is valid; the
    /// outcome is sent to `reply`.
    Offer {
        origin: Origin,
        version: ConfigVersion,
        text: Box<str>,
        reply: oneshot::Sender<OfferOutcome>,
    },
}

/// Validates texts and puts them in force.
///
/// It is the only writer of the configuration and of the refused texts on the blackboard.
#[derive(Debug)]
pub(super) struct ConfigInstaller;

/// State of the installer between two offers.
#[derive(Debug)]
pub(super) struct ConfigInstallerState {
    control_state: Arc<ControlState>,
    freshness: ActorRef<FreshnessMessage>,
    revision_tracker: RevisionTracker,
}

impl Actor for ConfigInstaller {
    type Msg = ConfigInstallerMessage;
    type State = ConfigInstallerState;
    type Arguments = (Arc<ControlState>, ActorRef<FreshnessMessage>);

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        (control_state, freshness): Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        Ok(ConfigInstallerState {
            control_state,
            freshness,
            revision_tracker: RevisionTracker::new(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let ConfigInstallerMessage::Offer {
            origin,
            version,
            text,
            reply,
        } = message;
        let _ = reply.send(state.handle_offer(origin, version, text).await);
        Ok(())
    }
}

impl ConfigInstallerState {
    /// Compares an offered text with the texts received before; validates a newer one and puts it in force
    /// if it is valid.
    async fn handle_offer(
        &mut self,
        origin: Origin,
        version: ConfigVersion,
        text: Box<str>,
    ) -> OfferOutcome {
        let revision = version.revision;
        match self.revision_tracker.classify(origin, version) {
            OfferStatus::InForce => OfferOutcome::InForce,
            OfferStatus::Invalid => OfferOutcome::Invalid,
            OfferStatus::Stale => {
                let highest = self.revision_tracker.highest_revision();
                tracing::info!(revision, highest, ?origin, "stale revision ignored");
                count_offer("stale");
                OfferOutcome::Ignored
            }
            OfferStatus::Conflict => {
                tracing::error!(
                    revision,
                    ?origin,
                    "revision refused: another text was received under this revision"
                );
                count_offer("conflict");
                OfferOutcome::Ignored
            }
            OfferStatus::Newer => {
                // Parsing a text of 1 MB takes tens of milliseconds and would block an async worker.
                let parse_result = tokio::task::spawn_blocking(move || {
                    let result = Config::parse(&text);
                    (text, result)
                });
                match parse_result.await {
                    Ok((text, Ok(config))) => self.install(origin, version, text, config),
                    Ok((_, Err(problems))) => self.refuse(origin, version, &problems),
                    Err(error) => {
                        tracing::error!(
                            revision,
                            %error,
                            "cannot check the revision: the parser task failed"
                        );
                        OfferOutcome::Ignored
                    }
                }
            }
        }
    }

    /// Puts a valid text in force and notifies the other controllers.
    fn install(
        &mut self,
        origin: Origin,
        version: ConfigVersion,
        text: Box<str>,
        config: Config,
    ) -> OfferOutcome {
        let revision = version.revision;
        let freshness_limit = config.fleet.freshness_limit;
        self.revision_tracker.put_in_force(version);
        self.control_state
            .with_text_history(|history| history.push(revision, &text));
        self.control_state
            .board
            .config_in_force
            .store(Some(Arc::new(ConfigInForce {
                revision,
                digest: version.digest,
                text,
                config,
            })));
        self.publish_highest_checked_revision();
        // Refused texts of higher revisions stay reported: a peer may offer a valid text that is older.
        let mut refused = self.refused_texts();
        refused.retain(|text| text.revision > revision);
        self.publish_refused_texts(refused);
        let _ = self.freshness.cast(FreshnessMessage::ConfigInstalled {
            revision,
            freshness_limit,
        });
        self.control_state.installed_revision.send_replace(revision);
        tracing::info!(revision, ?origin, "revision in force");
        count_offer("in_force");
        metrics::gauge!("limpet_config_revision").set(revision as f64);
        OfferOutcome::InForce
    }

    /// Refuses an invalid text and reports its problems; the text in force does not change.
    fn refuse(
        &mut self,
        origin: Origin,
        version: ConfigVersion,
        problems: &[Problem],
    ) -> OfferOutcome {
        let revision = version.revision;
        self.revision_tracker.mark_invalid(version);
        self.publish_highest_checked_revision();
        for problem in problems.iter().take(LOGGED_PROBLEMS_MAX) {
            tracing::error!(revision, %problem, "problem in a refused revision");
        }
        let (in_force, count_of_problems) =
            (self.revision_tracker.revision_in_force(), problems.len());
        tracing::error!(
            revision,
            in_force,
            count_of_problems,
            ?origin,
            "revision refused: invalid"
        );
        count_offer("invalid");
        self.record_refused_text(revision, problems);
        OfferOutcome::Invalid
    }

    /// Adds a refused text to those that `/status` shows.
    fn record_refused_text(&self, revision: Revision, problems: &[Problem]) {
        let mut refused = self.refused_texts();
        refused.retain(|text| text.revision != revision);
        let shown = problems.iter().take(STATUS_PROBLEMS_MAX);
        refused.push(RefusedText {
            revision,
            problems: shown
                .map(|problem| problem.to_string().into_boxed_str())
                .collect(),
        });
        let excess = refused.len().saturating_sub(STATUS_REFUSED_TEXTS_MAX);
        refused.drain(..excess);
        self.publish_refused_texts(refused);
    }

    fn refused_texts(&self) -> Vec<RefusedText> {
        self.control_state.board.refused_texts.load().to_vec()
    }

    fn publish_refused_texts(&self, refused: Vec<RefusedText>) {
        metrics::gauge!("limpet_config_refused_texts").set(refused.len() as f64);
        self.control_state
            .board
            .refused_texts
            .store(Arc::new(refused));
    }

    /// Publishes the highest revision that was put in force or found invalid.
    fn publish_highest_checked_revision(&self) {
        let highest = self.revision_tracker.highest_revision();
        self.control_state
            .highest_checked_revision
            .store(highest, Ordering::Release);
    }
}

/// Counts an offered text in the metrics under its outcome.
fn count_offer(outcome: &'static str) {
    metrics::counter!("limpet_config_offers_total", "outcome" => outcome).increment(1);
}
