//! Parsing of teams and their API key digests.

use crate::{
    Team,
    parse::{
        Fields,
        Report,
        UniqueValues, //
    },
};

/// Upper limit of `rate_per_s` and `burst`, far above the design load of 1.4 million queries per second.
const RATE_MAX: u64 = 1_000_000_000;
/// Upper limit of `weight`; the length of a deficit round-robin round grows with it.
const WEIGHT_MAX: u64 = 1_000;
/// Number of hex digits of a BLAKE3 digest.
const DIGEST_HEX_DIGITS: usize = 64;

/// Parses every team.
///
/// A burst below the number of lease groups is valid: only whole tokens are distributed among the lease
/// groups, and a lease group without a token grants none.
pub(super) fn parse_teams(report: &mut Report, root: &Fields<'_, '_>) -> Vec<Team> {
    let known_fields = ["name", "rate_per_s", "burst", "weight", "key_digests"];
    let mut team_names = UniqueValues::new("team name");
    let mut unique_digests = UniqueValues::new("key digest");
    let mut teams = Vec::new();
    for fields in root.tables(report, "team", &known_fields) {
        let name = fields.name(report);
        let team_name = name.as_ref().map_or("", |name| name.text);
        let rate_per_s = fields.positive_number(report, "rate_per_s", RATE_MAX as f64);
        let burst = fields.integer(report, "burst", 1..=RATE_MAX, None);
        let weight = fields.integer(report, "weight", 1..=WEIGHT_MAX, Some(1));
        let mut key_digests = Vec::new();
        for digest in fields.strings(report, "key_digests") {
            let Some(digest_bytes) = parse_digest(digest.text) else {
                let help =
                    format!("use the BLAKE3 digest of the API key, {DIGEST_HEX_DIGITS} hex digits");
                report.add(&digest.span, "not a key digest", help);
                continue;
            };
            unique_digests.insert(report, &digest.span, digest_bytes, digest.text, team_name);
            key_digests.push(digest_bytes);
        }
        if let Some(name) = name {
            team_names.insert(report, &name.span, name.text, name.text, name.text);
            teams.push(Team {
                name: name.text.into(),
                rate_per_s: rate_per_s.unwrap_or_default(),
                burst: burst.unwrap_or_default() as u32,
                weight: weight.unwrap_or_default() as u32,
                key_digests,
            });
        }
    }
    teams
}

fn parse_digest(text: &str) -> Option<[u8; 32]> {
    if text.len() != DIGEST_HEX_DIGITS {
        return None;
    }
    blake3::Hash::from_hex(text).ok().map(blake3::Hash::into)
}
