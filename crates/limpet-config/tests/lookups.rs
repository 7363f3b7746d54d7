//! Guards against API keys given to the wrong team, targets not found and slow look-ups.

use std::fmt::Write as _;

use limpet_config::{
    Config,
    Problem,
    TEXT_SIZE_MAX_BYTES, //
};
use limpet_types::key_range::KEY_SPACE_END;
use proptest::prelude::*;

const SERVICE: &str = "slots = 2\nconnections_max = 25\n";

fn team(name: &str, keys: &[&str]) -> String {
    let digests: Vec<String> = keys
        .iter()
        .map(|key| format!("\"{}\"", blake3::hash(key.as_bytes())))
        .collect();
    let digests = digests.join(", ");
    format!("[[team]]\nname = \"{name}\"\nrate_per_s = 1\nburst = 4\nkey_digests = [{digests}]\n")
}

/// A service of `shards` shards with three targets each.
fn fleet(shards: u64) -> String {
    let mut text = format!(
        "fleet.vms_max = 8\nzone = [{{name='a'}}]\n[[service]]\nname='s'\nkind='search'\n{SERVICE}shard = [\n"
    );
    for shard in 0..shards {
        let start = shard * KEY_SPACE_END / shards;
        let end = (shard + 1) * KEY_SPACE_END / shards;
        let _ = write!(text, "{{name='{shard}',start={start},end={end},target=[");
        for replica in 0..3 {
            let (high, low) = (shard / 250, shard % 250);
            let _ = write!(
                text,
                "{{name='{shard}.{replica}',addr='10.{high}.{low}.{replica}:80',zone='a'}},"
            );
        }
        text.push_str("]},\n");
    }
    text.push(']');
    text
}

limpet_testkit::cases! {
    finds_the_team_of_a_key:
    first_key => ("one", Some("left")),
    second_key_of_a_team => ("two", Some("left")),
    key_of_another_team => ("three", Some("right")),
    revoked_key => ("four", None),
    empty_key => ("", None),
}

fn finds_the_team_of_a_key((key, expected): (&str, Option<&str>)) {
    let text = format!(
        "fleet.vms_max = 8\n{}{}",
        team("left", &["one", "two"]),
        team("right", &["three"])
    );
    let config = Config::parse(&text).unwrap();
    let found = config.team_by_key(key.as_bytes()).map(|team| &*team.name);
    assert_eq!(found, expected);
}

#[test]
fn every_target_is_found_by_its_address_and_every_key_by_its_shard() {
    let config = Config::parse(&fleet(100)).unwrap();
    let service = config.service("s").unwrap();
    assert_eq!(config.targets().count(), 300);
    for site in config.targets() {
        let found = config.target(site.target.addr).unwrap();
        assert_eq!(found.target, site.target);
        assert_eq!(found.replica_index, site.replica_index);
        assert_eq!(
            service.shard_of_key(site.shard.range.start),
            Some(site.shard)
        );
        assert_eq!(
            service.shard_of_key(site.shard.range.end - 1),
            Some(site.shard)
        );
    }
    assert!(config.target("10.9.9.9:80".parse().unwrap()).is_none());
    assert!(service.shard_of_key(KEY_SPACE_END).is_none());
}

#[test]
fn a_text_over_the_limit_is_refused_unread() {
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

/// A long chain must not overflow the stack of the cycle check.
#[test]
fn a_long_chain_of_dependencies_is_accepted_and_its_closing_is_refused() {
    let chain = |last: &str| {
        let mut text = format!(
            "fleet.vms_max = 8\nzone = [{{name='a'}}]\n[[service]]\nname='s'\nkind='ledger'\n{SERVICE}\
             shard=[{{name='x',start=0,end={KEY_SPACE_END},target=[{{name='t',addr='10.0.0.1:80',zone='a'}}]}}]\n"
        );
        for at in 0..5_000 {
            let on = if at == 4_999 {
                last.to_owned()
            } else {
                format!("'l{}'", at + 1)
            };
            let _ = write!(
                text,
                "[[lookup]]\nname='l{at}'\nservice='s'\nkind='record'\ndepends_on=[{on}]\n"
            );
        }
        Config::parse(&text)
    };
    assert!(chain("").is_ok());
    let problems: Vec<Problem> = chain("'l0'").unwrap_err();
    assert_eq!(problems.len(), 1);
    assert!(problems[0].message.starts_with("dependency cycle l0 -> l1"));
}

/// Quadratic checks would take minutes on a text of this size.
#[test]
fn the_largest_text_of_wrong_names_is_refused_in_time() {
    let text = fleet(5_000).replace("zone='a'", "zone='b'");
    assert!(text.len() < TEXT_SIZE_MAX_BYTES, "{}", text.len());
    let started = std::time::Instant::now();
    assert_eq!(Config::parse(&text).unwrap_err().len(), 15_000);
    assert!(started.elapsed().as_secs() < 20);
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in "\\PC{0,200}") {
        let _ = Config::parse(&text);
    }

    #[test]
    fn any_cut_or_replaced_byte_never_panics_and_points_into_the_text(
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        cut in any::<bool>(),
    ) {
        let mut bytes = include_bytes!("good/cork.toml").to_vec();
        let at = at.index(bytes.len());
        if cut { bytes.truncate(at); } else { bytes[at] = byte; }
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

/// A key revoked in the parts alone would still be found by the look-up.
#[test]
fn a_change_of_the_parts_builds_the_look_ups_again() {
    let text = format!("fleet.vms_max = 8\n{}", team("t", &["k"]));
    let mut config = Config::parse(&text).unwrap();
    assert!(config.team_by_key(b"k").is_some() && config.team("t").is_some());
    config.change(|parts| parts.teams[0].key_digests.clear());
    assert!(config.team_by_key(b"k").is_none() && config.team("t").is_some());
    config.change(|parts| parts.teams.clear());
    assert!(config.team("t").is_none());
}
