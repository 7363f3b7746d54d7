//! Rules for routes.

use std::collections::{
    BTreeSet,
    HashMap, //
};

use limpet_types::deployment::{
    Config,
    Destination,
    Route,
    ScatterGather,
    WeightedService, //
};

use super::{
    Finding,
    FindingKind,
    KnownTargets,
    Place,
    check::check_names, //
};
use crate::gather::Parts;

/// Checks all routes.
pub(super) fn check_routes(
    config: &Config,
    known_targets: Option<&KnownTargets>,
    findings: &mut Vec<Finding>,
) {
    let names = config.routes.iter().map(|route| &*route.name);
    check_names(names, Place::route, findings);
    check_shadowed_routes(&config.routes, findings);
    let service_names: BTreeSet<&str> = config
        .services
        .iter()
        .map(|service| &*service.name)
        .collect();
    for (index, route) in config.routes.iter().enumerate() {
        let mut add = |kind, text: String| {
            findings.push(Finding::new(kind, Place::route(index, &route.name), text));
        };
        check_match(route, &mut add);
        check_limits(route, &mut add);
        match &route.destination {
            Destination::Split(split) => check_split(split, &mut add),
            Destination::ScatterGather(gather) => check_gather(gather, &mut add),
        }
        for service in services_of(route) {
            if !service_names.contains(service) {
                add(
                    FindingKind::UnknownService,
                    format!("there is no service {service:?}"),
                );
            } else if let Some(known_targets) = known_targets {
                let target_count = known_targets.get(service).copied().unwrap_or(0);
                if target_count < route.attempts_max as usize {
                    let attempts_max = route.attempts_max;
                    add(
                        FindingKind::MoreAttemptsThanTargets,
                        format!(
                            "{attempts_max} attempts, but targets of service {service:?}: {target_count}"
                        ),
                    );
                }
            }
        }
    }
}

/// Returns the names of the services that a route uses, each once.
pub(super) fn services_of(route: &Route) -> BTreeSet<&str> {
    match &route.destination {
        Destination::Split(split) => split.iter().map(|entry| &*entry.service).collect(),
        Destination::ScatterGather(gather) => gather.shards.iter().map(|shard| &**shard).collect(),
    }
}

/// Reports routes that an earlier one with the same host and prefix hides.
fn check_shadowed_routes(routes: &[Route], findings: &mut Vec<Finding>) {
    let mut first_indexes: HashMap<(String, &str), usize> = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        let key = (normalize_host(&route.host), &*route.prefix);
        let first_index = *first_indexes.entry(key).or_insert(index);
        if first_index != index {
            let first = Place::route(first_index, &routes[first_index].name);
            findings.push(Finding::new(
                FindingKind::ShadowedRoute,
                Place::route(index, &route.name),
                format!("never matches: {first} has the same host and prefix"),
            ));
        }
    }
}

/// Returns a host as the gateway compares it: in lower case and without its port.
pub(super) fn normalize_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}

/// Checks the host and the prefix.
fn check_match(route: &Route, add: &mut impl FnMut(FindingKind, String)) {
    if normalize_host(&route.host).is_empty() {
        add(FindingKind::EmptyHost, "the host is empty".into());
    }
    let prefix = &route.prefix;
    if prefix.is_empty() {
        add(FindingKind::EmptyPrefix, "the prefix is empty".into());
    } else if !prefix.starts_with('/') {
        let text = format!("never matches: prefix {prefix:?} does not begin with a slash");
        add(FindingKind::UnmatchablePrefix, text);
    } else if !prefix.ends_with('/') {
        let text = format!("prefix {prefix:?} does not end with a slash and matches longer names");
        add(FindingKind::OpenPrefix, text);
    }
}

/// Checks the times and the number of attempts.
fn check_limits(route: &Route, add: &mut impl FnMut(FindingKind, String)) {
    if route.attempts_max == 0 {
        let text = "the maximum number of attempts is 0";
        add(FindingKind::NoAttempts, text.into());
    }
    if route.timeout.is_zero() {
        add(FindingKind::ZeroLimit, "the timeout is 0".into());
    }
    if route.latency_goal.is_zero() {
        add(FindingKind::ZeroLimit, "the latency goal is 0".into());
    }
    if route.latency_goal > route.timeout {
        let (goal, timeout) = (route.latency_goal, route.timeout);
        let text = format!("the latency goal {goal:?} is longer than the timeout {timeout:?}");
        add(FindingKind::GoalOverTimeout, text);
    }
}

/// Checks the weights of a split.
fn check_split(split: &[WeightedService], add: &mut impl FnMut(FindingKind, String)) {
    let is_valid = |weight: f64| weight.is_finite() && weight >= 0.0;
    for entry in split.iter().filter(|entry| !is_valid(entry.weight)) {
        let WeightedService { service, weight } = entry;
        add(
            FindingKind::InvalidWeight,
            format!("weight {weight} of service {service:?} is not a finite number from 0"),
        );
    }
    if !split.iter().any(|entry| entry.weight > 0.0) {
        add(
            FindingKind::NoPositiveWeight,
            "no service has a positive weight".into(),
        );
    }
}

/// Checks the shards and the coverage of a scatter-gather route.
fn check_gather(gather: &ScatterGather, add: &mut impl FnMut(FindingKind, String)) {
    let shard_count = gather.shards.len();
    if shard_count == 0 {
        add(FindingKind::NoShards, "there are no shards".into());
    }
    let mut seen_shards = BTreeSet::new();
    for shard in &gather.shards {
        if !seen_shards.insert(shard) {
            add(
                FindingKind::RepeatedShard,
                format!("service {shard:?} is more than one shard"),
            );
        }
    }
    if gather.records_max == 0 {
        let text = "the maximum number of records is 0";
        add(FindingKind::ZeroLimit, text.into());
    }
    let coverage_min = gather.coverage_min;
    if !(0.0..=1.0).contains(&coverage_min) {
        let text = format!("the minimum coverage {coverage_min} is not between 0 and 1");
        add(FindingKind::InvalidCoverage, text);
    // One shard has no incomplete answer, whatever the coverage.
    } else if shard_count > 1
        && coverage_min < 1.0
        && Parts::new(shard_count, coverage_min).needed_count == shard_count
    {
        let text = format!(
            "a minimum coverage of {coverage_min} needs all {shard_count} shards: no incomplete answer reaches it"
        );
        add(FindingKind::UnreachableCoverage, text);
    }
}
