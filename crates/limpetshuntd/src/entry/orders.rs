//! Issues order tickets, runs at most one order under each ticket, and forwards orders to the issuing entry.

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

/// Returns the refusal of an order that may have run and whose outcome this entry does not know.
fn outcome_unknown_refusal(message: impl Into<Box<str>>) -> Refusal {
    Refusal::maybe_run(RefusalCode::OutcomeUnknown, message)
}

/// Hashes an order; a ticket is bound to the hash of the first order that uses the ticket.
fn hash_order(lookup: &str, record_key: &str, body: &[u8]) -> u64 {
    stable_hash_parts(&[lookup.as_bytes(), record_key.as_bytes(), body])
}

/// Waits for an outcome, and returns `outcome_unknown` if there is none after `time_left`. The order runs on.
async fn wait_at_most(
    time_left: Duration,
    outcome_future: impl Future<Output = OrderOutcome>,
) -> OrderOutcome {
    tokio::time::timeout(time_left, outcome_future)
        .await
        .unwrap_or_else(|_| {
            Err(outcome_unknown_refusal(
                "the order runs and has no outcome yet",
            ))
        })
}

impl Entry {
    /// Issues a ticket to a caller that sent an order without one.
    ///
    /// Returns the refusal that carries the ticket, or a refusal with `overloaded` and no ticket if every
    /// ticket in memory belongs to a running order. A ticket costs no rate token: a ticket request costs the
    /// entry no more than a refused request, reaches no target, and evicts only unused tickets of its own
    /// team.
    pub(super) fn issue_ticket(&self, team: &str) -> CallerRefusal {
        let Some(ticket_sequence) = self.tickets().issue(team, self.board.now()) else {
            let message = "every ticket in memory belongs to a running order";
            return Refusal::not_run(RefusalCode::Overloaded, message).into();
        };
        let ticket = TicketId::new(self.board.node, ticket_sequence, team.into());
        CallerRefusal {
            refusal: Refusal::not_run(
                RefusalCode::TicketRequired,
                "send the order again with this ticket",
            ),
            ticket: Some(ticket.to_string().into()),
            is_ticket_history_considered: true,
        }
    }

    /// Clears `not_run` of a refusal if an order may have run under the same ticket before.
    ///
    /// A caller that repeats an order after a lost response could otherwise conclude from the refusal
    /// of the repetition that the order never ran, and place it again with a new ticket.
    pub(super) fn mark_maybe_run_if_ticket_used(
        &self,
        caller_refusal: &mut CallerRefusal,
        ticket: &HeaderValue,
    ) {
        if caller_refusal.is_ticket_history_considered || !caller_refusal.refusal.not_run {
            return;
        }
        let Some(ticket_id) = ticket
            .to_str()
            .ok()
            .and_then(|text| text.parse::<TicketId>().ok())
        else {
            // The header is no valid ticket, so no order ran under it.
            return;
        };
        let is_claimable =
            ticket_id.issuer == self.board.node && self.tickets().is_claimable(ticket_id.sequence);
        if !is_claimable {
            let message = format!(
                "{}; an earlier use of the ticket may have run",
                caller_refusal.refusal.message
            );
            caller_refusal.refusal = Refusal::maybe_run(caller_refusal.refusal.code, message);
        }
    }

