//! Tests the indexes of a parsed configuration, and the parsing of large and malformed texts.
//!
//! Guards against API keys attributed to the wrong team, targets that are not found and slow parsing.

use std::fmt::Write as _;

use limpet_config::{
    Config,
    Problem,
    TEXT_SIZE_MAX_BYTES, //
};
use limpet_types::key_range::KEY_SPACE_END;
use proptest::prelude::*;

/// Fields that every service requires.
const SERVICE_LIMITS: &str = "slots = 2\nconnections_max = 25\n";

/// Returns a text that defines a team with some API keys.
fn team_text(name: &str, keys: &[&str]) -> String {
    let digests: Vec<String> = keys
        .iter()
        .map(|key| format!("\"{}\"", blake3::hash(key.as_bytes())))
        .collect();
    let digests = digests.join(", ");
    format!("[[team]]\nname = \"{name}\"\nrate_per_s = 1\nburst = 4\nkey_digests = [{digests}]\n")
}

/// Returns a text that defines a service of `shard_count` shards with three targets each.
fn service_text(shard_count: u64) -> String {
    let mut text = format!(
        "fleet.vms_max = 8\nzone = [{{name='a'}}]\n[[service]]\nname='s'\nkind='search'\n{SERVICE_LIMITS}shard = [\n"
    );
    for shard in 0..shard_count {
        let start = shard * KEY_SPACE_END / shard_count;
        let end = (shard + 1) * KEY_SPACE_END / shard_count;
        let _ = write!(text, "{{name='{shard}',start={start},end={end},target=[");
        for replica in 0..3 {
            let (second_octet, third_octet) = (shard / 250, shard % 250);
            let _ = write!(
                text,
                "{{name='{shard}.{replica}',addr='10.{second_octet}.{third_octet}.{replica}:80',zone='a'}},"
            );
        }
        text.push_str("]},\n");
    }
    text.push(']');
    text
}

limpet_testkit::cases! {
    a_team_is_found_by_its_api_keys:
    first_key_of_a_team => ("one", Some("left")),
    second_key_of_a_team => ("two", Some("left")),
    key_of_another_team => ("three", Some("right")),
    revoked_key => ("four", None),
    empty_key => ("", None),
}

fn a_team_is_found_by_its_api_keys((key, expected): (&str, Option<&str>)) {
    let text = format!(
        "fleet.vms_max = 8\n{}{}",
        team_text("left", &["one", "two"]),
        team_text("right", &["three"])
    );
    let config = Config::parse(&text).unwrap();
    let found = config
        .team_by_api_key(key.as_bytes())
        .map(|team| &*team.name);
    assert_eq!(found, expected);
}

#[test]
fn every_target_is_found_by_its_address_and_every_shard_by_its_keys() {
    let config = Config::parse(&service_text(100)).unwrap();
    let service = config.service("s").unwrap();
    assert_eq!(config.targets().count(), 300);
    for expected in config.targets() {
        let found = config.target(expected.target.addr).unwrap();
        assert_eq!(found.target, expected.target);
        assert_eq!(found.replica_index, expected.replica_index);
        assert_eq!(
            service.shard_of_key(expected.shard.range.start),
            Some(expected.shard)
        );
        assert_eq!(
            service.shard_of_key(expected.shard.range.end - 1),
            Some(expected.shard)
        );
    }
    assert!(config.target("10.9.9.9:80".parse().unwrap()).is_none());
    assert!(service.shard_of_key(KEY_SPACE_END).is_none());
}

#[test]
fn a_text_over_the_size_limit_is_rejected_before_parsing() {
    let text = "#".repeat(TEXT_SIZE_MAX_BYTES + 1);
    let problems = Config::parse(&text).unwrap_err();
    assert_eq!(
        problems[0].to_string(),
        "1:1: the text has 1000001 bytes; keep it within 1000000 bytes"
    );
    let text = "#".repeat(TEXT_SIZE_MAX_BYTES);
    let problems = Config::parse(&text).unwrap_err();
    assert_eq!(&*problems[0].message, "missing section \"fleet\"");
}

/// Guards against a cycle check that recurses and overflows the stack on a long chain.
#[test]
fn a_long_dependency_chain_is_accepted_and_a_long_cycle_is_reported() {
    let parse_chain = |last_dependency: &str| {
        let mut text = format!(
            "fleet.vms_max = 8\nzone = [{{name='a'}}]\n[[service]]\nname='s'\nkind='ledger'\n{SERVICE_LIMITS}\
             shard=[{{name='x',start=0,end={KEY_SPACE_END},target=[{{name='t',addr='10.0.0.1:80',zone='a'}}]}}]\n"
        );
        for index in 0..5_000 {
            let dependency = if index == 4_999 {
                last_dependency.to_owned()
            } else {
                format!("'l{}'", index + 1)
            };
            let _ = write!(
                text,
                "[[lookup]]\nname='l{index}'\nservice='s'\nkind='record'\ndepends_on=[{dependency}]\n"
            );
        }
        Config::parse(&text)
    };
    assert!(parse_chain("").is_ok());
    let problems: Vec<Problem> = parse_chain("'l0'").unwrap_err();
    assert_eq!(problems.len(), 1);
    assert!(problems[0].message.starts_with("dependency cycle l0 -> l1"));
}

/// Guards against checks of quadratic cost, which would take minutes on a text of this size.
#[test]
fn a_large_text_with_an_unknown_zone_in_every_target_is_rejected_in_time() {
    let text = service_text(5_000).replace("zone='a'", "zone='b'");
    assert!(text.len() < TEXT_SIZE_MAX_BYTES, "{}", text.len());
    let started_at = std::time::Instant::now();
    assert_eq!(Config::parse(&text).unwrap_err().len(), 15_000);
    assert!(started_at.elapsed().as_secs() < 20);
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in "\\PC{0,200}") {
        let _ = Config::parse(&text);
    }

    #[test]
    fn a_truncated_or_corrupted_text_never_panics_and_problems_point_into_it(
        index in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        is_truncated in any::<bool>(),
    ) {
        let mut bytes = include_bytes!("good/all-sections.toml").to_vec();
        let index = index.index(bytes.len());
        if is_truncated { bytes.truncate(index); } else { bytes[index] = byte; }
        let text = String::from_utf8_lossy(&bytes);
        if let Err(problems) = Config::parse(&text) {
            prop_assert!(!problems.is_empty());
            for problem in problems {
                let line = text.split('\n').nth(problem.line - 1).unwrap();
                prop_assert!(problem.column <= line.chars().count() + 1);
            }
        }
    }
}

/// Guards against stale indexes: an API key that was removed from a team would still be accepted.
#[test]
fn a_change_of_the_sections_rebuilds_the_indexes() {
    let text = format!("fleet.vms_max = 8\n{}", team_text("t", &["k"]));
    let mut config = Config::parse(&text).unwrap();
    assert!(config.team_by_api_key(b"k").is_some() && config.team("t").is_some());
    config.change(|sections| sections.teams[0].key_digests.clear());
    assert!(config.team_by_api_key(b"k").is_none() && config.team("t").is_some());
    config.change(|sections| sections.teams.clear());
    assert!(config.team("t").is_none());
}
