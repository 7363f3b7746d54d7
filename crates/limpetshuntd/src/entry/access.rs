//! Checks before a request may run.

use std::{
    sync::Arc,
    time::Duration, //
};

use limpet_config::{
    Config,
    Lookup,
    Team, //
};
use limpet_types::{
    Phase,
    Refusal,
    RefusalCode,
    TeamName, //
};

use crate::{
    blackboard::ConfigInForce,
    entry::{
        limits::TOKEN_WAIT_MAX,
        lookup_graph,
        state::Entry, //
    },
};

/// Team under which callers without an API key queue.
const OPEN_TEAM: &str = "";

/// Who may run the request.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub(super) team: TeamName,
    pub(super) weight: u32,
    /// Whether a rate token is needed; callers without an API key have no rate.
    pub(super) is_metered: bool,
}

impl Entry {
    /// Returns the configuration in force if this process takes work at all.
    pub(super) fn require_serving(&self) -> Result<Arc<ConfigInForce>, Refusal> {
        let refuse = |code, message: &str| Err(Refusal::not_run(code, message));
        match self.board.phase() {
            Phase::Starting => return refuse(RefusalCode::Starting, "the entry is starting"),
            Phase::Draining => return refuse(RefusalCode::Draining, "the entry is draining"),
            Phase::Serving => {}
        }
        let Some(in_force) = self.board.config_in_force() else {
            return refuse(RefusalCode::Starting, "no configuration is in force yet");
        };
        if in_force.config.is_zone_disabled(&self.board.zone) {
            return refuse(RefusalCode::ZoneOut, "the zone of this entry is out");
        }
        self.retain_configured(&in_force);
        Ok(in_force)
    }

    /// Checks the API key against the lookup and everything that it depends on.
    ///
    /// Called with the configuration of the moment for each request, before and after it queued.
    pub(super) fn authorize(
        &self,
        config: &Config,
        lookup: &Lookup,
        key: Option<&[u8]>,
    ) -> Result<Caller, Refusal> {
        self.check_access(config, lookup, key.and_then(|key| config.team_by_key(key)))
    }

    /// Checks a team that another entry has authenticated.
    ///
    /// The other entry may have an older configuration, so the team must still exist here. Its
    /// order has spent a rate token there.
    pub(super) fn authorize_forwarded(
        &self,
        config: &Config,
        lookup: &Lookup,
        team: &str,
    ) -> Result<Caller, Refusal> {
        self.check_access(config, lookup, config.team(team))
    }

    fn check_access(
        &self,
        config: &Config,
        lookup: &Lookup,
        team: Option<&Team>,
    ) -> Result<Caller, Refusal> {
        let lookups = lookup_graph::resolve_dependencies(config, lookup)?;
        let is_open = |lookup: &&Lookup| {
            let service = config.service(&lookup.service);
            service.is_some_and(|service| service.open)
        };
        let needs_key = !lookups.iter().all(is_open);
        if needs_key && !self.board.is_config_fresh() {
            return Err(Refusal::not_run(
                RefusalCode::ConfigStale,
                "no proof that the configuration is current",
            ));
        }
        let Some(team) = team else {
            if needs_key {
                return Err(Refusal::not_run(
                    RefusalCode::Unauthorized,
                    "no team has this API key, or the team is gone",
                ));
            }
            return Ok(Caller {
                team: OPEN_TEAM.into(),
                weight: 1,
                is_metered: false,
            });
        };
        check_team(&lookups, team, is_open)?;
        Ok(Caller {
            team: team.name.clone(),
            weight: team.weight,
            is_metered: true,
        })
    }

    /// Spends one rate token, waiting for a grant for a short time.
    pub(super) async fn take_token(&self, team: &str, deadline: Duration) -> Result<(), Refusal> {
        let until = deadline.min(self.board.now() + TOKEN_WAIT_MAX);
        loop {
            let refilled = self.board.tokens_granted.notified();
            tokio::pin!(refilled);
            // Registered before the look, so that a grant in between is not missed.
            refilled.as_mut().enable();
            let now = self.board.now();
            if self.board.token_pool().try_acquire(team, now) {
                return Ok(());
            }
            self.board.token_shortage.notify_waiters();
            let time_left = until.saturating_sub(now);
            if time_left.is_zero() || tokio::time::timeout(time_left, refilled).await.is_err() {
                return Err(Refusal::not_run(
                    RefusalCode::RateLimited,
                    "the team is over its rate and burst",
                ));
            }
        }
    }
}

fn check_team(
    lookups: &[&Lookup],
    team: &Team,
    is_open: impl Fn(&&Lookup) -> bool,
) -> Result<(), Refusal> {
    match lookups
        .iter()
        .find(|l| !is_open(l) && !l.allows(&team.name))
    {
        None => Ok(()),
        Some(lookup) => Err(Refusal::not_run(
            RefusalCode::Forbidden,
            format!("the team may not use lookup {}", lookup.name),
        )),
    }
}
