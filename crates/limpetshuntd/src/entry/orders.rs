//! Orders: tickets, the one run of each, and forwarding to the issuer.

use std::{
    sync::Arc,
    time::Duration, //
};

use http::HeaderValue;
use limpet_config::Lookup;
use limpet_decide::ticket::{
    OutcomeStatus,
    TicketClaim,
    TicketId, //
};
use limpet_types::{
    Refusal, RefusalCode, Role,
    hash::stable_hash_parts,
    message::{
        AttemptKind,
        ForwardOrderReply,
        ForwardOrderRequest,
        OrderOutcome,
        PeerReply,
        PeerRequest, //
    },
};

use crate::{
    blackboard::ConfigInForce,
    entry::{
        call::Call,
        caller::{
            CallerRefusal,
            find_lookup, //
        },
        limits::RESPONSE_MARGIN,
        lookup_graph,
        query_slots::QuerySlot,
        respond,
        state::{
            Entry,
            lock, //
        },
    },
};

fn unknown(message: impl Into<Box<str>>) -> Refusal {
    Refusal::maybe_run(RefusalCode::OutcomeUnknown, message)
}

/// Hash of the order that a ticket is bound to.
fn order_hash(lookup: &str, record: &str, body: &[u8]) -> u64 {
    stable_hash_parts(&[lookup.as_bytes(), record.as_bytes(), body])
}

async fn within(time_left: Duration, outcome: impl Future<Output = OrderOutcome>) -> OrderOutcome {
    tokio::time::timeout(time_left, outcome)
        .await
        .unwrap_or_else(|_| Err(unknown("the order runs and has no outcome yet")))
}

impl Entry {
    /// Issues a ticket to a caller that sent an order without one.
    ///
    /// It costs no rate token. A flood of ticket requests costs the entry as much as one of refused
    /// requests, reaches no target, and displaces only unused tickets of its own team.
    pub(super) fn issue_ticket(&self, team: &str) -> CallerRefusal {
        let Some(sequence) = self.tickets().issue(team, self.board.now()) else {
            let message = "every ticket in memory belongs to a running order";
            return Refusal::not_run(RefusalCode::Overloaded, message).into();
        };
        let ticket = TicketId::new(self.board.node, sequence, team.into());
        CallerRefusal {
            refusal: Refusal::not_run(
                RefusalCode::TicketRequired,
                "send the order again with this ticket",
            ),
            ticket: Some(ticket.to_string().into()),
            knows_ticket: true,
        }
    }

    /// Takes back "not run" from a refusal whose order may have run under the same ticket before.
    ///
    /// A caller that repeats an order after a lost response would otherwise take the refusal of the
    /// repetition for proof that the order never ran, and place it anew.
    pub(super) fn mark_maybe_run_if_ticket_used(
        &self,
        refused: &mut CallerRefusal,
        ticket: &HeaderValue,
    ) {
        if refused.knows_ticket || !refused.refusal.not_run {
            return;
        }
        let Some(id) = ticket
            .to_str()
            .ok()
            .and_then(|t| t.parse::<TicketId>().ok())
        else {
            // Not a ticket, so nothing ran under it.
            return;
        };
        let is_unused = id.issuer == self.board.node && self.tickets().is_unused(id.sequence);
        if !is_unused {
            let message = format!(
                "{}; an earlier use of the ticket may have run",
                refused.refusal.message
            );
            refused.refusal = Refusal::maybe_run(refused.refusal.code, message);
        }
    }

    /// Runs an order under its ticket here, or at the entry that issued the ticket.
    pub(super) async fn place_order(
        self: &Arc<Self>,
        call: Call,
        lookup: &Lookup,
        ticket: &str,
        place: QuerySlot<'_>,
    ) -> OrderOutcome {
        let invalid = |message: String| Refusal::not_run(RefusalCode::TicketInvalid, message);
        let id: TicketId = ticket
            .parse()
            .map_err(|error| invalid(format!("{error}")))?;
        if id.team != call.team {
            return Err(invalid("the ticket belongs to another team".into()));
        }
        if id.issuer == self.board.node {
            return self.run_ticket(call, lookup, id.sequence).await;
        }
        // The order takes a place at its issuer. Two entries that keep places while they wait for
        // places of each other would block each other until the deadlines.
        drop(place);
        let members = self.board.members.load_full();
        let is_known = members
            .iter_role(Role::Entry)
            .any(|member| member.record.node == id.issuer);
        if !is_known {
            // Also keeps a forged ticket from making this process connect to any address.
            return Err(unknown("the entry that issued the ticket is gone"));
        }
        let time_left = call.answers_until().saturating_sub(self.board.now());
        let request = ForwardOrderRequest {
            request_id: call.request_id,
            team: call.team,
            lookup: lookup.name.clone(),
            ticket: ticket.into(),
            key: call.record.unwrap_or_default(),
            time_left,
            body: call.body.to_vec(),
        };
        metrics::counter!("limpet_entry_orders_forwarded").increment(1);
        tracing::info!(
            request_id = %format_args!("{:032x}", request.request_id),
            issuer = %id.issuer,
            "order forwarded to the issuer of its ticket"
        );
        let request_id = request.request_id;
        let request = PeerRequest::ForwardOrder(request);
        match self.peers.call(id.issuer.addr, &request, time_left).await {
            Ok(PeerReply::ForwardOrder(reply)) if reply.request_id == request_id => reply.outcome,
            Ok(_) => Err(unknown(
                "the issuer of the ticket replied with another message",
            )),
            // Even an order that was not sent now may have run under the same ticket before.
            Err(error) => Err(unknown(format!(
                "the issuer of the ticket is silent: {error}"
            ))),
        }
    }

