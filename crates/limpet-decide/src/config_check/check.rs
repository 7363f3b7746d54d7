//! Applies all rules to one configuration.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use limpet_types::deployment::Config;

use super::{
    Finding,
    FindingKind,
    Place,
    route_rules,
    service_rules,
    team_rules, //
};

/// Number of the targets of each service in a known state of the deployment.
pub type KnownTargets = BTreeMap<Box<str>, usize>;

/// Checks a configuration; returns the errors first, then the warnings, each in the order of the configuration.
///
/// `known_targets` are the targets that are registered now, if the caller knows them; a service without an entry
/// has none.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use limpet_decide::config_check::{FindingKind, check};
/// use limpet_types::deployment::{CallerLimits, Config, Service};
///
/// let config = Config {
///     version: 1,
///     routes: Vec::new(),
///     services: vec![Service {
///         name: "search".into(),
///         connections_max: 10,
///         warmup_time: Duration::ZERO,
///         cold_rate_per_s: 0.0,
///     }],
///     teams: None,
///     limits: CallerLimits {
///         head_max_bytes: 16_384,
///         body_max_bytes: 262_144,
///         head_timeout: Duration::from_secs(3),
///         idle_timeout: Duration::from_secs(15),
///     },
/// };
/// let findings = check(&config, None);
/// assert_eq!(findings[0].kind, FindingKind::UnusedService);
/// ```
pub fn check(config: &Config, known_targets: Option<&KnownTargets>) -> Vec<Finding> {
    let mut findings = Vec::new();
    route_rules::check_routes(config, known_targets, &mut findings);
    service_rules::check_services(config, &mut findings);
    team_rules::check_teams(config, &mut findings);
    check_limits(config, &mut findings);
    // The sort is stable and keeps the order of the configuration.
    findings.sort_by_key(Finding::severity);
    findings
}

/// Checks the limits of caller connections.
fn check_limits(config: &Config, findings: &mut Vec<Finding>) {
    let limits = &config.limits;
    let zero_limits = [
        (limits.head_max_bytes == 0, "maximum size of a request head"),
        (
            limits.head_timeout.is_zero(),
            "maximum time to receive a request",
        ),
        (
            limits.idle_timeout.is_zero(),
            "maximum time without a request",
        ),
    ];
    for (_, limit) in zero_limits.iter().filter(|(is_zero, _)| *is_zero) {
        findings.push(Finding::new(
            FindingKind::ZeroLimit,
            Place::Limits,
            format!("the {limit} is 0"),
        ));
    }
}

/// Reports names that are empty or equal to an earlier one.
pub(super) fn check_names<'a>(
    names: impl Iterator<Item = &'a str>,
    place: fn(usize, &str) -> Place,
    findings: &mut Vec<Finding>,
) {
    let mut first_numbers: HashMap<&str, usize> = HashMap::new();
    for (index, name) in names.enumerate() {
        if name.is_empty() {
            let text = "the name is empty";
            findings.push(Finding::new(
                FindingKind::EmptyName,
                place(index, name),
                text,
            ));
        }
        let first_number = *first_numbers.entry(name).or_insert(index + 1);
        if first_number != index + 1 {
            findings.push(Finding::new(
                FindingKind::DuplicateName,
                place(index, name),
                format!("number {first_number} has the same name"),
            ));
        }
    }
}
