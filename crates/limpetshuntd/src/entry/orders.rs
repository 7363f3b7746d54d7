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
        handler::{
            CallerRefusal,
            find_lookup, //
        },
        limits::RESPONSE_MARGIN,
        lookup_graph,
        query_slots::QuerySlot,
        request_context::RequestContext,
        response,
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
            is_ticket_history_considered: true,
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
        if refused.is_ticket_history_considered || !refused.refusal.not_run {
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
        request_context: RequestContext,
        lookup: &Lookup,
        ticket: &str,
        place: QuerySlot<'_>,
    ) -> OrderOutcome {
        let invalid = |message: String| Refusal::not_run(RefusalCode::TicketInvalid, message);
        let id: TicketId = ticket
            .parse()
            .map_err(|error| invalid(format!("{error}")))?;
        if id.team != request_context.team {
            return Err(invalid("the ticket belongs to another team".into()));
        }
        if id.issuer == self.board.node {
            return self.run_ticket(request_context, lookup, id.sequence).await;
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
        let time_left = request_context
            .answer_deadline()
            .saturating_sub(self.board.now());
        let request = ForwardOrderRequest {
            request_id: request_context.request_id,
            team: request_context.team,
            lookup: lookup.name.clone(),
            ticket: ticket.into(),
            key: request_context.record_key.unwrap_or_default(),
            time_left,
            body: request_context.body.to_vec(),
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
        let _in_flight = self.track_in_flight();
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
        let caller = authorize(&*self.require_serving()?)?;
        let _place = self
            .query_slots
            .acquire(&caller.team, caller.weight, deadline)
            .await?;
        // The team may have lost its right while the order queued.
        let in_force = self.require_serving_or_draining()?;
        authorize(&in_force)?;
        let lookup = find_lookup(&in_force.config, &request.lookup)?;
        let mut request_context = RequestContext::new(
            request.request_id,
            request.team.clone(),
            deadline,
            request.body.clone().into(),
            Arc::clone(&in_force),
        );
        request_context.record_key = Some(request.key.clone());
        request_context.ticket = Some(request.ticket.clone());
        self.run_ticket(request_context, lookup, id.sequence).await
    }

    async fn run_ticket(
        self: &Arc<Self>,
        request_context: RequestContext,
        lookup: &Lookup,
        sequence: u64,
    ) -> OrderOutcome {
        let record = request_context.record_key.as_deref().unwrap_or_default();
        let order_hash = order_hash(&lookup.name, record, &request_context.body);
        let now = self.board.now();
        let begin = self
            .tickets()
            .claim(sequence, &request_context.team, order_hash, now);
        let answer_deadline = request_context.answer_deadline();
        if begin == TicketClaim::Run {
            self.spawn_order(request_context, lookup.clone(), sequence);
        }
        let time_left = answer_deadline.saturating_sub(self.board.now());
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
    fn spawn_order(
        self: &Arc<Self>,
        request_context: RequestContext,
        lookup: Lookup,
        sequence: u64,
    ) {
        let entry = Arc::clone(self);
        let mut orders = lock(&self.order_tasks);
        while orders.try_join_next().is_some() {}
        orders.spawn(async move {
            let _in_flight = entry.track_in_flight();
            let outcome = entry.run_order(&request_context, &lookup).await;
            entry.tickets().finish(sequence, outcome);
            entry.order_finished.notify_waiters();
        });
    }

    async fn run_order(&self, request_context: &RequestContext, lookup: &Lookup) -> OrderOutcome {
        let config = &request_context.config_in_force.config;
        match lookup_graph::run_with_dependencies(self, request_context, lookup).await {
            Ok(results) => {
                let document =
                    response::lookup_json(request_context.request_id, config, lookup, &results);
                Ok(document.to_string().into_bytes())
            }
            Err(refusal) if refusal.not_run => Err(refusal),
            Err(refusal) => Err(unknown(format!("the order may have run: {refusal}"))),
        }
    }

    async fn outcome(&self, sequence: u64) -> OrderOutcome {
        loop {
            let done = self.order_finished.notified();
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
