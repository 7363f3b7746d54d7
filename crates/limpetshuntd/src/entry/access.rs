//! Checks whether a request may run: whether the entry serves, whether the team of the caller may use the
//! lookup, and whether the team has a rate token left.

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
        limits::RATE_TOKEN_WAIT_MAX,
        lookup_graph,
        state::Entry, //
    },
};

/// Team name under which callers without a valid API key share one queue.
const ANONYMOUS_TEAM: &str = "";

/// A caller that may run its request.
#[derive(Clone, Debug)]
pub(super) struct AuthorizedCaller {
    /// Team of the API key; [`ANONYMOUS_TEAM`] if the caller has no valid key and the lookup requires none.
    pub(super) team: TeamName,
    /// Weight of the team in the fair queue; 1 if the caller has no valid API key.
    pub(super) weight: u32,
    /// Whether the rate of the caller is limited, so that each lookup and each order costs a rate token.
    /// Callers without a valid API key have no rate limit.
    pub(super) has_rate_limit: bool,
}

impl Entry {
    /// Returns the configuration in force, or a refusal if this entry does not serve: while it starts or
    /// drains, without a configuration, and while its zone is disabled.
    ///
    /// Also drops the state of targets and services that this configuration no longer has.
    pub(super) fn require_serving(&self) -> Result<Arc<ConfigInForce>, Refusal> {
        let refuse = |code, message: &str| Err(Refusal::not_run(code, message));
        match self.board.phase() {
            Phase::Starting => return refuse(RefusalCode::Starting, "the entry is starting"),
            Phase::Draining => return refuse(RefusalCode::Draining, "the entry is draining"),
            Phase::Serving => {}
        }
        let Some(config_in_force) = self.board.config_in_force() else {
            return refuse(RefusalCode::Starting, "no configuration is in force yet");
        };
        if config_in_force.config.is_zone_disabled(&self.board.zone) {
            return refuse(RefusalCode::ZoneOut, "the zone of this entry is out");
        }
        self.prune_unconfigured(&config_in_force);
        Ok(config_in_force)
    }

    /// Checks whether the team of the API key may use the lookup and everything that it depends on.
    ///
    /// Called for each request before and after it waits for a query slot, each time with the configuration
    /// that is in force then.
    pub(super) fn authorize(
        &self,
        config: &Config,
        lookup: &Lookup,
        api_key: Option<&[u8]>,
    ) -> Result<AuthorizedCaller, Refusal> {
        self.authorize_team(
            config,
            lookup,
            api_key.and_then(|api_key| config.team_by_api_key(api_key)),
        )
    }

    /// Checks the rights of a team whose order another entry authenticated and forwarded.
    ///
    /// The other entry may have an older configuration, so the rights are checked again with `config`, the
    /// one of this entry. The rate token of the order was spent at the other entry.
    pub(super) fn authorize_forwarded(
        &self,
        config: &Config,
        lookup: &Lookup,
        team: &str,
    ) -> Result<AuthorizedCaller, Refusal> {
        self.authorize_team(config, lookup, config.team(team))
    }

    /// Checks the rights of `team`, which is `None` if the caller has no valid API key.
    fn authorize_team(
        &self,
        config: &Config,
        lookup: &Lookup,
        team: Option<&Team>,
    ) -> Result<AuthorizedCaller, Refusal> {
        let lookups = lookup_graph::resolve_dependencies(config, lookup)?;
        let is_open = |lookup: &&Lookup| {
            let service = config.service(&lookup.service);
            service.is_some_and(|service| service.is_open)
        };
        let is_key_required = !lookups.iter().all(is_open);
        // The key may have been revoked by a newer configuration that this entry has not received.
        if is_key_required && !self.board.is_config_fresh() {
            return Err(Refusal::not_run(
                RefusalCode::ConfigStale,
                "no proof that the configuration is current",
            ));
        }
        let Some(team) = team else {
            if is_key_required {
                return Err(Refusal::not_run(
                    RefusalCode::Unauthorized,
                    "no team has this API key, or the team is gone",
                ));
            }
            return Ok(AuthorizedCaller {
                team: ANONYMOUS_TEAM.into(),
                weight: 1,
                has_rate_limit: false,
            });
        };
        check_team_access(&lookups, team, is_open)?;
        Ok(AuthorizedCaller {
            team: team.name.clone(),
            weight: team.weight,
            has_rate_limit: true,
        })
    }

    /// Spends one rate token of the team. If none is left, makes the grant client request tokens and waits
    /// for a grant until `deadline`, a time since boot, but for at most [`RATE_TOKEN_WAIT_MAX`].
    pub(super) async fn spend_rate_token(
        &self,
        team: &str,
        deadline: Duration,
    ) -> Result<(), Refusal> {
        let wait_deadline = deadline.min(self.board.now() + RATE_TOKEN_WAIT_MAX);
        loop {
            let granted = self.board.tokens_granted.notified();
            tokio::pin!(granted);
            // Registered before the pool is tried, so that a grant in between is not missed.
            granted.as_mut().enable();
            let now = self.board.now();
            if self.board.token_pool().try_acquire(team, now) {
                return Ok(());
            }
            // Makes the grant client request tokens now, and not only at its next interval.
            self.board.token_shortage.notify_waiters();
            let time_left = wait_deadline.saturating_sub(now);
            if time_left.is_zero() || tokio::time::timeout(time_left, granted).await.is_err() {
                return Err(Refusal::not_run(
                    RefusalCode::RateLimited,
                    "the team is over its rate and burst",
                ));
            }
        }
    }
}

/// Refuses the request unless the team may use each lookup that is not open to everybody.
fn check_team_access(
    lookups: &[&Lookup],
    team: &Team,
    is_open: impl Fn(&&Lookup) -> bool,
) -> Result<(), Refusal> {
    match lookups
        .iter()
        .find(|lookup| !is_open(lookup) && !lookup.allows_team(&team.name))
    {
        None => Ok(()),
        Some(lookup) => Err(Refusal::not_run(
            RefusalCode::Forbidden,
            format!("the team may not use lookup {}", lookup.name),
        )),
    }
}
