//! Check of configurations: one case per rule, and comparisons of two versions.

use std::time::Duration;

use limpet_decide::config_check::{
    Comparison,
    Finding,
    FindingKind::{
        self,
        *, //
    },
    KnownTargets,
    Severity,
    check,
    compare, //
};
use limpet_types::deployment::{
    CallerLimits,
    Config,
    Destination,
    Idempotency,
    Route,
    ScatterGather,
    Service,
    Team,
    WeightedService, //
};

/// A key that must appear in no text.
const KEY: &str = "secret-7f3a";

fn route(name: &str, prefix: &str, destination: Destination) -> Route {
    Route {
        name: name.into(),
        host: "search.example".into(),
        prefix: prefix.into(),
        idempotency: Idempotency::Idempotent,
        timeout: Duration::from_millis(800),
        latency_goal: Duration::from_millis(80),
        attempts_max: 2,
        priority: 1,
        is_public: false,
        destination,
    }
}

fn split(services: &[(&str, f64)]) -> Destination {
    let weighted = |(service, weight): &(&str, f64)| WeightedService {
        service: (*service).into(),
        weight: *weight,
    };
    Destination::Split(services.iter().map(weighted).collect())
}

fn gather(shards: &[&str], coverage_min: f64) -> Destination {
    Destination::ScatterGather(ScatterGather {
        shards: shards.iter().map(|shard| (*shard).into()).collect(),
        records_max: 10,
        coverage_min,
    })
}

fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        connections_max: 85,
        warmup_time: Duration::from_secs(3),
        cold_rate_per_s: 4.0,
    }
}

fn team(name: &str, key: &str) -> Team {
    Team {
        name: name.into(),
        api_keys: vec![key.into()],
        priority: None,
        rate_per_s: 90.0,
        burst: 80.0,
    }
}

