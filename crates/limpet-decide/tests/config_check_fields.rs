//! Check of configurations: fields that the format does not define, and the order of routes.

use std::time::Duration;

use limpet_decide::config_check::{
    FindingKind,
    Place,
    Severity,
    UnknownField,
    compare, //
};
use limpet_types::deployment::{
    CallerLimits,
    Config,
    Destination,
    Idempotency,
    Route,
    WeightedService, //
};

const ROUTE_FIELDS: [&str; 4] = ["name", "priority", "timeoutMs", "topK"];
const TEAM_FIELDS: [&str; 3] = ["name", "apiKeys", "burst"];

fn unknown_field_is_an_error(
    (place, part, name, known_names, expected): (
        Place,
        Option<&str>,
        &str,
        &'static [&'static str],
        &str,
    ),
) {
    let field = UnknownField {
        place,
        part: part.map(Into::into),
        name,
        known_names,
    };
    let finding = field.finding();
    assert_eq!(finding.to_string(), expected);
    assert_eq!(
        (finding.kind, finding.severity()),
        (FindingKind::UnknownField, Severity::Error)
    );
}

// Guards against a misspelled field that counts as absent, and against an API key in the output.
limpet_testkit::cases! {
    unknown_field_is_an_error:
    misspelled => (
        Place::route(1, "all"), None, "timoutMs", &ROUTE_FIELDS,
        r#"route 2 "all": there is a field "timoutMs" that the format does not define; the nearest is "timeoutMs""#,
    ),
    other_case => (
        Place::route(0, "a"), None, "TOPK", &ROUTE_FIELDS,
        r#"route 1 "a": there is a field "TOPK" that the format does not define; the nearest is "topK""#,
    ),
    part_of_an_entry => (
        Place::route(0, "a"), Some("number 2 of split"), "wieght", &["service", "weight"],
        r#"route 1 "a": there is a field "wieght" in number 2 of split that the format does not define; the nearest is "weight""#,
    ),
    long_name => (
        Place::Config, None, "a name of more than forty characters, so it is cut", &[],
        r#"configuration: there is a field "a name of more than forty characters, so" that the format does not define"#,
    ),
    field_of_a_team => (
        Place::team(0, "red"), None, "apiKey", &TEAM_FIELDS,
        r#"team 1 "red": there is a field "apiKey" that the format does not define; the nearest is "apiKeys""#,
    ),
    key_as_a_field_of_a_team => (
        Place::team(0, "red"), None, "s3cret-7f3a", &TEAM_FIELDS,
        r#"team 1 "red": there is a field that the format does not define; the nearest is "burst""#,
    ),
}

/// Returns a configuration with these routes: name, host, prefix.
fn config(routes: &[(&str, &str, &str)]) -> Config {
    let route = |(name, host, prefix): &(&str, &str, &str)| Route {
        name: (*name).into(),
        host: (*host).into(),
        prefix: (*prefix).into(),
        idempotency: Idempotency::Idempotent,
        timeout: Duration::from_millis(800),
        latency_goal: Duration::from_millis(80),
        attempts_max: 2,
        priority: 1,
        is_public: false,
        destination: Destination::Split(vec![WeightedService {
            service: (*name).into(),
            weight: 1.0,
        }]),
    };
    Config {
        version: 7,
        routes: routes.iter().map(route).collect(),
        services: Vec::new(),
        teams: None,
        limits: CallerLimits {
            head_max_bytes: 16_384,
            body_max_bytes: 262_144,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

type Routes = &'static [(&'static str, &'static str, &'static str)];

fn order_is_compared((old, new, expected): (Routes, Routes, &[&str])) {
    let comparison = compare(&config(new), &config(old));
    let texts: Vec<String> = comparison
        .differences
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(texts, expected);
    // The version is the same, and a process keeps the content that it has.
    assert_eq!(comparison.findings.is_empty(), expected.is_empty());
}

// Guards against a change of the order that moves requests to another route unseen, and against differences that have no
// effect.
limpet_testkit::cases! {
    order_is_compared:
    equal_host_and_prefix => (
        &[("a", "h", "/"), ("b", "H:80", "/"), ("c", "h", "/")],
        &[("c", "h", "/"), ("b", "H:80", "/"), ("a", "h", "/")],
        &[r#"route 1 "c", first route of host "h" and prefix "/": "a" -> "c""#],
    ),
    order_behind_the_first => (
        &[("a", "h", "/"), ("b", "h", "/"), ("c", "h", "/")],
        &[("a", "h", "/"), ("c", "h", "/"), ("b", "h", "/")],
        &[],
    ),
    other_prefix => (&[("a", "h", "/"), ("b", "h", "/b/")], &[("b", "h", "/b/"), ("a", "h", "/")], &[]),
    other_host => (&[("a", "h", "/"), ("b", "g", "/")], &[("b", "g", "/"), ("a", "h", "/")], &[]),
    route_added_in_front => (
        &[("a", "h", "/")],
        &[("new", "h", "/"), ("a", "h", "/")],
        &[r#"route 1 "new": added"#, r#"route 1 "new", first route of host "h" and prefix "/": "a" -> "new""#],
    ),
    route_added_behind => (&[("a", "h", "/")], &[("a", "h", "/"), ("new", "h", "/")], &[r#"route 2 "new": added"#]),
    first_route_removed => (&[("a", "h", "/"), ("b", "h", "/")], &[("b", "h", "/")], &[r#"route 1 "a": removed"#]),
}
