//! Rules for teams. Keys are named by their position only.

use std::collections::HashMap;

use limpet_types::deployment::{
    Config,
    Team, //
};

use super::{
    Finding,
    FindingKind,
    Place,
    check::check_names, //
};

/// Checks all teams.
pub(super) fn check_teams(config: &Config, findings: &mut Vec<Finding>) {
    let Some(teams) = &config.teams else {
        return;
    };
    check_names(teams.iter().map(|team| &*team.name), Place::team, findings);
    check_keys(teams, findings);
    let needs_keys = config.routes.iter().any(|route| !route.is_public);
    if needs_keys && teams.iter().all(|team| team.api_keys.is_empty()) {
        let text = "no team has an API key: only public routes can be used";
        findings.push(Finding::new(FindingKind::NoKeys, Place::Config, text));
    }
    for (index, team) in teams.iter().enumerate() {
        let mut add = |kind, text: String| {
            findings.push(Finding::new(kind, Place::team(index, &team.name), text));
        };
        if team.api_keys.is_empty() {
            let text = "never matches: the team has no API keys";
            add(FindingKind::TeamWithoutKeys, text.into());
        }
        check_rate(team, &mut add);
    }
}

/// Reports keys that are empty or equal to an earlier one.
fn check_keys(teams: &[Team], findings: &mut Vec<Finding>) {
    let mut first_places: HashMap<&str, (usize, usize)> = HashMap::new();
    for (team_index, team) in teams.iter().enumerate() {
        for (key_index, key) in team.api_keys.iter().enumerate() {
            let mut add = |kind, text: String| {
                let place = Place::team(team_index, &team.name);
                findings.push(Finding::new(kind, place, text));
            };
            let key_number = key_index + 1;
            if key.is_empty() {
                let text = format!("API key {key_number} is empty");
                add(FindingKind::EmptyKey, text);
            }
            let here = (team_index, key_index);
            let first = *first_places.entry(key).or_insert(here);
            if first != here {
                let first_team = Place::team(first.0, &teams[first.0].name);
                let first_number = first.1 + 1;
                let text =
                    format!("API key {key_number} is also API key {first_number} of {first_team}");
                add(FindingKind::DuplicateKey, text);
            }
        }
    }
}

/// Checks the rate limit of a team.
fn check_rate(team: &Team, add: &mut impl FnMut(FindingKind, String)) {
    let Team {
        rate_per_s, burst, ..
    } = *team;
    let is_invalid = |value: f64| !value.is_finite() || value < 0.0;
    if is_invalid(rate_per_s) {
        let text = format!("the rate {rate_per_s} is not a finite number from 0");
        add(FindingKind::InvalidRate, text);
    }
    if is_invalid(burst) {
        let text = format!("the burst {burst} is not a finite number from 0");
        add(FindingKind::InvalidRate, text);
    } else if rate_per_s > 0.0 && burst < 1.0 {
        let text =
            format!("a rate of {rate_per_s} per second with a burst of {burst}, below one request");
        add(FindingKind::BurstBelowOne, text);
    } else if rate_per_s == 0.0 && burst > 0.0 {
        let text = format!("a burst of {burst} without a rate limits nothing");
        add(FindingKind::BurstWithoutRate, text);
    }
}
