//! Checks offered texts and puts them in force.

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
        freshness::FreshnessMessage,
        shared::Shared, //
    },
};

/// Problems of a refused text that are logged; the rest is counted.
const PROBLEMS_LOGGED: usize = 3;

/// Problems of a refused text that `/status` shows.
const PROBLEMS_SHOWN: usize = 20;
/// Refused texts that `/status` shows; the latest ones are kept.
const REFUSED_TEXTS_MAX: usize = 8;

/// What became of an offered text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// It is in force now, or was already.
    InForce,
    /// It is invalid; the text before it stays in force.
    Invalid,
    /// A higher revision is known, or another text of the same revision.
    Ignored,
}

/// Messages to the installer.
#[derive(Debug)]
pub(super) enum InstallerMessage {
    /// A text to check.
    Offer {
        origin: Origin,
        seen: ConfigVersion,
        text: Box<str>,
        outcome: oneshot::Sender<Outcome>,
    },
}

/// The only writer of the configuration and of the refused texts on the blackboard.
#[derive(Debug)]
pub(super) struct Installer;

#[derive(Debug)]
pub(super) struct InstallerState {
    shared: Arc<Shared>,
    freshness: ActorRef<FreshnessMessage>,
    revisions: RevisionTracker,
}

impl Actor for Installer {
    type Msg = InstallerMessage;
    type State = InstallerState;
    type Arguments = (Arc<Shared>, ActorRef<FreshnessMessage>);

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        (shared, freshness): Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        Ok(InstallerState {
            shared,
            freshness,
            revisions: RevisionTracker::new(),
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let InstallerMessage::Offer {
            origin,
            seen,
            text,
            outcome,
        } = message;
        let _ = outcome.send(state.judge(origin, seen, text).await);
        Ok(())
    }
}

impl InstallerState {
    async fn judge(&mut self, origin: Origin, seen: ConfigVersion, text: Box<str>) -> Outcome {
        let revision = seen.revision;
        match self.revisions.classify(origin, seen) {
            OfferStatus::InForce => Outcome::InForce,
            OfferStatus::Invalid => Outcome::Invalid,
            OfferStatus::Stale => {
                let highest = self.revisions.highest();
                tracing::info!(revision, highest, ?origin, "stale revision ignored");
                count("stale");
                Outcome::Ignored
            }
            OfferStatus::Conflict => {
                tracing::error!(
                    revision,
                    ?origin,
                    "revision refused: another text has its number"
                );
                count("conflict");
                Outcome::Ignored
            }
            OfferStatus::Newer => {
                // A text of 1 MB takes tens of milliseconds, too long for an async worker.
                let parsed = tokio::task::spawn_blocking(move || {
                    let result = Config::parse(&text);
                    (text, result)
                });
                match parsed.await {
                    Ok((text, Ok(config))) => self.install(origin, seen, text, config),
                    Ok((_, Err(problems))) => self.refuse(origin, seen, &problems),
                    Err(error) => {
                        tracing::error!(revision, %error, "revision not checked");
                        Outcome::Ignored
                    }
                }
            }
        }
    }

    fn install(
        &mut self,
        origin: Origin,
        seen: ConfigVersion,
        text: Box<str>,
        config: Config,
    ) -> Outcome {
        let revision = seen.revision;
        let limit = config.fleet.freshness_limit;
        self.revisions.put_in_force(seen);
        self.shared.with_texts(|texts| texts.push(revision, &text));
        self.shared
            .board
            .config_in_force
            .store(Some(Arc::new(ConfigInForce {
                revision,
                digest: seen.digest,
                text,
                config,
            })));
        self.publish_highest();
        // A peer may bring a valid text older than one refused here; that one stays refused.
        let mut refused = self.refused_texts();
        refused.retain(|text| text.revision > revision);
        self.publish_refused(refused);
        let _ = self
            .freshness
            .cast(FreshnessMessage::InForce { revision, limit });
        self.shared.installed.send_replace(revision);
        tracing::info!(revision, ?origin, "revision in force");
        count("in_force");
        metrics::gauge!("limpet_config_revision").set(revision as f64);
        Outcome::InForce
    }

    fn refuse(&mut self, origin: Origin, seen: ConfigVersion, problems: &[Problem]) -> Outcome {
        let revision = seen.revision;
        self.revisions.mark_invalid(seen);
        self.publish_highest();
        for problem in problems.iter().take(PROBLEMS_LOGGED) {
            tracing::error!(revision, %problem, "problem of a refused revision");
        }
        let (in_force, count_of_problems) = (self.revisions.in_force(), problems.len());
        tracing::error!(
            revision,
            in_force,
            count_of_problems,
            ?origin,
            "revision refused: invalid"
        );
        count("invalid");
        self.note_refused(revision, problems);
        Outcome::Invalid
    }

    fn note_refused(&self, revision: Revision, problems: &[Problem]) {
        let mut refused = self.refused_texts();
        refused.retain(|text| text.revision != revision);
        let shown = problems.iter().take(PROBLEMS_SHOWN);
        refused.push(RefusedText {
            revision,
            problems: shown
                .map(|problem| problem.to_string().into_boxed_str())
                .collect(),
        });
        let excess = refused.len().saturating_sub(REFUSED_TEXTS_MAX);
        refused.drain(..excess);
        self.publish_refused(refused);
    }

    fn refused_texts(&self) -> Vec<RefusedText> {
        self.shared.board.refused_texts.load().to_vec()
    }

    fn publish_refused(&self, refused: Vec<RefusedText>) {
        metrics::gauge!("limpet_config_refused_texts").set(refused.len() as f64);
        self.shared.board.refused_texts.store(Arc::new(refused));
    }

    fn publish_highest(&self) {
        let highest = self.revisions.highest();
        self.shared.highest_judged.store(highest, Ordering::Release);
    }
}

fn count(outcome: &'static str) {
    metrics::counter!("limpet_config_offers_total", "outcome" => outcome).increment(1);
}
