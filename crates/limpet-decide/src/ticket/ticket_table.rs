//! Tickets that one entry incarnation has issued, with the outcomes of their orders.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    time::Duration, //
};

use limpet_types::{
    Refusal,
    TeamName,
    message::OrderOutcome, //
};

/// Limits on the memory used for tickets.
#[derive(Clone, Copy, Debug)]
pub struct TicketLimits {
    /// Largest number of tickets kept.
    pub tickets_max: usize,
    /// Largest number of tickets of one team that no order has used; a further one evicts the
    /// oldest.
    ///
    /// Tickets cost no rate tokens. Without this limit a team that only requests tickets could
    /// evict those of other teams.
    pub unused_per_team_max: usize,
    /// Largest total size of the recorded outcomes.
    pub outcomes_size_max_bytes: usize,
    /// Age above which a ticket expires.
    pub age_max: Duration,
}

impl Default for TicketLimits {
    fn default() -> Self {
        Self {
            tickets_max: 50_000,
            unused_per_team_max: 2_000,
            outcomes_size_max_bytes: 16 << 20,
            age_max: Duration::from_secs(600),
        }
    }
}

#[derive(Debug)]
enum TicketState {
    /// Unused, or last used by an order that certainly did not run; contains the refusal of that
    /// order.
    Issued(Option<Refusal>),
    Running,
    Done(OrderOutcome),
}

#[derive(Debug)]
struct Ticket {
    team: TeamName,
    issued_at: Duration,
    /// Hash of the order that last claimed the ticket; no other order may claim it.
    order_hash: Option<u64>,
    state: TicketState,
}

/// Result of an attempt to claim a ticket for an order.
#[derive(Clone, Debug, PartialEq)]
pub enum TicketClaim {
    /// The order may run; the caller must call [`TicketTable::finish`] afterwards.
    Run,
    /// The order is running already; its outcome will follow.
    InProgress,
    /// The order ran with this outcome.
    Recorded(OrderOutcome),
    /// The ticket was never issued, belongs to another team or was used for another order. The
    /// order must not run.
    Invalid,
    /// The ticket was evicted or has expired. The order may have run and must not run again.
    Forgotten,
}

/// Outcome of an order as known to a request that did not start the order.
#[derive(Clone, Debug, PartialEq)]
pub enum OutcomeStatus {
    /// The outcome is not known yet.
    Pending,
    /// The outcome is recorded.
    Known(OrderOutcome),
    /// The order did not run, and its ticket can be used again.
    NotRun(Refusal),
    /// The ticket was evicted or has expired.
    Forgotten,
}

/// Tickets that one entry incarnation issued.
///
/// A ticket that was evicted or has expired is forgotten: the table no longer tells whether an order ran
/// under it. Therefore no order runs under it again, and such an order is refused with `outcome_unknown`.
#[derive(Debug)]
pub struct TicketTable {
    limits: TicketLimits,
    next_sequence: u64,
    outcomes_size_bytes: usize,
    tickets: BTreeMap<u64, Ticket>,
    /// Tickets that no order has used, by team.
    unused: HashMap<TeamName, BTreeSet<u64>>,
}

impl TicketTable {
    /// Creates the table of a new entry incarnation.
    pub fn new(limits: TicketLimits) -> Self {
        Self {
            limits,
            next_sequence: 0,
            outcomes_size_bytes: 0,
            tickets: BTreeMap::new(),
            unused: HashMap::new(),
        }
    }

