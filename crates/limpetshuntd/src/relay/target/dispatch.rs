//! Admission to the queue, sending, and opening of connections.

use std::{
    sync::Arc,
    time::Duration, //
};

use limpet_adapters::target::{
    TargetConnection,
    TargetError,
    TargetErrorKind, //
};
use limpet_decide::{
    pool::{
        Checkout,
        ConnectionId,
        connection_budget, //
    },
    quarantine::Restriction,
    warmup::Evidence, //
};
use limpet_types::{
    Refusal,
    RefusalCode, //
};
use ractor::ActorRef;

use crate::relay::target::actor::{
    ABANDONED_GRACE,
    REOPEN_DELAY,
    Running,
    TICK,
    TargetMessage,
    TargetState, //
};
use crate::relay::{
    gate::{
        TIME_LEFT_MIN,
        check_send, //
    },
    run::{
        self,
        CONNECT_LIMIT,
        Source, //
    },
    work::Work, //
};

/// Why the head of the queue is not sent now.
enum Hold {
    /// It stays at the head.
    Wait(Box<Work>),
    /// It is refused.
    Refuse(Box<Work>, Refusal),
}

impl TargetState {
    /// Queues an attempt, or refuses it if its deadline cannot be met.
    pub(super) fn take(&mut self, work: Work) {
        let now = self.relay.board.now();
        if let Some(refusal) = self.overload(&work, now) {
            return work.refuse(refusal, self.cold.is_cold(), now);
        }
        self.queue.push(work);
    }

    fn overload(&mut self, work: &Work, now: Duration) -> Option<Refusal> {
        let limit = self.cold.limit(now).max(1);
        let occupied = self.occupied(now);
        let ahead = (occupied + self.queue.len()) as u32;
        if ahead < limit {
            return None;
        }
        // A cold target is slow in a way that its past latency does not tell; another replica is
        // the better choice, so only as many wait as may run.
        if self.cold.is_cold() && self.queue.len() as u32 >= limit {
            let reason = format!("the target is cold and has {ahead} attempts");
            return Some(Refusal::not_run(RefusalCode::TargetCold, reason));
        }
        let wait = self.latency * (ahead / limit);
        (now + wait >= work.deadline).then(|| {
            let reason = format!("{ahead} attempts are ahead and the deadline is too near");
            Refusal::not_run(RefusalCode::Overloaded, reason)
        })
    }

    /// Sends from the queue while the limits allow.
    pub(super) fn dispatch(&mut self, myself: &ActorRef<TargetMessage>) {
        let now = self.relay.board.now();
        drop(self.queue.take_if(|work| work.reply.is_closed()));
        let is_over = |work: &Work| now + TIME_LEFT_MIN >= work.deadline;
        for work in self.queue.take_if(is_over) {
            let reason = "the deadline passed in the queue";
            let refusal = Refusal::not_run(RefusalCode::DeadlineExceeded, reason);
            work.refuse(refusal, self.cold.is_cold(), now);
        }
        while !self.running.values().any(|running| running.is_solo) {
            let now = self.relay.board.now();
            if self.occupied(now) >= self.cold.limit(now) as usize {
                break;
            }
            let Some(work) = self.queue.pop() else {
                break;
            };
            match self.start(myself, work, now) {
                Ok(()) => {}
                Err(Hold::Refuse(work, refusal)) => {
                    work.refuse(refusal, self.cold.is_cold(), now);
                }
                Err(Hold::Wait(work)) => {
                    self.queue.push_front(*work);
                    break;
                }
            }
        }
    }

    /// Starts the task of one attempt.
    fn start(
        &mut self,
        myself: &ActorRef<TargetMessage>,
        work: Work,
        now: Duration,
    ) -> Result<(), Hold> {
        let fingerprint = work.request.fingerprint;
        if let Err(refusal) = check_send(&self.relay, self.addr, work.deadline, fingerprint) {
            return Err(Hold::Refuse(Box::new(work), refusal));
        }
        let restriction = self.relay.board.strikes().restriction(fingerprint, now);
        let is_solo = restriction == Restriction::Isolated;
        if is_solo && (!self.running.is_empty() || self.has_abandoned(now)) {
            return Err(Hold::Wait(Box::new(work)));
        }
        let (id, source) = match self.connection() {
            Some(found) => found,
            None => return Err(Hold::Wait(Box::new(work))),
        };
        if is_solo {
            if !self
                .relay
                .board
                .strikes()
                .begin_isolated_run(fingerprint, now)
            {
                self.release(id, source);
                let reason = "the request has a strike and runs alone elsewhere";
                let refusal = Refusal::not_run(RefusalCode::RequestQuarantined, reason);
                return Err(Hold::Refuse(Box::new(work), refusal));
            }
            tracing::info!(addr = %self.addr, fingerprint, "request with a strike runs alone");
        }
        self.running.insert(
            id,
            Running {
                fingerprint,
                is_replaced: false,
                is_struck: false,
                is_solo,
            },
        );
        let relay = Arc::clone(&self.relay);
        let suspect_after = self.suspect_after();
        let task = run::run(relay, myself.clone(), id, work, source, suspect_after);
        self.tasks.spawn(task);
        Ok(())
    }

