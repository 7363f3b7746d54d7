//! Checks teams: API keys, rate and burst.

use limpet_fakes::target::ReceivedRequest;

use super::{
    CHANGE_DEADLINE_US, Property, Violation,
    index::{
        Index,
        Request,
        Team, //
    },
};
use crate::history::Change;

const US_PER_S: f64 = 1e6;

pub(super) fn check(index: &Index<'_>, violations: &mut Vec<Violation>) {
    for (id, request) in &index.requests {
        if let Some(key) = request.key {
            check_api_key(index, id, key, request, violations);
        }
    }
    for team in &index.teams {
        check_rate(index, team, violations);
    }
}

/// Returns the events of the targets that ran the request.
fn run_events<'a>(request: &Request<'a>) -> impl Iterator<Item = &'a ReceivedRequest> {
    let events = request.target_events.iter().map(|(_, event)| *event);
    events.filter(|event| event.has_run())
}

fn check_api_key(
    index: &Index<'_>,
    id: &str,
    key: &str,
    request: &Request<'_>,
    violations: &mut Vec<Violation>,
) {
    let is_known = index.teams.iter().any(|team| team.keys.contains(&key));
    let rejected_from_us = index
        .changes
        .iter()
        .find(|(_, change)| matches!(change, Change::KeyRevoked(revoked) if **revoked == *key))
        .map(|(at_us, _)| at_us + CHANGE_DEADLINE_US);
    for event in run_events(request) {
        if !is_known || rejected_from_us.is_some_and(|from_us| event.start_us > from_us) {
            let reason = format!("{id} ran with an invalid API key");
            violations.push(Violation::new(Property::ApiKey, reason));
        }
    }
}

/// Checks the rate over each window that starts with a send and ends with a run.
///
/// A request sent and run within the window was certainly admitted within it.
fn check_rate(index: &Index<'_>, team: &Team<'_>, violations: &mut Vec<Violation>) {
    let mut admitted: Vec<(u64, u64)> = index
        .requests
        .values()
        .filter(|request| request.key.is_some_and(|key| team.keys.contains(&key)))
        .filter_map(|request| Some((request.sent_us, first_run_us(request)?)))
        .collect();
    admitted.sort_unstable();
    for first in 0..admitted.len() {
        let window_start_us = admitted[first].0;
        let mut window_ends_us: Vec<u64> = admitted[first..].iter().map(|(_, end)| *end).collect();
        window_ends_us.sort_unstable();
        for (count, end_us) in window_ends_us.iter().enumerate() {
            let window_s = end_us.saturating_sub(window_start_us) as f64 / US_PER_S;
            let limit = team.burst + team.rate_per_s * window_s;
            if (count + 1) as f64 > limit {
                let reason = format!(
                    "{}: {} requests in {window_s} s, the limit is {limit:.1}",
                    team.name,
                    count + 1
                );
                violations.push(Violation::new(Property::Rate, reason));
                return;
            }
        }
    }
}

/// Returns the start of the first run, by which the request had passed the rate limit.
///
/// A request for a ticket takes no token, so only requests that ran count.
fn first_run_us(request: &Request<'_>) -> Option<u64> {
    run_events(request).map(|event| event.start_us).min()
}
