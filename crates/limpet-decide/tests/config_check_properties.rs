//! Check and comparison of random configurations.

use std::time::Duration;

use limpet_decide::config_check::{
    Comparison,
    Finding,
    KnownTargets,
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
use proptest::prelude::*;

/// Returns any names from a small set, so that some are equal.
fn any_name() -> impl Strategy<Value = Box<str>> {
    prop::sample::select(vec!["", "a", "b", "/", "/a/", "A:80", ":", "\u{6f22}\n"])
        .prop_map(Into::into)
}

fn any_time() -> impl Strategy<Value = Duration> {
    prop_oneof![
        Just(Duration::ZERO),
        Just(Duration::MAX),
        any::<u32>().prop_map(|ms| Duration::from_millis(ms.into())),
    ]
}

fn any_number() -> impl Strategy<Value = f64> {
    prop_oneof![any::<f64>(), 0.0..1.5, Just(f64::NAN), Just(f64::INFINITY)]
}

fn any_destination() -> impl Strategy<Value = Destination> {
    let weighted = (any_name(), any_number())
        .prop_map(|(service, weight)| WeightedService { service, weight });
    let shards = prop::collection::vec(any_name(), 0..5);
    prop_oneof![
        prop::collection::vec(weighted, 0..4).prop_map(Destination::Split),
        (shards, any::<usize>(), any_number()).prop_map(|(shards, records_max, coverage_min)| {
            Destination::ScatterGather(ScatterGather {
                shards,
                records_max,
                coverage_min,
            })
        }),
    ]
}

fn any_route() -> impl Strategy<Value = Route> {
    let texts = (any_name(), any_name(), any_name());
    let limits = (any_time(), any_time(), any::<u32>(), any::<u32>());
    (texts, limits, any::<(bool, bool)>(), any_destination()).prop_map(
        |(
            (name, host, prefix),
            (timeout, latency_goal, attempts_max, priority),
            (is_idempotent, is_public),
            destination,
        )| Route {
            name,
            host,
            prefix,
            idempotency: match is_idempotent {
                true => Idempotency::Idempotent,
                false => Idempotency::AtMostOnce,
            },
            timeout,
            latency_goal,
            attempts_max,
            priority,
            is_public,
            destination,
        },
    )
}

fn any_service() -> impl Strategy<Value = Service> {
    (any_name(), any::<u32>(), any_time(), any_number()).prop_map(
        |(name, connections_max, warmup_time, cold_rate_per_s)| Service {
            name,
            connections_max,
            warmup_time,
            cold_rate_per_s,
        },
    )
}

fn any_team() -> impl Strategy<Value = Team> {
    let api_keys = prop::collection::vec(any_name(), 0..4);
    let limits = (any_number(), any_number());
    (any_name(), api_keys, any::<Option<u32>>(), limits).prop_map(
        |(name, api_keys, priority, (rate_per_s, burst))| Team {
            name,
            api_keys,
            priority,
            rate_per_s,
            burst,
        },
    )
}

fn any_config() -> impl Strategy<Value = Config> {
    let entries = (
        prop::collection::vec(any_route(), 0..5),
        prop::collection::vec(any_service(), 0..5),
        prop::option::of(prop::collection::vec(any_team(), 0..4)),
    );
    let limits = (any::<usize>(), any::<usize>(), any_time(), any_time());
    (any::<u64>(), entries, limits).prop_map(|(version, (routes, services, teams), limits)| {
        let (head_max_bytes, body_max_bytes, head_timeout, idle_timeout) = limits;
        Config {
            version,
            routes,
            services,
            teams,
            limits: CallerLimits {
                head_max_bytes,
                body_max_bytes,
                head_timeout,
                idle_timeout,
            },
        }
    })
}

/// Puts a mark before each key, so that it can be found in a text.
fn with_marked_keys(mut config: Config) -> Config {
    for team in config.teams.iter_mut().flatten() {
        for key in &mut team.api_keys {
            *key = format!("secret{key}").into();
        }
    }
    config
}

proptest! {
    /// No values make the check panic, and its errors come before its warnings.
    #[test]
    fn check_accepts_any_values(config in any_config()) {
        let findings = check(&config, Some(&KnownTargets::new()));
        prop_assert!(findings.is_sorted_by_key(Finding::severity));
    }

    /// A configuration does not differ from itself, whatever its values, and needs no higher version.
    #[test]
    fn configuration_equals_itself(config in any_config()) {
        prop_assert_eq!(compare(&config, &config.clone()), Comparison::default());
    }

    /// Whatever is wrong with a configuration and different between two, no text contains a key.
    #[test]
    fn no_text_contains_a_key(first in any_config(), second in any_config()) {
        let [first, second] = [first, second].map(with_marked_keys);
        let mut texts: Vec<String> = check(&first, None).iter().map(Finding::to_string).collect();
        let comparison = compare(&first, &second);
        texts.extend(comparison.findings.iter().map(Finding::to_string));
        texts.extend(comparison.differences.iter().map(ToString::to_string));
        prop_assert!(!texts.concat().contains("secret"), "{:?}", texts);
    }

    /// What one direction reports as added, the other one reports as removed.
    #[test]
    fn comparison_is_symmetric(first in any_config(), second in any_config()) {
        let (there, back) = (compare(&first, &second), compare(&second, &first));
        prop_assert_eq!(there.differences.len(), back.differences.len());
        let count = |comparison: &Comparison, name: &str| {
            let differences = comparison.differences.iter();
            differences.filter(|difference| difference.kind.name() == name).count()
        };
        prop_assert_eq!(count(&there, "added"), count(&back, "removed"));
    }
}
