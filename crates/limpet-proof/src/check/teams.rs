//! Checks teams: API keys, and rates with their bursts.

use limpet_fakes::target::ReceivedRequest;

use super::{
    CHANGE_DEADLINE_US, Property, Violation,
    index::{
        CallerRequest,
        ConfiguredTeam,
        HistoryIndex, //
    },
};
use crate::history::ConfigChange;

/// Microseconds per second.
const US_PER_S: f64 = 1e6;

/// Adds a violation for each run with an invalid API key and for each team over its rate.
pub(super) fn check(index: &HistoryIndex<'_>, violations: &mut Vec<Violation>) {
    for (request_id, request) in &index.requests {
        if let Some(key) = request.key {
            check_api_key(index, request_id, key, request, violations);
        }
    }
    for team in &index.teams {
        check_rate(index, team, violations);
    }
}

/// Returns the runs of a request: each request that a target received for it and ran.
fn find_runs<'a>(request: &CallerRequest<'a>) -> impl Iterator<Item = &'a ReceivedRequest> {
    let received_requests = request
        .received_requests
        .iter()
        .map(|(_, received)| *received);
    received_requests.filter(|received| received.has_run())
}

/// Checks that no request runs with an unknown key, or with one that was revoked more than
/// [`CHANGE_DEADLINE_US`] before.
fn check_api_key(
    index: &HistoryIndex<'_>,
    request_id: &str,
    key: &str,
    request: &CallerRequest<'_>,
    violations: &mut Vec<Violation>,
) {
    let is_known = index.teams.iter().any(|team| team.keys.contains(&key));
    let rejected_from_us = index
        .config_changes
        .iter()
        .find(
            |(_, change)| matches!(change, ConfigChange::KeyRevoked(revoked) if **revoked == *key),
        )
        .map(|(at_us, _)| at_us + CHANGE_DEADLINE_US);
    for run in find_runs(request) {
        if !is_known || rejected_from_us.is_some_and(|from_us| run.start_us > from_us) {
            let reason = format!("{request_id} ran with an invalid API key");
            violations.push(Violation::new(Property::ApiKey, reason));
        }
    }
}

/// Checks the rate over each window that starts when a request is sent and ends when one runs.
///
/// A request that was sent and ran within the window was certainly admitted within it.
fn check_rate(
    index: &HistoryIndex<'_>,
    team: &ConfiguredTeam<'_>,
    violations: &mut Vec<Violation>,
) {
    // Times at which each admitted request was sent and first ran.
    let mut admitted: Vec<(u64, u64)> = index
        .requests
        .values()
        .filter(|request| request.key.is_some_and(|key| team.keys.contains(&key)))
        .filter_map(|request| Some((request.sent_us, first_run_us(request)?)))
        .collect();
    admitted.sort_unstable();
    for first_index in 0..admitted.len() {
        let window_start_us = admitted[first_index].0;
        let mut window_ends_us: Vec<u64> = admitted[first_index..]
            .iter()
            .map(|(_, run_us)| *run_us)
            .collect();
        window_ends_us.sort_unstable();
        for (end_index, end_us) in window_ends_us.iter().enumerate() {
            let window_s = end_us.saturating_sub(window_start_us) as f64 / US_PER_S;
            let limit = team.burst + team.rate_per_s * window_s;
            if (end_index + 1) as f64 > limit {
                let reason = format!(
                    "{}: {} requests in {window_s} s, the limit is {limit:.1}",
                    team.name,
                    end_index + 1
                );
                violations.push(Violation::new(Property::Rate, reason));
                return;
            }
        }
    }
}

/// Returns the start of the first run; the request had passed the rate limit by then.
///
/// Returns `None` for a request that did not run: it may have used no token of the rate limit, such as
/// an order that was only issued a ticket.
fn first_run_us(request: &CallerRequest<'_>) -> Option<u64> {
    find_runs(request).map(|run| run.start_us).min()
}
