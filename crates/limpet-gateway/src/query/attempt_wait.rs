//! What an attempt that cannot start at once waits for.

use std::{
    future::pending,
    sync::Arc,
    time::Duration, //
};

use limpet_decide::attempt_budget::RetryRank;
use tokio::time::{
    Instant,
    sleep_until, //
};

use crate::{
    ranked_waiters::RankedWait,
    target::ServiceRoom, //
};

/// Places of an attempt among those that wait for budget or for room; it waits for one of them at a time.
#[derive(Debug, Default)]
pub(super) struct AttemptWait {
    budget: Option<RankedWait>,
    room: Option<RankedWait>,
    /// Time at which the attempt may be possible without a notification.
    wake_at: Option<Instant>,
}

impl AttemptWait {
    /// Returns the place among those that wait for budget.
    pub(super) const fn budget(&self) -> Option<&RankedWait> {
        self.budget.as_ref()
    }

    /// Waits for budget at this place.
    pub(super) fn wait_for_budget(&mut self, place: RankedWait) {
        self.room = None;
        self.wake_at = None;
        self.budget = Some(place);
    }

    /// Waits for room; returns false if the attempt already waits for it.
    pub(super) fn wait_for_room(&mut self, room: &Arc<ServiceRoom>, rank: RetryRank) -> bool {
        self.budget = None;
        self.wake_at = None;
        let is_new = self.room.is_none();
        if is_new {
            self.room = Some(room.waiters.wait(rank));
        }
        is_new
    }

    /// Lets the next request try, because this one cannot use the room.
    pub(super) fn pass_on(&self) {
        if let Some(room) = &self.room {
            room.pass_on();
        }
    }

    /// Also wakes the attempt after `delay`.
    pub(super) fn wake_after(&mut self, delay: Option<Duration>) {
        self.wake_at = delay.map(|delay| Instant::now() + delay);
    }

    /// Ends the wait.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns when the attempt should be tried again.
    pub(super) async fn woken(&self) {
        let notified = async {
            match self.budget.as_ref().or(self.room.as_ref()) {
                Some(place) => place.woken().await,
                None => pending().await,
            }
        };
        let timer = async {
            match self.wake_at {
                Some(wake_at) => sleep_until(wake_at).await,
                None => pending().await,
            }
        };
        tokio::select! {
            () = notified => {}
            () = timer => {}
        }
    }
}
