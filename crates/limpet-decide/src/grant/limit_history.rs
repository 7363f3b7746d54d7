//! Limits of one group over the last changes of the operators' text.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_types::TeamName;

use crate::grant::{
    RateLimit,
    TOKEN_TTL, //
};

type Limits = HashMap<TeamName, RateLimit>;

/// Limits in force, and former ones under which another coordinator may still grant.
///
/// A changed limit may move a team to other groups, whose coordinators learn of it at different
/// times. A part that grows is therefore held at its former value until no coordinator can grant
/// under the former text and its tokens are over. A part that shrinks does so at once.
#[derive(Clone, Debug, Default)]
pub struct LimitHistory {
    current: Limits,
    former: Vec<(Duration, Limits)>,
}

impl LimitHistory {
    /// Replaces the limits at `now`; `is_first` if none were known before.
    pub fn install(&mut self, limits: Limits, is_first: bool, now: Duration) {
        let former = std::mem::replace(&mut self.current, limits);
        if !is_first {
            self.former.push((now, former));
        }
    }

    /// Returns the limits to grant at `now`, and when they change next.
    ///
    /// `freshness_limit` is the age of evidence up to which a coordinator grants.
    pub fn effective_limits(
        &mut self,
        freshness_limit: Duration,
        now: Duration,
    ) -> (Limits, Option<Duration>) {
        // A coordinator grants only on evidence younger than the freshness limit, counted from before
        // this node could know the new text; the tenth covers the drift between two clocks.
        let hold = (freshness_limit + TOKEN_TTL) * 11 / 10;
        self.former.retain(|(replaced, _)| now < *replaced + hold);
        let mut limits = self.current.clone();
        for (team, limit) in &mut limits {
            // A team that a former text did not have had no tokens under it.
            for former in self.former.iter().filter_map(|(_, l)| l.get(team)) {
                limit.rate_per_s = limit.rate_per_s.min(former.rate_per_s);
                limit.burst = limit.burst.min(former.burst);
            }
        }
        let next = self.former.iter().map(|(replaced, _)| *replaced + hold);
        (limits, next.min())
    }
}
