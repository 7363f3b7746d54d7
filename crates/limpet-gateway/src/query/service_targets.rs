//! The targets of a service from the view of one request.

use std::{
    sync::Arc,
    time::Duration, //
};

use super::{
    QueryContext,
    asked_targets::AskedTargets, //
};
use crate::target::{
    Target,
    TargetCriteria, //
};

/// Longest time for which a request waits for paused targets, as a fraction of the latency goal of the route.
const PAUSE_GOAL_FRACTION: f64 = 0.25;

/// What a request that no target can get at present may expect.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outlook {
    /// Whether a target that was not asked accepts requests and only lacks room.
    pub(super) has_other_target: bool,
    /// Time until a target may get the request without a notification.
    pub(super) next_in: Option<Duration>,
}

/// Picks the targets for the attempts of a request at a service.
#[derive(Debug)]
pub(super) struct ServiceTargets {
    query: Arc<QueryContext>,
    service: Box<str>,
    pub(super) asked: AskedTargets,
    /// Whether the latest attempt was recorded as slow; each counts once against the health of its target.
    is_straggler_recorded: bool,
}

impl ServiceTargets {
    /// Creates the view of a request that no target was asked to run.
    pub(super) fn new(query: Arc<QueryContext>, service: &str) -> Self {
        Self {
            asked: AskedTargets::new(query.route.latency_goal),
            query,
            service: service.into(),
            is_straggler_recorded: false,
        }
    }

    /// Picks the target of the next attempt, with the number of connections that this process may hold to it; `None` if
    /// no target has room.
    ///
    /// A target that rejected the request is asked again only if no other accepts requests. With `needs_free_slot`,
    /// only targets that can process the request at once are picked.
    pub(super) fn pick(&mut self, needs_free_slot: bool) -> Option<(Arc<Target>, usize)> {
        let shared = &self.query.shared;
        let now = shared.now();
        let picked = self.with_criteria(needs_free_slot, true, |criteria| {
            let process_count = criteria.process_count;
            shared
                .reported_loads
                .refresh_for_choice(shared, process_count);
            let mut fleet = shared.fleet();
            match fleet.pick(criteria, now) {
                Some(target) => Ok((target, criteria.connections_limit())),
                None => Err(fleet.has_other_target(criteria, now)
                    || self.asked.next_connection_check_at(now).is_some()),
            }
        });
        let picked = match picked {
            Err(false) if self.asked.has_rejected() => {
                self.with_criteria(needs_free_slot, false, |criteria| {
                    let target = shared.fleet().pick(criteria, now)?;
                    Some((target, criteria.connections_limit()))
                })
            }
            picked => picked.ok(),
        };
        if let Some((target, _)) = &picked {
            self.asked.record_attempt(&target.id);
            self.is_straggler_recorded = false;
        }
        picked
    }

    /// Returns what the request may expect while no target has room.
    pub(super) fn outlook(&self) -> Outlook {
        let shared = &self.query.shared;
        let now = shared.now();
        let connection_check_at = self.asked.next_connection_check_at(now);
        let has_other_target = connection_check_at.is_some()
            || self.with_criteria(false, true, |criteria| {
                shared.fleet().has_other_target(criteria, now)
            });
        // Without another target, those that rejected the request are asked again, but not while they are paused.
        let next_allowed_at = self.with_criteria(false, has_other_target, |criteria| {
            shared.fleet().next_allowed_at(criteria, now)
        });
        let next_ask_at = self.asked.next_ask_at(now);
        let next_ask_at = next_ask_at.filter(|_| !has_other_target);
        let times = [next_ask_at, next_allowed_at, connection_check_at];
        let next_at = times.into_iter().flatten().min();
        Outlook {
            has_other_target,
            next_in: next_at.map(|next_at| next_at.saturating_sub(now)),
        }
    }

    /// Returns whether no target accepts requests, or all want none for too long.
    pub(super) fn is_paused(&self) -> bool {
        let shared = &self.query.shared;
        let pause = shared.fleet().shortest_pause(&self.service, shared.now());
        let pause_max = self.query.route.latency_goal.mul_f64(PAUSE_GOAL_FRACTION);
        pause.is_none_or(|pause| pause >= pause_max)
    }

    /// Returns how long no target of the service wants a request, if that is so.
    pub(super) fn pause_left(&self) -> Option<Duration> {
        let shared = &self.query.shared;
        let pause = shared.fleet().shortest_pause(&self.service, shared.now());
        pause.filter(|pause| !pause.is_zero())
    }

    /// Records that the latest attempt that may run takes long.
    pub(super) fn record_straggler(&mut self, waited: Duration) {
        if std::mem::replace(&mut self.is_straggler_recorded, true) {
            return;
        }
        let shared = &self.query.shared;
        let mean_latency = self.query.mean_latency();
        if let Some(id) = self.asked.latest()
            && let Some(target) = shared.fleet().get(id)
        {
            let now = shared.now();
            target.health().record_straggler(waited, mean_latency, now);
        }
    }

    /// Calls `apply` with the criteria for the target of the next attempt.
    ///
    /// Targets that rejected the request are excluded, all of them or only those that may not be asked again yet.
    fn with_criteria<T>(
        &self,
        needs_free_slot: bool,
        excludes_all_rejected: bool,
        apply: impl FnOnce(&TargetCriteria<'_>) -> T,
    ) -> T {
        let query = &self.query;
        let shared = &query.shared;
        let service = query.route_table.service(&self.service);
        let process_count = shared.rate_limiter().process_counts().total;
        let cold_rate_per_s = service.map_or(0.0, |service| service.cold_rate_per_s);
        let cold_send_interval =
            |target: &Target| shared.cold_send_interval(target, cold_rate_per_s);
        let excluded = self.asked.excluded(excludes_all_rejected, shared.now());
        apply(&TargetCriteria {
            service: &self.service,
            zone: &shared.settings.zone,
            tried_targets: &excluded,
            connections_max: service.map_or(1, |service| service.connections_max),
            cold_send_interval: match cold_rate_per_s > 0.0 {
                true => Some(&cold_send_interval),
                false => None,
            },
            needs_free_slot,
            process_count,
            aggregator_count: query.aggregator_count,
        })
    }
}
