//! Notification of requests that wait until a target of their service has room.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use tokio::sync::Notify;

use super::{
    Fleet,
    TargetCriteria, //
};
use crate::ranked_waiters::RankedWaiters;

/// Requests of one service that wait for room.
#[derive(Debug, Default)]
pub struct ServiceRoom {
    /// Requests that wait.
    pub waiters: Arc<RankedWaiters>,
    /// Notified when a request begins to wait: what only keeps a connection for later use should let it go.
    pub wanted: Notify,
}

/// Counts one attempt until it is dropped, and then wakes the first request that waits for room.
#[derive(Debug)]
pub struct RoomGuard(pub Arc<ServiceRoom>);

impl Drop for RoomGuard {
    fn drop(&mut self) {
        self.0.waiters.wake_first();
    }
}

/// Requests that wait for room, by service.
#[derive(Debug, Default)]
pub struct RoomNotifier {
    by_service: Mutex<HashMap<Box<str>, Arc<ServiceRoom>>>,
}

impl RoomNotifier {
    /// Creates a notifier of no requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the requests of a service that wait.
    pub fn service(&self, service: &str) -> Arc<ServiceRoom> {
        let mut by_service = self
            .by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(room) = by_service.get(service) {
            return Arc::clone(room);
        }
        Arc::clone(by_service.entry(service.into()).or_default())
    }

    /// Wakes the requests of all services, because targets or processes came or went.
    pub fn wake_all(&self) {
        let by_service = self
            .by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for room in by_service.values() {
            room.waiters.wake_all();
        }
    }

    /// Removes the services that `is_used` does not name and for which no request waits.
    pub fn retain(&self, is_used: impl Fn(&str) -> bool) {
        let mut by_service = self
            .by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        by_service.retain(|service, room| is_used(service) || Arc::strong_count(room) > 1);
    }
}

impl Fleet {
    /// Returns whether a target of the service, other than those that were tried, accepts requests. It may lack a free
    /// connection at the moment, or be in its backoff after a rejection. One that is cold and may get no request now
    /// doesn't count: a request that was rejected elsewhere would otherwise wait for its warm-up.
    pub fn has_other_target(&self, criteria: &TargetCriteria<'_>, now: Duration) -> bool {
        let mut targets = self.targets(criteria.service).iter();
        targets.any(|target| {
            target.allows_request(now)
                && !criteria.tried_targets.contains(&target.id)
                && criteria.allows_cold_request(target, now)
        })
    }

    /// Returns the earliest time at which a target that was not tried may get a request although it gets none at
    /// present because of a pause, its warm-up or its backoff after a rejection; `None` if there is no such target.
    ///
    /// The backoff counts last, since it doesn't hold if no other target accepts requests.
    pub fn next_allowed_at(
        &self,
        criteria: &TargetCriteria<'_>,
        now: Duration,
    ) -> Option<Duration> {
        let targets = self.targets(criteria.service).iter();
        let targets = targets
            .filter(|target| !target.is_leaving() && !criteria.tried_targets.contains(&target.id));
        let times = targets.filter_map(|target| {
            let pause = target.notices().pause_left(now);
            let cold_at = criteria.cold_send_interval.and_then(|send_interval| {
                let send_interval = send_interval(target);
                let limiter = target.cold_rate_limiter();
                let is_cold = limiter.is_cold(now);
                is_cold.then(|| limiter.next_request_at(send_interval))
            });
            let allowed_at = cold_at.unwrap_or(now).max(now + pause);
            let backoff_end = now + target.load().backoff().time_left(now);
            [allowed_at, backoff_end].into_iter().find(|at| *at > now)
        });
        times.min()
    }
}