/// Returns a configuration without findings.
fn config() -> Config {
    Config {
        version: 7,
        routes: vec![
            route("one", "/one/", split(&[("a", 3.0), ("b", 1.0)])),
            route("all", "/all/", gather(&["a", "b", "c", "d"], 0.75)),
        ],
        services: ["a", "b", "c", "d"].map(service).into(),
        teams: Some(vec![team("red", KEY), team("blue", "secret-91c2")]),
        limits: CallerLimits {
            head_max_bytes: 16_384,
            body_max_bytes: 262_144,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
    }
}

fn teams(config: &mut Config) -> &mut Vec<Team> {
    config.teams.as_mut().unwrap()
}

/// Guards against findings in a configuration without mistakes, which operators would learn to ignore.
#[test]
fn good_configuration_has_no_findings() {
    assert_eq!(check(&config(), None), []);
}

type Edit = fn(&mut Config);

/// Guards against a rule that is not applied, applies elsewhere too, or prints a key.
fn finding_is_reported((edit, kind, place): (Edit, FindingKind, &str)) {
    let mut config = config();
    edit(&mut config);
    let findings = check(&config, None);
    let [finding] = &findings[..] else {
        panic!("one finding expected: {findings:#?}");
    };
    assert_eq!(finding.kind, kind);
    let text = finding.to_string();
    assert!(text.starts_with(place), "{text}");
    assert!(!text.contains("secret"), "{text}");
}

limpet_testkit::cases! {
    finding_is_reported:
    unknown_service_of_a_split => (
        |config| config.routes[0].destination = split(&[("a", 1.0), ("x", 1.0)]),
        UnknownService, r#"route 1 "one": there is no service "x""#,
    ),
    unknown_shard => (
        |config| config.routes[1].destination = gather(&["a", "b", "c", "d", "x"], 0.5),
        UnknownService, r#"route 2 "all""#,
    ),
    empty_host => (|config| config.routes[0].host = "".into(), EmptyHost, r#"route 1 "one""#),
    host_of_only_a_port => (|config| config.routes[0].host = ":80".into(), EmptyHost, r#"route 1 "one""#),
    empty_prefix => (|config| config.routes[1].prefix = "".into(), EmptyPrefix, r#"route 2 "all""#),
    empty_name => (|config| config.routes[0].name = "".into(), EmptyName, r#"route 1 """#),
    no_positive_weight => (
        |config| config.routes[0].destination = split(&[("a", 0.0)]),
        NoPositiveWeight, r#"route 1 "one""#,
    ),
    split_without_services => (|config| config.routes[0].destination = split(&[]), NoPositiveWeight, r#"route 1 "one""#),
    negative_weight => (
        |config| config.routes[0].destination = split(&[("a", -1.0), ("b", 1.0)]),
        InvalidWeight, r#"route 1 "one": weight -1 of service "a""#,
    ),
    infinite_weight => (
        |config| config.routes[0].destination = split(&[("a", f64::INFINITY)]),
        InvalidWeight, r#"route 1 "one""#,
    ),
    repeated_shard => (
        |config| config.routes[1].destination = gather(&["a", "b", "c", "d", "a"], 0.5),
        RepeatedShard, r#"route 2 "all": service "a""#,
    ),
    duplicate_route_name => (|config| config.routes[1].name = "one".into(), DuplicateName, r#"route 2 "one""#),
    duplicate_service_name => (|config| config.services.push(service("b")), DuplicateName, r#"service 5 "b": number 2"#),
    duplicate_team_name => (|config| teams(config)[1].name = "red".into(), DuplicateName, r#"team 2 "red""#),
    duplicate_key_of_two_teams => (
        |config| teams(config)[1].api_keys.push(KEY.into()),
        DuplicateKey, r#"team 2 "blue": API key 2 is also API key 1 of team 1 "red""#,
    ),
    duplicate_key_of_a_team => (|config| teams(config)[0].api_keys.push(KEY.into()), DuplicateKey, r#"team 1 "red""#),
    empty_key => (|config| teams(config)[0].api_keys.push("".into()), EmptyKey, r#"team 1 "red": API key 2"#),
    no_attempts => (|config| config.routes[0].attempts_max = 0, NoAttempts, r#"route 1 "one""#),
    goal_of_zero => (|config| config.routes[0].latency_goal = Duration::ZERO, ZeroLimit, r#"route 1 "one""#),
    no_connections => (|config| config.services[3].connections_max = 0, ZeroLimit, r#"service 4 "d""#),
    head_of_zero_bytes => (|config| config.limits.head_max_bytes = 0, ZeroLimit, "limits"),
    no_time_for_a_request => (|config| config.limits.head_timeout = Duration::ZERO, ZeroLimit, "limits"),
    no_idle_time => (|config| config.limits.idle_timeout = Duration::ZERO, ZeroLimit, "limits"),
    negative_rate => (|config| teams(config)[0].rate_per_s = -1.0, InvalidRate, r#"team 1 "red""#),
    burst_that_is_no_number => (|config| teams(config)[0].burst = f64::NAN, InvalidRate, r#"team 1 "red""#),
    negative_cold_rate => (|config| config.services[0].cold_rate_per_s = -4.0, InvalidRate, r#"service 1 "a""#),
    coverage_over_one => (
        |config| config.routes[1].destination = gather(&["a", "b", "c", "d"], 1.01),
        InvalidCoverage, r#"route 2 "all""#,
    ),
    coverage_that_is_no_number => (
        |config| config.routes[1].destination = gather(&["a", "b", "c", "d"], f64::NAN),
        InvalidCoverage, r#"route 2 "all""#,
    ),
    coverage_that_needs_all_shards => (
        |config| config.routes[1].destination = gather(&["a", "b", "c", "d"], 0.8),
        UnreachableCoverage, r#"route 2 "all""#,
    ),
    shadowed_route => (
        |config| {
            config.routes[1].host = "SEARCH.example:8080".into();
            config.routes[1].prefix = "/one/".into();
        },
        ShadowedRoute, r#"route 2 "all": never matches: route 1 "one""#,
    ),
    prefix_without_first_slash => (|config| config.routes[0].prefix = "one/".into(), UnmatchablePrefix, r#"route 1 "one""#),
    prefix_without_last_slash => (|config| config.routes[0].prefix = "/one".into(), OpenPrefix, r#"route 1 "one""#),
    team_without_keys => (|config| teams(config)[1].api_keys.clear(), TeamWithoutKeys, r#"team 2 "blue""#),
    no_keys => (|config| teams(config).clear(), NoKeys, "configuration: "),
    unused_service => (|config| config.services.push(service("e")), UnusedService, r#"service 5 "e""#),
    goal_over_timeout => (
        |config| config.routes[0].latency_goal = Duration::from_millis(801),
        GoalOverTimeout, r#"route 1 "one""#,
    ),
    burst_below_one => (|config| teams(config)[0].burst = 0.5, BurstBelowOne, r#"team 1 "red""#),
    burst_without_rate => (|config| teams(config)[0].rate_per_s = 0.0, BurstWithoutRate, r#"team 1 "red""#),
    warmup_without_rate => (|config| config.services[0].cold_rate_per_s = 0.0, WarmupWithoutRate, r#"service 1 "a""#),
}

/// Guards against a timeout of zero that is taken only for one that is shorter than the goal.
#[test]
fn timeout_of_zero_is_an_error_before_the_warning_about_the_goal() {
    let mut config = config();
    config.routes[0].timeout = Duration::ZERO;
    let kinds = check(&config, None).into_iter().map(|finding| finding.kind);
    assert!(kinds.eq([ZeroLimit, GoalOverTimeout]));
}

/// Guards against a gather without shards, whose services would then all be unused.
#[test]
fn gather_without_shards_is_an_error() {
    let mut config = config();
    config.routes[1].destination = gather(&[], 0.5);
    let findings = check(&config, None);
    assert_eq!(findings[0].kind, NoShards);
    assert!(
        findings[1..]
            .iter()
            .all(|finding| finding.kind == UnusedService)
    );
}

/// Guards against a warning that cannot be avoided: an answer of one shard is never incomplete.
#[test]
fn coverage_of_one_shard_is_accepted() {
    let mut config = config();
    config
        .routes
        .push(route("only", "/only/", gather(&["a"], 0.95)));
    assert_eq!(check(&config, None), []);
}

/// Guards against another severity than documented; the exit code of the check depends on it.
fn severity_is_documented(kind: FindingKind) {
    let name = format!("`{}`", kind.name());
    let mut rows = include_str!("../../../docs/OPERATIONS.md")
        .lines()
        .filter(|line| line.starts_with("| `") && line.contains(&name));
    let severity = match kind.severity() {
        Severity::Error => "error",
        Severity::Warning => "warning",
    };
    let row = rows.next().unwrap();
    assert_eq!(row.split(" | ").nth(1), Some(severity), "{row}");
    assert_eq!(rows.next(), None);
}

/// Guards against a kind that is missing in the documentation. `MoreAttemptsThanTargets` is left out: the command
/// cannot report it.
#[test]
fn all_severities_are_documented() {
    [
        UnknownService,
        EmptyHost,
        EmptyPrefix,
        EmptyName,
        NoPositiveWeight,
        InvalidWeight,
        NoShards,
        RepeatedShard,
        DuplicateName,
        DuplicateKey,
        EmptyKey,
        NoAttempts,
        ZeroLimit,
        InvalidRate,
        InvalidCoverage,
        VersionNotHigher,
        ShadowedRoute,
        UnmatchablePrefix,
        OpenPrefix,
        TeamWithoutKeys,
        NoKeys,
        UnusedService,
        GoalOverTimeout,
        UnreachableCoverage,
        BurstBelowOne,
        BurstWithoutRate,
        WarmupWithoutRate,
    ]
    .into_iter()
    .for_each(severity_is_documented);
}

/// Guards against attempts that no target is left for, and against a guess where the targets are not known.
#[test]
fn attempts_are_compared_with_known_targets_only() {
    let mut targets: KnownTargets = ["a", "b", "c", "d"].map(|name| (name.into(), 2)).into();
    assert_eq!(check(&config(), Some(&targets)), []);
    targets.insert("b".into(), 1);
    targets.remove("d");
    let findings = check(&config(), Some(&targets));
    let texts: Vec<String> = findings.iter().map(Finding::to_string).collect();
    assert_eq!(
        texts,
        [
            r#"route 1 "one": 2 attempts, but targets of service "b": 1"#,
            r#"route 2 "all": 2 attempts, but targets of service "b": 1"#,
            r#"route 2 "all": 2 attempts, but targets of service "d": 0"#,
        ]
    );
}

/// Guards against requests that need no key where teams are absent.
#[test]
fn configuration_without_teams_needs_no_keys() {
    let mut config = config();
    config.teams = None;
    assert_eq!(check(&config, None), []);
}

/// Guards against errors that are hidden behind many warnings.
#[test]
fn errors_come_first() {
    let mut config = config();
    config.routes[0].latency_goal = Duration::from_secs(9);
    config.services.push(service("b"));
    let severities = check(&config, None)
        .into_iter()
        .map(|finding| finding.severity());
    assert!(severities.eq([Severity::Error, Severity::Warning]));
}

/// Compares the edited configuration, as version 8, with the original one, as version 7.
fn compare_edited(edit: Edit) -> Comparison {
    let mut config = config();
    config.version = 8;
    edit(&mut config);
    compare(&config, &self::config())
}

/// Guards against a difference that is left out, is reported at another place, or prints a key.
fn differences_are_reported((edit, expected): (Edit, &[&str])) {
    let comparison = compare_edited(edit);
    assert_eq!(comparison.findings, []);
    let texts: Vec<String> = comparison
        .differences
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(texts[0], "configuration, version: 7 -> 8");
    assert_eq!(texts[1..], *expected);
    assert!(!texts.concat().contains("secret"), "{texts:?}");
}

limpet_testkit::cases! {
    differences_are_reported:
    nothing_but_the_version => (|_| {}, &[]),
    added_route => (
        |config| config.routes.insert(0, route("new", "/new/", split(&[("a", 1.0)]))),
        &[r#"route 1 "new": added"#],
    ),
    removed_route => (|config| drop(config.routes.remove(0)), &[r#"route 1 "one": removed"#]),
    renamed_service => (
        |config| config.services[0].name = "z".into(),
        &[r#"service 1 "z": added"#, r#"service 1 "a": removed"#],
    ),
    changed_fields_of_a_route => (
        |config| {
            config.routes[0].timeout = Duration::from_millis(900);
            config.routes[0].idempotency = Idempotency::AtMostOnce;
        },
        &[
            r#"route 1 "one", idempotency: Idempotent -> AtMostOnce"#,
            r#"route 1 "one", timeout: 800ms -> 900ms"#,
        ],
    ),
    changed_weight => (
        |config| config.routes[0].destination = split(&[("b", 1.0), ("a", 2.5)]),
        &[r#"route 1 "one", weight of service "a": 3 -> 2.5"#],
    ),
    changed_shards => (
        |config| config.routes[1].destination = gather(&["b", "a", "c", "e"], 0.75),
        &[r#"route 2 "all", shard "d": removed"#, r#"route 2 "all", shard "e": added"#],
    ),
    changed_limits => (|config| config.limits.body_max_bytes = 9, &["limits, maximum body size in bytes: 262144 -> 9"]),
    changed_service => (|config| config.services[2].connections_max = 70, &[r#"service 3 "c", maximum connections: 85 -> 70"#]),
    changed_keys => (
        |config| teams(config)[0].api_keys = vec!["secret-1".into(), "secret-2".into()],
        &[r#"team 1 "red", API keys: 1 -> 2 (2 added, 1 removed)"#],
    ),
    changed_priority => (
        |config| teams(config)[1].priority = Some(0),
        &[r#"team 2 "blue", priority: that of the route -> 0"#],
    ),
    removed_teams => (
        |config| config.teams = None,
        &[
            "configuration, requests need an API key: true -> false",
            r#"team 1 "red": removed"#,
            r#"team 2 "blue": removed"#,
        ],
    ),
    second_entry_of_a_name => (
        |config| config.services.push(service("a")),
        &[r#"service 5 "a": added"#],
    ),
}

/// Guards against a version that processes ignore because they already have this one or a later one.
fn version_is_not_higher((edit, expected): (Edit, bool)) {
    let findings = compare_edited(edit).findings;
    let kinds: Vec<FindingKind> = findings.iter().map(|finding| finding.kind).collect();
    assert_eq!(kinds == [VersionNotHigher], expected, "{findings:?}");
}

limpet_testkit::cases! {
    version_is_not_higher:
    higher_version => (|_| {}, false),
    same_version_and_content => (|config| config.version = 7, false),
    same_version_with_a_change => (
        |config| {
            config.version = 7;
            config.routes[0].priority = 0;
        },
        true,
    ),
    lower_version => (|config| config.version = 6, true),
}
