//! Starts an actor for each target that becomes owned and stops those of targets that are not.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use limpet_types::TargetAddr;
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use tokio::task::JoinHandle;

use crate::{
    blackboard::{
        ConfigInForce,
        OwnershipDeadlines, //
    },
    relay::{
        state::RelayState,
        target::{
            TargetActor,
            TargetMessage, //
        },
    },
};

/// Interval at which ownership and configuration are looked at.
///
/// Checks at use do not depend on it; it bounds how long connections outlive the ownership.
/// 20 ms cost 0.4% of a core of an idle relay.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Messages to the controller.
#[derive(Debug)]
pub(crate) enum ControllerMessage {
    /// Look at ownership and configuration.
    Look,
}

/// Actor and task of one target.
type RunningTarget = (ActorRef<TargetMessage>, JoinHandle<()>);

/// State of the controller.
#[derive(Debug)]
pub(crate) struct ControllerState {
    relay: Arc<RelayState>,
    running: HashMap<TargetAddr, RunningTarget>,
    seen_config: Option<Arc<ConfigInForce>>,
    seen_owned: Option<Arc<OwnershipDeadlines>>,
    /// Earliest end of an ownership in `seen_owned`.
    next_end: Duration,
    ticker: JoinHandle<()>,
}

/// Keeps one actor per owned target.
#[derive(Debug)]
pub(crate) struct RelayController;

impl Actor for RelayController {
    type Msg = ControllerMessage;
    type State = ControllerState;
    type Arguments = Arc<RelayState>;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        relay: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let waker = Arc::clone(&relay);
        let ticker = tokio::spawn(async move {
            while myself.cast(ControllerMessage::Look).is_ok() {
                tokio::select! {
                    () = tokio::time::sleep(LOOK_INTERVAL) => {}
                    () = waker.wake.notified() => {}
                }
            }
        });
        Ok(ControllerState {
            relay,
            running: HashMap::new(),
            seen_config: None,
            seen_owned: None,
            next_end: Duration::ZERO,
            ticker,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Self::Msg>,
        ControllerMessage::Look: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        state.look().await;
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<Self::Msg>,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        state.ticker.abort();
        let owned: Vec<TargetAddr> = state.running.keys().copied().collect();
        state.stop(&owned, "the relay stops").await;
        Ok(())
    }
}

impl ControllerState {
    async fn look(&mut self) {
        let Some(sites) = self.relay.sites() else {
            return;
        };
        let owned = self.relay.board.ownership_deadlines.load_full();
        let now = self.relay.board.now();
        let same_config = self
            .seen_config
            .as_ref()
            .is_some_and(|seen| Arc::ptr_eq(seen, &sites.in_force));
        let same_owned = self
            .seen_owned
            .as_ref()
            .is_some_and(|seen| Arc::ptr_eq(seen, &owned));
        if same_config && same_owned && now < self.next_end {
            return;
        }
        let is_wanted =
            |addr: TargetAddr| owned.owned_until(addr, now).is_some() && sites.at(addr).is_some();
        let lost: Vec<TargetAddr> = self
            .running
            .iter()
            .filter(|(addr, (_, task))| {
                // An ownership that ended and came back in between may have been another relay's.
                let seen = self.seen_owned.as_ref();
                let lapsed = seen.is_some_and(|seen| seen.owned_until(**addr, now).is_none());
                !is_wanted(**addr) || lapsed || task.is_finished()
            })
            .map(|(addr, _)| *addr)
            .collect();
        self.stop(&lost, "the target is no longer owned").await;
        for addr in owned.ends_by_target.keys().copied() {
            if is_wanted(addr)
                && !self.running.contains_key(&addr)
                && let Some(site) = sites.at(addr)
            {
                self.start(site).await;
            }
        }
        if !same_config {
            for (actor, _) in self.running.values() {
                let _ = actor.cast(TargetMessage::Refresh);
            }
        }
        let ends = owned.ends_by_target.values().filter(|until| now < **until);
        self.next_end = ends.min().copied().unwrap_or(Duration::MAX);
        self.seen_config = Some(Arc::clone(&sites.in_force));
        self.seen_owned = Some(owned);
        metrics::gauge!("limpet_relay_targets_owned").set(self.running.len() as f64);
    }

    async fn start(&mut self, site: crate::relay::sites::Site) {
        let arguments = (Arc::clone(&self.relay), site);
        match TargetActor::spawn(None, TargetActor, arguments).await {
            Ok((actor, task)) => {
                tracing::info!(addr = %site.addr, "target is owned; it counts as cold");
                self.relay.set_target(site.addr, Some(actor.clone()));
                self.running.insert(site.addr, (actor, task));
            }
            Err(error) => tracing::error!(addr = %site.addr, %error, "target actor not started"),
        }
    }

    /// Stops the actors of targets; each closes its connections.
    async fn stop(&mut self, lost: &[TargetAddr], reason: &'static str) {
        let mut ended = Vec::with_capacity(lost.len());
        for addr in lost {
            self.relay.set_target(*addr, None);
            if let Some((actor, task)) = self.running.remove(addr) {
                tracing::info!(%addr, reason, "connections to the target are closed");
                // A stop that waits for the mailbox could send what is queued there.
                actor.stop(Some(reason.into()));
                ended.push(task);
            }
        }
        for task in ended {
            if let Err(error) = task.await {
                tracing::error!(%error, "target actor ended badly");
            }
        }
    }
}
