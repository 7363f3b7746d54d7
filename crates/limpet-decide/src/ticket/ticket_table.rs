//! Tickets of one entry incarnation and what became of them.

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

/// Bounds of the memory for tickets.
#[derive(Clone, Copy, Debug)]
pub struct TicketLimits {
    /// Tickets remembered.
    pub tickets_max: usize,
    /// Tickets of one team that no order has used; one more replaces the oldest of them.
    ///
    /// A ticket costs no rate token, so this keeps a team that only asks for tickets from
    /// displacing those of other teams.
    pub unused_per_team_max: usize,
    /// Sum of the recorded outcomes.
    pub outcomes_size_max_bytes: usize,
    /// Time after which a ticket is forgotten.
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
enum State {
    /// Unused, or used by an order that certainly did not run.
    Issued(Option<Refusal>),
    Running,
    Done(OrderOutcome),
}

#[derive(Debug)]
struct Ticket {
    team: TeamName,
    issued_at: Duration,
    /// Hash of the order that used the ticket.
    order_hash: Option<u64>,
    state: State,
}

/// What a caller with a ticket gets.
#[derive(Clone, Debug, PartialEq)]
pub enum TicketClaim {
    /// Run the order; [`TicketTable::finish`] must follow.
    Run,
    /// The order runs already: wait for its outcome.
    InProgress,
    /// The order ran: this is its outcome.
    Recorded(OrderOutcome),
    /// The ticket was never issued, is of another team, or was used for another order: not run now.
    Invalid,
    /// The ticket is forgotten and the order may have run: never run it now.
    Forgotten,
}

/// Outcome that is looked up while another caller runs the order.
#[derive(Clone, Debug, PartialEq)]
pub enum OutcomeStatus {
    /// Not known yet.
    Pending,
    /// Recorded.
    Known(OrderOutcome),
    /// The order did not run and its ticket can be used again.
    NotRun(Refusal),
    /// Forgotten.
    Forgotten,
}

/// Tickets of one entry incarnation.
///
/// A forgotten ticket (evicted or expired) is never run again, because nothing tells an unused one
/// from one whose order ran: its refusal is `outcome_unknown`.
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
    /// Creates the table of a new incarnation.
    pub fn new(limits: TicketLimits) -> Self {
        Self {
            limits,
            next_sequence: 0,
            outcomes_size_bytes: 0,
            tickets: BTreeMap::new(),
            unused: HashMap::new(),
        }
    }

    /// Returns the number of tickets remembered.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Issues a ticket; `None` if the memory is full of running orders.
    pub fn issue(&mut self, team: &str, now: Duration) -> Option<u64> {
        self.expire(now);
        self.make_room_for(team);
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
            state: State::Issued(None),
        };
        self.tickets.insert(sequence, ticket);
        let unused = self.unused.entry(team.into()).or_default();
        unused.insert(sequence);
        Some(sequence)
    }

    /// Returns whether no order has run under the ticket and none is running.
    pub fn is_unused(&self, sequence: u64) -> bool {
        let ticket = self.tickets.get(&sequence);
        ticket.is_some_and(|ticket| matches!(ticket.state, State::Issued(_)))
    }

    /// Returns what [`TicketTable::claim`] would, without claiming the ticket.
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
            State::Issued(_) => TicketClaim::Run,
            State::Running => TicketClaim::InProgress,
            State::Done(outcome) => TicketClaim::Recorded(outcome.clone()),
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
        let begin = self.peek(sequence, team, order_hash, now);
        if begin == TicketClaim::Run
            && let Some(ticket) = self.tickets.get_mut(&sequence)
        {
            ticket.order_hash = Some(order_hash);
            ticket.state = State::Running;
            self.note_used(sequence, team);
        }
        begin
    }

    /// Records the outcome of a running order.
    ///
    /// An order that certainly did not run gives the ticket back, so that the caller can use it again.
    pub fn finish(&mut self, sequence: u64, outcome: OrderOutcome) {
        let Some(ticket) = self.tickets.get_mut(&sequence) else {
            return;
        };
        if !matches!(ticket.state, State::Running) {
            return;
        }
        if let Err(refusal) = &outcome
            && refusal.not_run
        {
            ticket.state = State::Issued(Some(refusal.clone()));
            return;
        }
        self.outcomes_size_bytes += size_bytes(&outcome);
        ticket.state = State::Done(outcome);
        while self.outcomes_size_bytes > self.limits.outcomes_size_max_bytes {
            if !self.evict_oldest() {
                break;
            }
        }
    }

    /// Returns the outcome of an order that another caller runs.
    pub fn outcome(&self, sequence: u64) -> OutcomeStatus {
        match self.tickets.get(&sequence).map(|ticket| &ticket.state) {
            None => OutcomeStatus::Forgotten,
            Some(State::Done(outcome)) => OutcomeStatus::Known(outcome.clone()),
            Some(State::Issued(Some(refusal))) => OutcomeStatus::NotRun(refusal.clone()),
            Some(State::Issued(None) | State::Running) => OutcomeStatus::Pending,
        }
    }

    fn expire(&mut self, now: Duration) {
        while let Some(first) = self.tickets.first_entry() {
            let age = now.saturating_sub(first.get().issued_at);
            if age <= self.limits.age_max || matches!(first.get().state, State::Running) {
                break;
            }
            let (sequence, ticket) = first.remove_entry();
            self.forget(sequence, &ticket);
        }
    }

    fn evict_oldest(&mut self) -> bool {
        let mut tickets = self.tickets.iter();
        let oldest = tickets.find(|(_, ticket)| !matches!(ticket.state, State::Running));
        let Some(sequence) = oldest.map(|(sequence, _)| *sequence) else {
            return false;
        };
        if let Some(ticket) = self.tickets.remove(&sequence) {
            self.forget(sequence, &ticket);
        }
        true
    }

    /// Forgets the oldest unused tickets of a team that has as many as it may.
    fn make_room_for(&mut self, team: &str) {
        while let Some(unused) = self.unused.get(team)
            && unused.len() >= self.limits.unused_per_team_max.max(1)
            && let Some(oldest) = unused.first().copied()
        {
            self.tickets.remove(&oldest);
            self.note_used(oldest, team);
        }
    }

    fn note_used(&mut self, sequence: u64, team: &str) {
        if let Some(unused) = self.unused.get_mut(team) {
            unused.remove(&sequence);
            if unused.is_empty() {
                self.unused.remove(team);
            }
        }
    }

    fn forget(&mut self, sequence: u64, ticket: &Ticket) {
        self.note_used(sequence, &ticket.team);
        if let State::Done(outcome) = &ticket.state {
            self.outcomes_size_bytes -= size_bytes(outcome);
        }
    }
}

fn size_bytes(outcome: &OrderOutcome) -> usize {
    match outcome {
        Ok(body) => body.len(),
        Err(refusal) => refusal.message.len(),
    }
}
