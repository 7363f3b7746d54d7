//! Guards against two orders that run under one ticket and against unbounded memory use of tickets
//! and outcomes.

use std::{
    collections::HashMap,
    time::Duration, //
};

use limpet_decide::ticket::{
    TicketClaim,
    TicketId,
    TicketLimits,
    TicketTable, //
};
use limpet_types::{
    Refusal,
    RefusalCode, //
};
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

fn table(tickets_max: usize, outcomes_size_max_bytes: usize) -> TicketTable {
    TicketTable::new(TicketLimits {
        tickets_max,
        unused_per_team_max: tickets_max,
        outcomes_size_max_bytes,
        age_max: Duration::from_secs(1),
    })
}

#[test]
fn a_ticket_runs_once_and_repeats_its_outcome() {
    let mut table = table(10, 1000);
    let ticket = table.issue("t", MS).unwrap();
    assert_eq!(table.claim(ticket, "other", 1, MS), TicketClaim::Invalid);
    assert_eq!(table.claim(ticket + 1, "t", 1, MS), TicketClaim::Invalid);
    assert_eq!(table.claim(ticket, "t", 1, MS), TicketClaim::Run);
    assert_eq!(table.claim(ticket, "t", 1, MS), TicketClaim::InProgress);
    assert_eq!(table.claim(ticket, "t", 2, MS), TicketClaim::Invalid);
    table.finish(ticket, Ok(vec![1]));
    assert_eq!(
        table.claim(ticket, "t", 1, MS),
        TicketClaim::Recorded(Ok(vec![1]))
    );
}

#[test]
fn a_ticket_can_be_used_again_after_an_order_that_did_not_run() {
    let mut table = table(10, 1000);
    let ticket = table.issue("t", MS).unwrap();
    assert_eq!(table.claim(ticket, "t", 1, MS), TicketClaim::Run);
    table.finish(ticket, Err(Refusal::not_run(RefusalCode::NoTarget, "")));
    assert_eq!(table.claim(ticket, "t", 1, MS), TicketClaim::Run);
    let unknown = Err(Refusal::maybe_run(RefusalCode::OutcomeUnknown, ""));
    table.finish(ticket, unknown.clone());
    assert_eq!(
        table.claim(ticket, "t", 1, MS),
        TicketClaim::Recorded(unknown)
    );
}

#[test]
fn a_flood_of_unused_tickets_evicts_only_those_of_its_team() {
    let mut table = TicketTable::new(TicketLimits {
        unused_per_team_max: 3,
        ..TicketLimits::default()
    });
    let quiet = table.issue("quiet", MS).unwrap();
    let used = table.issue("loud", MS).unwrap();
    assert_eq!(table.claim(used, "loud", 1, MS), TicketClaim::Run);
    table.finish(used, Ok(vec![1]));
    let flood: Vec<u64> = (0..100).map(|_| table.issue("loud", MS).unwrap()).collect();
    assert_eq!(table.len(), 5, "the memory of one team is not bounded");
    assert_eq!(table.claim(flood[0], "loud", 1, MS), TicketClaim::Forgotten);
    assert_eq!(table.claim(flood[99], "loud", 1, MS), TicketClaim::Run);
    assert_eq!(table.claim(quiet, "quiet", 1, MS), TicketClaim::Run);
    let recorded = table.claim(used, "loud", 1, MS);
    assert_eq!(recorded, TicketClaim::Recorded(Ok(vec![1])));
}

#[test]
fn peeking_at_a_ticket_does_not_claim_it() {
    let mut table = table(10, 1000);
    let ticket = table.issue("t", MS).unwrap();
    assert_eq!(table.peek(ticket, "t", 1, MS), TicketClaim::Run);
    assert_eq!(table.claim(ticket, "t", 2, MS), TicketClaim::Run);
    assert_eq!(table.peek(ticket, "t", 1, MS), TicketClaim::Invalid);
    assert_eq!(table.peek(ticket, "t", 2, MS), TicketClaim::InProgress);
}

#[test]
fn a_forgotten_ticket_cannot_be_claimed() {
    let mut table = table(2, 1000);
    let first = table.issue("t", MS).unwrap();
    table.issue("t", MS).unwrap();
    table.issue("t", MS).unwrap();
    assert_eq!(table.claim(first, "t", 1, MS), TicketClaim::Forgotten);
    let after_expiry = MS * 2000;
    let expired = table.issue("t", MS).unwrap();
    assert_eq!(
        table.claim(expired, "t", 1, after_expiry),
        TicketClaim::Forgotten
    );
}

#[test]
fn tickets_of_running_orders_are_not_evicted() {
    let mut table = table(1, 1000);
    let first = table.issue("t", MS).unwrap();
    assert_eq!(table.claim(first, "t", 1, MS), TicketClaim::Run);
    assert_eq!(table.issue("t", MS * 5000), None);
}

proptest! {
    #[test]
    fn a_ticket_id_is_parsed_from_its_own_text(
        sequence: u64,
        incarnation: u64,
        port: u16,
        team in "[a-z/ é]{1,20}",
    ) {
        let issuer = limpet_types::NodeId::new(([10, 0, 0, 1], port).into(), incarnation);
        let id = TicketId::new(issuer, sequence, team.into());
        prop_assert_eq!(id.to_string().parse::<TicketId>(), Ok(id));
    }

    #[test]
    fn the_parser_does_not_panic(text in ".{0,60}") {
        let _ = text.parse::<TicketId>();
    }

    /// No ticket completes two runs, in whatever order tickets are issued, claimed, finished and
    /// evicted.
    #[test]
    fn at_most_one_run_of_a_ticket_ends_in_an_outcome(
        steps in prop::collection::vec((0..4u8, 0..8u64, 0..400u64), 1..300),
    ) {
        let mut table = table(4, 20);
        let mut now = MS;
        // Whether the run of each claimed ticket has ended.
        let mut run_has_ended: HashMap<u64, bool> = HashMap::new();
        for (step, ticket, advance) in steps {
            now += MS * advance as u32;
            match step {
                0 => drop(table.issue("t", now)),
                1 => if table.claim(ticket, "t", 1, now) == TicketClaim::Run {
                    let previous = run_has_ended.insert(ticket, false);
                    prop_assert!(previous.is_none(), "ticket {} was claimed twice", ticket);
                },
                2 => if let Some(is_ended @ false) = run_has_ended.get_mut(&ticket) {
                    *is_ended = true;
                    table.finish(ticket, Ok(vec![0; 8]));
                },
                _ => if run_has_ended.get(&ticket) == Some(&false) {
                    run_has_ended.remove(&ticket);
                    table.finish(ticket, Err(Refusal::not_run(RefusalCode::NoTarget, "")));
                },
            }
            prop_assert!(table.len() <= 4);
        }
    }
}
