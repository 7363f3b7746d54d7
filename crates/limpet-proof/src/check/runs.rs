//! Runs: refusals, orders, cut requests.

use std::collections::BTreeSet;

use limpet_fakes::target::Event;
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
        Index,
        Request, //
    },
};
use crate::history::ProcessChange;

pub(super) fn check(index: &Index<'_>, found: &mut Vec<Violation>) {
    let mut tickets = BTreeSet::new();
    for (id, request) in &index.requests {
        let is_run = request.seen.iter().any(|(_, event)| event.ran());
        let is_refused = request.answer.is_some_and(|(_, _, answer)| answer.not_run);
        if is_refused && is_run {
            let reason = format!("{id} was refused as not run and ran");
            found.push(Violation::new(Property::NotRun, reason));
        }
        if request
            .lost
            .is_some_and(|lost| is_cut(index, request, lost))
        {
            let reason = format!("{id} got no whole answer from {}", request.entry);
            found.push(Violation::new(Property::Cut, reason));
        }
        if request.kind == "order" && request.ticket.is_none_or(|ticket| tickets.insert(ticket)) {
            order(index, id, found);
        }
    }
}

/// Returns whether a lost answer has no kill or freeze of its entry as its cause.
fn is_cut(index: &Index<'_>, request: &Request<'_>, (at_us, connected): (u64, bool)) -> bool {
    let of_entry = || {
        index
            .processes
            .iter()
            .filter(|(_, process, _)| *process == request.entry)
    };
    let is_over = |fault_us: u64| {
        of_entry().any(|(back_us, _, change)| {
            let is_back = matches!(change, ProcessChange::Start | ProcessChange::Wake);
            is_back && fault_us < *back_us && *back_us <= request.sent_us
        })
    };
    let is_disturbed = of_entry().any(|(fault_us, _, change)| {
        let is_fault = matches!(change, ProcessChange::Kill | ProcessChange::Freeze);
        is_fault && *fault_us <= at_us && !is_over(*fault_us)
    });
    connected && !is_disturbed
}

fn order<'a>(index: &Index<'a>, id: &'a str, found: &mut Vec<Violation>) {
    let sent: Vec<_> = index
        .same_order(id)
        .into_iter()
        .filter_map(|id| Some((id, index.requests.get(id)?)))
        .collect();
    let runs: Vec<&Event> = sent
        .iter()
        .flat_map(|(_, request)| &request.seen)
        .filter(|(_, event)| event.ran() && &*event.kind == "order")
        .map(|(_, event)| *event)
        .collect();
    if runs.len() > 1 {
        let reason = format!("{id} ran {} times", runs.len());
        found.push(Violation::new(Property::OrderOnce, reason));
    }
    // A run writes the id of its request; an answer reads it.
    let mut steps = Vec::new();
    for (process, run) in runs.iter().enumerate() {
        let write = RegisterOperation::Write(String::from(&*run.request));
        steps.push((run.start_us, process, Action::Call(write.clone())));
        let end_us = run.end_us.unwrap_or(u64::MAX);
        steps.push((end_us, process, Action::Response(write)));
    }
    for (place, (_, request)) in sent.iter().enumerate() {
        let Some((at_us, 200, answer)) = request.answer else {
            continue;
        };
        let process = runs.len() + place;
        let read = RegisterOperation::Read(Some(String::from(&*answer.request_id)));
        steps.push((request.sent_us, process, Action::Call(read.clone())));
        steps.push((at_us, process, Action::Response(read)));
    }
    steps.sort_by_key(|(at_us, ..)| *at_us);
    if steps.is_empty() {
        return;
    }
    let steps = steps
        .into_iter()
        .map(|(_, process, action)| (process, action));
    let history = History::from_actions(steps.collect());
    if !WGLChecker::<RegisterSpecification<String>>::is_linearizable(history) {
        let reason = format!("the answers to {id} are those of no single register");
        found.push(Violation::new(Property::OrderRegister, reason));
    }
}
