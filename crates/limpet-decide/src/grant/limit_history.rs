//! Parts of the teams' rate limits that one lease group grants, under the current configuration and recent
//! ones.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_types::TeamName;

use crate::grant::{
    RateLimit,
    TOKEN_TTL, //
};

/// Part of each team's rate limit that the lease group grants.
type TeamLimits = HashMap<TeamName, RateLimit>;

/// Parts of the teams' rate limits that one lease group grants: those of the current configuration, and
/// those of previous ones under which another coordinator may still grant.
///
/// A changed limit may move a team to other lease groups, whose coordinators learn of the change at
/// different times. If the part of this group grows, its previous value therefore applies until no
/// coordinator can grant under the previous configuration and the tokens granted under that
/// configuration have expired. If the part shrinks, the new value applies at once.
#[derive(Clone, Debug, Default)]
pub struct LimitHistory {
    current: TeamLimits,
    /// Limits of previous configurations, with the time of their replacement.
    previous: Vec<(Duration, TeamLimits)>,
}

impl LimitHistory {
    /// Makes `limits` the current ones from `now` on; `is_first` is true if no configuration was known
    /// before, so that no previous limits apply.
    pub fn install(&mut self, limits: TeamLimits, is_first: bool, now: Duration) {
        let previous = std::mem::replace(&mut self.current, limits);
        if !is_first {
            self.previous.push((now, previous));
        }
    }

    /// Returns the limits under which to grant at `now`, and when they change next; `None` if no limits of a
    /// previous configuration apply.
    ///
    /// A coordinator stops granting when its evidence that the configuration is current is older
    /// than `freshness_limit`.
    pub fn effective_limits(
        &mut self,
        freshness_limit: Duration,
        now: Duration,
    ) -> (TeamLimits, Option<Duration>) {
        // The evidence of a coordinator that still has the previous configuration is from before
        // this node could learn of the new one, so it grants for at most the freshness limit after
        // the replacement here. The additional tenth covers the drift between two clocks.
        let hold_time = (freshness_limit + TOKEN_TTL) * 11 / 10;
        self.previous
            .retain(|(replaced_at, _)| now < *replaced_at + hold_time);
        let mut limits = self.current.clone();
        for (team, limit) in &mut limits {
            // A team that a previous configuration did not contain had no tokens under that configuration.
            for previous in self
                .previous
                .iter()
                .filter_map(|(_, limits)| limits.get(team))
            {
                limit.rate_per_s = limit.rate_per_s.min(previous.rate_per_s);
                limit.burst = limit.burst.min(previous.burst);
            }
        }
        let hold_end_times = self
            .previous
            .iter()
            .map(|(replaced_at, _)| *replaced_at + hold_time);
        (limits, hold_end_times.min())
    }
}