    /// Runs an order under its ticket, or forwards it to the entry that issued the ticket.
    pub(super) async fn place_order(
        self: &Arc<Self>,
        request_context: RequestContext,
        lookup: &Lookup,
        ticket: &str,
        query_slot: QuerySlot<'_>,
    ) -> OrderOutcome {
        let invalid_ticket_refusal =
            |message: String| Refusal::not_run(RefusalCode::TicketInvalid, message);
        let ticket_id: TicketId = ticket
            .parse()
            .map_err(|error| invalid_ticket_refusal(format!("{error}")))?;
        if ticket_id.team != request_context.team {
            return Err(invalid_ticket_refusal(
                "the ticket belongs to another team".into(),
            ));
        }
        if ticket_id.issuer == self.board.node {
            return self
                .claim_and_run_order(request_context, lookup, ticket_id.sequence)
                .await;
        }
        // The order waits for a query slot at its issuer. Two entries that each hold their slots while they
        // wait for slots of the other would deadlock until the deadlines.
        drop(query_slot);
        let members = self.board.members.load_full();
        let is_issuer_known = members
            .nodes_with_role(Role::Entry)
            .any(|member| member.record.node == ticket_id.issuer);
        if !is_issuer_known {
            // This check also prevents a forged ticket from making this process connect to any address.
            return Err(outcome_unknown_refusal(
                "the entry that issued the ticket is gone",
            ));
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
            issuer = %ticket_id.issuer,
            "order forwarded to the issuer of its ticket"
        );
        let request_id = request.request_id;
        let request = PeerRequest::ForwardOrder(request);
        match self
            .peer_client
            .call(ticket_id.issuer.addr, &request, time_left)
            .await
        {
            Ok(PeerReply::ForwardOrder(reply)) if reply.request_id == request_id => reply.outcome,
            Ok(_) => Err(outcome_unknown_refusal(
                "the issuer of the ticket replied with another message",
            )),
            // Even if the order was not sent this time, it may have run under the same ticket before.
            Err(error) => Err(outcome_unknown_refusal(format!(
                "the issuer of the ticket is silent: {error}"
            ))),
        }
    }

    /// Runs an order that another entry forwarded because this entry issued its ticket.
    pub async fn run_forwarded_order(
        self: Arc<Self>,
        request: ForwardOrderRequest,
    ) -> ForwardOrderReply {
        let _in_flight_guard = self.track_in_flight();
        let request_id = request.request_id;
        let outcome = self.process_forwarded_order(request).await;
        ForwardOrderReply {
            request_id,
            outcome,
        }
    }

    /// Checks, authorizes and queues a forwarded order like an order of a caller, and runs it. If an order
    /// already runs or ran under the ticket, waits for the outcome of that order instead.
    async fn process_forwarded_order(
        self: &Arc<Self>,
        request: ForwardOrderRequest,
    ) -> OrderOutcome {
        let ticket_id: TicketId = request
            .ticket
            .parse()
            .map_err(|error| Refusal::not_run(RefusalCode::TicketInvalid, format!("{error}")))?;
        if ticket_id.issuer != self.board.node {
            return Err(outcome_unknown_refusal(
                "the entry that issued the ticket is gone",
            ));
        }
        if ticket_id.team != request.team {
            let message = "the ticket belongs to another team";
            return Err(Refusal::not_run(RefusalCode::TicketInvalid, message));
        }
        let deadline = self.board.now() + request.time_left;
        let order_hash = hash_order(&request.lookup, &request.key, &request.body);
        let now = self.board.now();
        let claim = self
            .tickets()
            .peek(ticket_id.sequence, &ticket_id.team, order_hash, now);
        if claim != TicketClaim::Run {
            // The ticket starts no new run. The checks below are skipped, because their "not run" could be
            // wrong for an order that ran before.
            let outcome_future = self.resolve_claim(claim, ticket_id.sequence);
            let time_left = deadline.saturating_sub(RESPONSE_MARGIN).saturating_sub(now);
            return wait_at_most(time_left, outcome_future).await;
        }
        let authorize = |config_in_force: &ConfigInForce| {
            let lookup = find_lookup(&config_in_force.config, &request.lookup)?;
            if lookup.kind != AttemptKind::Order {
                let message = "the lookup places no orders";
                return Err(Refusal::not_run(RefusalCode::Forbidden, message));
            }
            let team = &request.team;
            self.authorize_forwarded(&config_in_force.config, lookup, team)
        };
        let caller = authorize(&*self.require_serving()?)?;
        let _query_slot = self
            .query_slots
            .acquire(&caller.team, caller.weight, deadline)
            .await?;
        // The team may have lost its access while the order was queued.
        let config_in_force = self.require_serving_or_draining()?;
        authorize(&config_in_force)?;
        let lookup = find_lookup(&config_in_force.config, &request.lookup)?;
        let mut request_context = RequestContext::new(
            request.request_id,
            request.team.clone(),
            deadline,
            request.body.clone().into(),
            Arc::clone(&config_in_force),
        );
        request_context.record_key = Some(request.key.clone());
        request_context.ticket = Some(request.ticket.clone());
        self.claim_and_run_order(request_context, lookup, ticket_id.sequence)
            .await
    }