    /// Returns the number of tickets in the table.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether the table contains no ticket.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Issues a ticket and returns its sequence number; `None` if the table is full of tickets of running
    /// orders.
    pub fn issue(&mut self, team: &str, now: Duration) -> Option<u64> {
        self.expire(now);
        self.evict_unused(team);
        while self.tickets.len() >= self.limits.tickets_max {
            if !self.evict_oldest() {
                return None;
            }
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let ticket = Ticket {
            team: team.into(),
            issued_at: now,
            order_hash: None,
            state: TicketState::Issued(None),
        };
        self.tickets.insert(sequence, ticket);
        let unused = self.unused.entry(team.into()).or_default();
        unused.insert(sequence);
        Some(sequence)
    }

    /// Returns whether an order could claim the ticket: it is known, no order ran under it and none is
    /// running.
    pub fn is_claimable(&self, sequence: u64) -> bool {
        let ticket = self.tickets.get(&sequence);
        ticket.is_some_and(|ticket| matches!(ticket.state, TicketState::Issued(_)))
    }

    /// Returns what [`TicketTable::claim`] would return, without claiming the ticket.
    pub fn peek(
        &mut self,
        sequence: u64,
        team: &str,
        order_hash: u64,
        now: Duration,
    ) -> TicketClaim {
        self.expire(now);
        if sequence >= self.next_sequence {
            return TicketClaim::Invalid;
        }
        let Some(ticket) = self.tickets.get(&sequence) else {
            return TicketClaim::Forgotten;
        };
        if &*ticket.team != team || ticket.order_hash.is_some_and(|hash| hash != order_hash) {
            return TicketClaim::Invalid;
        }
        match &ticket.state {
            TicketState::Issued(_) => TicketClaim::Run,
            TicketState::Running => TicketClaim::InProgress,
            TicketState::Done(outcome) => TicketClaim::Recorded(outcome.clone()),
        }
    }

    /// Claims a ticket for an order.
    pub fn claim(
        &mut self,
        sequence: u64,
        team: &str,
        order_hash: u64,
        now: Duration,
    ) -> TicketClaim {
        let claim = self.peek(sequence, team, order_hash, now);
        if claim == TicketClaim::Run
            && let Some(ticket) = self.tickets.get_mut(&sequence)
        {
            ticket.order_hash = Some(order_hash);
            ticket.state = TicketState::Running;
            self.remove_unused(sequence, team);
        }
        claim
    }

    /// Records the outcome of a running order, and evicts the oldest tickets while the recorded outcomes are
    /// too large.
    ///
    /// After an order that certainly did not run, the caller can use the ticket again.
    pub fn finish(&mut self, sequence: u64, outcome: OrderOutcome) {
        let Some(ticket) = self.tickets.get_mut(&sequence) else {
            return;
        };
        if !matches!(ticket.state, TicketState::Running) {
            return;
        }
        if let Err(refusal) = &outcome
            && refusal.not_run
        {
            ticket.state = TicketState::Issued(Some(refusal.clone()));
            return;
        }
        self.outcomes_size_bytes += outcome_size_bytes(&outcome);
        ticket.state = TicketState::Done(outcome);
        while self.outcomes_size_bytes > self.limits.outcomes_size_max_bytes {
            if !self.evict_oldest() {
                break;
            }
        }
    }

    /// Returns whether the order under the ticket has an outcome, and which.
    pub fn outcome_status(&self, sequence: u64) -> OutcomeStatus {
        match self.tickets.get(&sequence).map(|ticket| &ticket.state) {
            None => OutcomeStatus::Forgotten,
            Some(TicketState::Done(outcome)) => OutcomeStatus::Known(outcome.clone()),
            Some(TicketState::Issued(Some(refusal))) => OutcomeStatus::NotRun(refusal.clone()),
            Some(TicketState::Issued(None) | TicketState::Running) => OutcomeStatus::Pending,
        }
    }

    /// Removes expired tickets in the order of their issue, up to the first that has not expired or
    /// whose order is running.
    fn expire(&mut self, now: Duration) {
        while let Some(oldest) = self.tickets.first_entry() {
            let age = now.saturating_sub(oldest.get().issued_at);
            if age <= self.limits.age_max || matches!(oldest.get().state, TicketState::Running) {
                break;
            }
            let (sequence, ticket) = oldest.remove_entry();
            self.forget(sequence, &ticket);
        }
    }

    /// Evicts the oldest ticket whose order is not running; returns `false` if there is none.
    fn evict_oldest(&mut self) -> bool {
        let mut tickets = self.tickets.iter();
        let oldest = tickets.find(|(_, ticket)| !matches!(ticket.state, TicketState::Running));
        let Some(sequence) = oldest.map(|(sequence, _)| *sequence) else {
            return false;
        };
        if let Some(ticket) = self.tickets.remove(&sequence) {
            self.forget(sequence, &ticket);
        }
        true
    }

    /// Evicts the oldest unused tickets of a team that has reached its limit.
    fn evict_unused(&mut self, team: &str) {
        while let Some(unused) = self.unused.get(team)
            && unused.len() >= self.limits.unused_per_team_max.max(1)
            && let Some(oldest) = unused.first().copied()
        {
            self.tickets.remove(&oldest);
            self.remove_unused(oldest, team);
        }
    }

    fn remove_unused(&mut self, sequence: u64, team: &str) {
        if let Some(unused) = self.unused.get_mut(team) {
            unused.remove(&sequence);
            if unused.is_empty() {
                self.unused.remove(team);
            }
        }
    }

    /// Updates the index of unused tickets and the total size of the outcomes after a ticket was removed.
    fn forget(&mut self, sequence: u64, ticket: &Ticket) {
        self.remove_unused(sequence, &ticket.team);
        if let TicketState::Done(outcome) = &ticket.state {
            self.outcomes_size_bytes -= outcome_size_bytes(outcome);
        }
    }
}

fn outcome_size_bytes(outcome: &OrderOutcome) -> usize {
    match outcome {
        Ok(body) => body.len(),
        Err(refusal) => refusal.message.len(),
    }
}