    fn has_abandoned(&mut self, now: Duration) -> bool {
        self.abandoned.retain(|abandoned| now < abandoned.end);
        !self.abandoned.is_empty()
    }

    /// Takes a connection that is open, or the right to open one.
    fn connection(&mut self) -> Option<(ConnectionId, Source)> {
        loop {
            match self.pool.checkout() {
                Checkout::Wait => return None,
                Checkout::Open(id) => return Some((id, Source::Open)),
                Checkout::Reuse(id) => match self.idle.remove(&id) {
                    Some(connection) if connection.is_open() => {
                        return Some((id, Source::Ready(connection)));
                    }
                    // The target closed it: it may have restarted, and is cold until it answers.
                    _ => {
                        self.pool.remove(id);
                        self.observe(Evidence::ConnectionLost);
                        let now = self.relay.board.now();
                        if self.occupied(now) >= self.cold.limit(now) as usize {
                            return None;
                        }
                    }
                },
            }
        }
    }

    fn release(&mut self, id: ConnectionId, source: Source) {
        match source {
            Source::Ready(connection) if self.pool.check_in(id, true) => {
                self.idle.insert(id, connection);
            }
            _ => self.pool.remove(id),
        }
    }

    /// Keeps one connection per slot open.
    pub(super) fn open_ahead(&mut self, myself: &ActorRef<TargetMessage>) {
        let now = self.relay.board.now();
        let may_use = !self.site.is_zone_out && !self.site.is_leaving;
        if now < self.reopen_at || !may_use || !self.owns(now) {
            return;
        }
        let wanted = self
            .site
            .slots
            .min(connection_budget(self.site.connections_max));
        while let Some(id) = self.pool.preconnect(wanted) {
            self.spawn_open(myself, id);
        }
    }

    fn owns(&self, now: Duration) -> bool {
        let board = &self.relay.board;
        board
            .ownership_deadlines
            .load()
            .owned_until(self.addr, now)
            .is_some()
    }

    pub(super) fn spawn_open(&mut self, myself: &ActorRef<TargetMessage>, id: ConnectionId) {
        let (addr, myself) = (self.addr, myself.clone());
        self.tasks.spawn(async move {
            let result = TargetConnection::open(addr, CONNECT_LIMIT).await;
            let _ = myself.cast(TargetMessage::Opened { id, result });
        });
    }

    pub(super) fn opened(
        &mut self,
        id: ConnectionId,
        result: Result<TargetConnection, TargetError>,
    ) {
        match result {
            Ok(connection) => {
                self.pool.mark_open(id);
                self.idle.insert(id, connection);
            }
            Err(error) => {
                self.pool.remove(id);
                self.not_opened(&error);
            }
        }
    }

    /// Takes in that a connection could not be opened.
    pub(super) fn not_opened(&mut self, error: &TargetError) {
        self.reopen_at = self.relay.board.now() + REOPEN_DELAY;
        self.observe(Evidence::ConnectionLost);
        if error.kind == TargetErrorKind::Refused {
            let crash = self.crash.refused();
            self.note_crash(crash);
        }
    }

    /// Wakes the actor later if only time can bring it on.
    pub(super) fn schedule_tick(&mut self, myself: &ActorRef<TargetMessage>) {
        let now = self.relay.board.now();
        let wait = if !self.queue.is_empty() {
            TICK
        } else if now < self.reopen_at {
            self.reopen_at - now
        } else if self.has_abandoned(now) {
            ABANDONED_GRACE
        } else {
            return;
        };
        if self.is_tick_due {
            return;
        }
        self.is_tick_due = true;
        let myself = myself.clone();
        self.tasks.spawn(async move {
            tokio::time::sleep(wait).await;
            let _ = myself.cast(TargetMessage::Tick);
        });
    }
}
