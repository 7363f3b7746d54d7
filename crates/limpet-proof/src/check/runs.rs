//! Checks which requests ran: none that was refused with `not_run`, and each order at most once. Also
//! checks that no response was lost without a fault of the entry.

use std::collections::BTreeSet;

use limpet_fakes::target::ReceivedRequest;
use todc_utils::{
    linearizability::{
        WGLChecker,
        history::{
            Action,
            History, //
        },
    },
    specifications::register::{
        RegisterOperation,
        RegisterSpecification, //
    },
};

use super::{
    Property, Violation,
    index::{
        CallerRequest,
        HistoryIndex, //
    },
};
use crate::history::ProcessChange;

/// Adds a violation for each request that ran although it was refused with `not_run`, for each response lost
/// without a fault of its entry, and for each order that ran twice or has answers that are not linearizable.
pub(super) fn check(index: &HistoryIndex<'_>, violations: &mut Vec<Violation>) {
    let mut checked_tickets = BTreeSet::new();
    for (request_id, request) in &index.requests {
        let has_run = request
            .received_requests
            .iter()
            .any(|(_, received)| received.has_run());
        let is_refused_as_not_run = request.response.is_some_and(|(_, _, body)| body.not_run);
        if is_refused_as_not_run && has_run {
            let reason = format!("{request_id} was refused with not_run, but a target ran it");
            violations.push(Violation::new(Property::NotRun, reason));
        }
        if request
            .lost_response
            .is_some_and(|loss| is_unexplained_loss(index, request, loss))
        {
            let reason = format!(
                "{request_id} got no whole response from {}, which was not killed or paused",
                request.entry
            );
            violations.push(Violation::new(Property::Cut, reason));
        }
        if request.kind == "order"
            && request
                .ticket
                .is_none_or(|ticket| checked_tickets.insert(ticket))
        {
            check_order(index, request_id, violations);
        }
    }
}

/// Returns whether a response was lost on an open connection without a kill or pause of its entry.
///
/// A kill or pause from which the entry had recovered before the request was sent does not count.
fn is_unexplained_loss(
    index: &HistoryIndex<'_>,
    request: &CallerRequest<'_>,
    (at_us, connected): (u64, bool),
) -> bool {
    let entry_changes = || {
        index
            .process_changes
            .iter()
            .filter(|(_, process, _)| *process == request.entry)
    };
    let is_recovered = |fault_us: u64| {
        entry_changes().any(|(recovery_us, _, change)| {
            let is_recovery = matches!(change, ProcessChange::Start | ProcessChange::Wake);
            is_recovery && fault_us < *recovery_us && *recovery_us <= request.sent_us
        })
    };
    let is_entry_faulty = entry_changes().any(|(fault_us, _, change)| {
        let is_fault = matches!(change, ProcessChange::Kill | ProcessChange::Freeze);
        is_fault && *fault_us <= at_us && !is_recovered(*fault_us)
    });
    connected && !is_entry_faulty
}

/// Checks that an order ran at most once and that its answers are linearizable.
///
/// The order consists of all requests with the ticket of `request_id`.
fn check_order<'a>(index: &HistoryIndex<'a>, request_id: &'a str, violations: &mut Vec<Violation>) {
    let order_requests: Vec<_> = index
        .ids_with_same_ticket(request_id)
        .into_iter()
        .filter_map(|id| Some((id, index.requests.get(id)?)))
        .collect();
    let runs: Vec<&ReceivedRequest> = order_requests
        .iter()
        .flat_map(|(_, request)| &request.received_requests)
        .filter(|(_, received)| received.has_run() && &*received.kind == "order")
        .map(|(_, received)| *received)
        .collect();
    if runs.len() > 1 {
        let reason = format!("the order {request_id} ran {} times", runs.len());
        violations.push(Violation::new(Property::OrderOnce, reason));
    }
    // The order is modelled as a register: a run writes the ID of its request, and an answer reads it. Each
    // run and each answer is a process of its own to the checker.
    let mut actions = Vec::new();
    for (process_index, run) in runs.iter().enumerate() {
        let write = RegisterOperation::Write(String::from(&*run.request));
        actions.push((run.start_us, process_index, Action::Call(write.clone())));
        let end_us = run.end_us.unwrap_or(u64::MAX);
        actions.push((end_us, process_index, Action::Response(write)));
    }
    for (request_index, (_, request)) in order_requests.iter().enumerate() {
        let Some((at_us, 200, answer)) = request.response else {
            continue;
        };
        let process_index = runs.len() + request_index;
        let read = RegisterOperation::Read(Some(String::from(&*answer.request_id)));
        actions.push((request.sent_us, process_index, Action::Call(read.clone())));
        actions.push((at_us, process_index, Action::Response(read)));
    }
    actions.sort_by_key(|(at_us, ..)| *at_us);
    if actions.is_empty() {
        return;
    }
    let actions = actions
        .into_iter()
        .map(|(_, process_index, action)| (process_index, action));
    let history = History::from_actions(actions.collect());
    if !WGLChecker::<RegisterSpecification<String>>::is_linearizable(history) {
        let reason = format!("the answers to the order {request_id} are not linearizable");
        violations.push(Violation::new(Property::OrderRegister, reason));
    }
}