    /// Runs the order unless an order runs or ran under the same ticket, and waits for the outcome until
    /// the answer deadline of the request.
    async fn claim_and_run_order(
        self: &Arc<Self>,
        request_context: RequestContext,
        lookup: &Lookup,
        ticket_sequence: u64,
    ) -> OrderOutcome {
        let record_key = request_context.record_key.as_deref().unwrap_or_default();
        let order_hash = hash_order(&lookup.name, record_key, &request_context.body);
        let now = self.board.now();
        let claim = self
            .tickets()
            .claim(ticket_sequence, &request_context.team, order_hash, now);
        let answer_deadline = request_context.answer_deadline();
        if claim == TicketClaim::Run {
            self.spawn_order(request_context, lookup.clone(), ticket_sequence);
        }
        let time_left = answer_deadline.saturating_sub(self.board.now());
        wait_at_most(time_left, self.resolve_claim(claim, ticket_sequence)).await
    }

    /// Returns the outcome of the order that runs or ran under a ticket, or a refusal that says why there is
    /// none; waits while the order runs.
    async fn resolve_claim(&self, claim: TicketClaim, ticket_sequence: u64) -> OrderOutcome {
        match claim {
            TicketClaim::Run | TicketClaim::InProgress => {
                self.wait_for_outcome(ticket_sequence).await
            }
            TicketClaim::Recorded(outcome) => outcome,
            TicketClaim::Invalid => Err(Refusal::not_run(
                RefusalCode::TicketInvalid,
                "the ticket was not issued for this order",
            )),
            TicketClaim::Forgotten => Err(outcome_unknown_refusal(
                "the ticket is no longer remembered",
            )),
        }
    }

    /// Runs the order in a task of its own, so that its outcome is recorded even if the caller
    /// disconnects.
    fn spawn_order(
        self: &Arc<Self>,
        request_context: RequestContext,
        lookup: Lookup,
        ticket_sequence: u64,
    ) {
        let entry = Arc::clone(self);
        let mut order_tasks = lock(&self.order_tasks);
        // Removes the tasks that have ended, which would otherwise stay in the set until a drain.
        while order_tasks.try_join_next().is_some() {}
        order_tasks.spawn(async move {
            let _in_flight_guard = entry.track_in_flight();
            let outcome = entry.run_order(&request_context, &lookup).await;
            entry.tickets().finish(ticket_sequence, outcome);
            entry.order_finished.notify_waiters();
        });
    }

    /// Runs the order with its dependencies and returns the response document.
    async fn run_order(&self, request_context: &RequestContext, lookup: &Lookup) -> OrderOutcome {
        let config = &request_context.config_in_force.config;
        match lookup_graph::run_with_dependencies(self, request_context, lookup).await {
            Ok(results) => {
                let document =
                    response::lookup_json(request_context.request_id, config, lookup, &results);
                Ok(document.to_string().into_bytes())
            }
            Err(refusal) if refusal.not_run => Err(refusal),
            Err(refusal) => Err(outcome_unknown_refusal(format!(
                "the order may have run: {refusal}"
            ))),
        }
    }

    /// Waits until the order under the ticket has an outcome or the ticket is no longer remembered.
    async fn wait_for_outcome(&self, ticket_sequence: u64) -> OrderOutcome {
        loop {
            let notified = self.order_finished.notified();
            tokio::pin!(notified);
            // Registered before the outcome is read, so that a notification in between is not missed.
            notified.as_mut().enable();
            let outcome_status = self.tickets().outcome_status(ticket_sequence);
            match outcome_status {
                OutcomeStatus::Known(outcome) => return outcome,
                OutcomeStatus::Forgotten => {
                    return Err(outcome_unknown_refusal(
                        "the ticket is no longer remembered",
                    ));
                }
                OutcomeStatus::NotRun(refusal) => return Err(refusal),
                OutcomeStatus::Pending => notified.await,
            }
        }
    }
}