    /// Runs an order that another entry forwarded.
    pub async fn run_forwarded_order(
        self: Arc<Self>,
        request: ForwardOrderRequest,
    ) -> ForwardOrderReply {
        let _in_flight = self.enter();
        let request_id = request.request_id;
        let outcome = self.run_forwarded(request).await;
        ForwardOrderReply {
            request_id,
            outcome,
        }
    }

    async fn run_forwarded(self: &Arc<Self>, request: ForwardOrderRequest) -> OrderOutcome {
        let id: TicketId = request
            .ticket
            .parse()
            .map_err(|error| Refusal::not_run(RefusalCode::TicketInvalid, format!("{error}")))?;
        if id.issuer != self.board.node {
            return Err(unknown("the entry that issued the ticket is gone"));
        }
        if id.team != request.team {
            let message = "the ticket belongs to another team";
            return Err(Refusal::not_run(RefusalCode::TicketInvalid, message));
        }
        let deadline = self.board.now() + request.time_left;
        let order_hash = order_hash(&request.lookup, &request.key, &request.body);
        let now = self.board.now();
        let begin = self.tickets().peek(id.sequence, &id.team, order_hash, now);
        if begin != TicketClaim::Run {
            // Nothing new runs, and "not run" would be untrue of an order that ran before.
            let outcome = self.known_outcome(begin, id.sequence);
            let time_left = deadline.saturating_sub(RESPONSE_MARGIN).saturating_sub(now);
            return within(time_left, outcome).await;
        }
        let authorize = |in_force: &ConfigInForce| {
            let lookup = find_lookup(&in_force.config, &request.lookup)?;
            if lookup.kind != AttemptKind::Order {
                let message = "the lookup places no orders";
                return Err(Refusal::not_run(RefusalCode::Forbidden, message));
            }
            let team = &request.team;
            self.authorize_forwarded(&in_force.config, lookup, team)
        };
        let caller = authorize(&*self.check_serving()?)?;
        let _place = self
            .places
            .acquire(&caller.team, caller.weight, deadline)
            .await?;
        // The team may have lost its right while the order queued.
        let in_force = self.check_serving_admitted()?;
        authorize(&in_force)?;
        let lookup = find_lookup(&in_force.config, &request.lookup)?;
        let mut call = Call::new(
            request.request_id,
            request.team.clone(),
            deadline,
            request.body.clone().into(),
            Arc::clone(&in_force),
        );
        call.record = Some(request.key.clone());
        call.ticket = Some(request.ticket.clone());
        self.run_ticket(call, lookup, id.sequence).await
    }

    async fn run_ticket(
        self: &Arc<Self>,
        call: Call,
        lookup: &Lookup,
        sequence: u64,
    ) -> OrderOutcome {
        let record = call.record.as_deref().unwrap_or_default();
        let order_hash = order_hash(&lookup.name, record, &call.body);
        let now = self.board.now();
        let begin = self.tickets().claim(sequence, &call.team, order_hash, now);
        let answers_until = call.answers_until();
        if begin == TicketClaim::Run {
            self.spawn_order(call, lookup.clone(), sequence);
        }
        let time_left = answers_until.saturating_sub(self.board.now());
        within(time_left, self.known_outcome(begin, sequence)).await
    }

    /// Returns the outcome of an order that runs or ran, or why there is none.
    async fn known_outcome(&self, begin: TicketClaim, sequence: u64) -> OrderOutcome {
        match begin {
            TicketClaim::Run | TicketClaim::InProgress => self.outcome(sequence).await,
            TicketClaim::Recorded(outcome) => outcome,
            TicketClaim::Invalid => Err(Refusal::not_run(
                RefusalCode::TicketInvalid,
                "the ticket was not issued for this order",
            )),
            TicketClaim::Forgotten => Err(unknown("the ticket is no longer remembered")),
        }
    }

    /// Runs the order in its own task: a caller that goes away must not lose the outcome.
    fn spawn_order(self: &Arc<Self>, call: Call, lookup: Lookup, sequence: u64) {
        let entry = Arc::clone(self);
        let mut orders = lock(&self.orders);
        while orders.try_join_next().is_some() {}
        orders.spawn(async move {
            let _in_flight = entry.enter();
            let outcome = entry.run_order(&call, &lookup).await;
            entry.tickets().finish(sequence, outcome);
            entry.ticket_done.notify_waiters();
        });
    }

    async fn run_order(&self, call: &Call, lookup: &Lookup) -> OrderOutcome {
        let config = &call.in_force.config;
        match lookup_graph::run_with_dependencies(self, call, lookup).await {
            Ok(results) => {
                let document = respond::lookup_json(call.request_id, config, lookup, &results);
                Ok(document.to_string().into_bytes())
            }
            Err(refusal) if refusal.not_run => Err(refusal),
            Err(refusal) => Err(unknown(format!("the order may have run: {refusal}"))),
        }
    }

    async fn outcome(&self, sequence: u64) -> OrderOutcome {
        loop {
            let done = self.ticket_done.notified();
            tokio::pin!(done);
            done.as_mut().enable();
            let outcome = self.tickets().outcome(sequence);
            match outcome {
                OutcomeStatus::Known(outcome) => return outcome,
                OutcomeStatus::Forgotten => {
                    return Err(unknown("the ticket is no longer remembered"));
                }
                OutcomeStatus::NotRun(refusal) => return Err(refusal),
                OutcomeStatus::Pending => done.await,
            }
        }
    }
}
