//! Guards against protocol changes that grant one lease twice or too many tokens.
//!
//! Each spec must hold. Each broken variant of a spec must yield a counterexample, so that a spec that
//! checks nothing fails.

use std::{
    path::Path,
    time::Instant, //
};

use tla_checker::{
    ast::{
        Env,
        Value, //
    },
    checker::{
        CheckResult,
        CheckerConfig,
        check, //
    },
    parser::parse,
};

/// Maximum number of states that a check explores.
const STATES_MAX: usize = 3_000_000;
/// Maximum number of steps from the first state.
const DEPTH_MAX: usize = 400;
/// Time limit of one check. It ends only checks that hang, so that the result does not depend on the speed
/// of the machine: a case takes 25 s on an idle machine, and a limit of 55 s ended it on a busy one.
const TIMEOUT_S: u64 = 600;

/// Values of the constants of a spec, by name.
type Constants = Vec<(&'static str, Value)>;

fn int_value(value: i64) -> Value {
    Value::Int(value)
}

fn model_values(values: &[&str]) -> Value {
    Value::set(
        values
            .iter()
            .map(|value| Value::Model((*value).into()))
            .collect(),
    )
}

fn election_constants(
    abstain: bool,
    max_time: i64,
    max_rounds: i64,
    max_restarts: i64,
) -> Constants {
    vec![
        ("Slots", model_values(&["s1", "s2", "s3"])),
        ("Candidates", model_values(&["a", "b"])),
        ("Ttl", int_value(1)),
        ("Lease", int_value(1)),
        ("MaxTime", int_value(max_time)),
        ("MaxAsks", int_value(1)),
        ("MaxRounds", int_value(max_rounds)),
        ("MaxRestarts", int_value(max_restarts)),
        ("Abstain", Value::Bool(abstain)),
    ]
}

/// Rules of the token protocol that a variant keeps; each is a constant of the spec.
#[derive(Clone, Copy)]
struct TokenRules {
    count_outstanding: bool,
    wait_for_tokens: bool,
    keyed_reports: bool,
}

const ALL_RULES: TokenRules = TokenRules {
    count_outstanding: true,
    wait_for_tokens: true,
    keyed_reports: true,
};

fn token_constants(rules: TokenRules, burst: i64, max_time: i64) -> Constants {
    vec![
        ("Burst", int_value(burst)),
        ("Rate", int_value(1)),
        ("Ttl", int_value(2)),
        ("MaxTime", int_value(max_time)),
        ("CountOutstanding", Value::Bool(rules.count_outstanding)),
        ("WaitForTokens", Value::Bool(rules.wait_for_tokens)),
        ("KeyedReports", Value::Bool(rules.keyed_reports)),
    ]
}

fn ownership_constants(check_term: bool, count_from_send: bool, grace: i64) -> Constants {
    vec![
        ("Relays", model_values(&["a", "b"])),
        ("Ttl", int_value(3)),
        ("Lease", int_value(2)),
        ("Grace", int_value(grace)),
        ("MaxTime", int_value(4)),
        ("MaxRequests", int_value(3)),
        ("CheckTerm", Value::Bool(check_term)),
        ("CountFromSend", Value::Bool(count_from_send)),
    ]
}

/// Checks a spec of the folder `specs` with these constants.
fn check_spec(file_name: &str, constants: Constants) -> CheckResult {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("specs")
        .join(file_name);
    let text = std::fs::read_to_string(path).unwrap();
    let spec = parse(&text).expect("the spec parses");
    let mut env = Env::new();
    for (name, value) in constants {
        env.insert(name.into(), value);
    }
    let symmetric_names = ["Slots", "Candidates", "Relays"].iter();
    let symmetric_constants = symmetric_names.filter(|name| env.contains_key(&(**name).into()));
    let config = CheckerConfig {
        symmetric_constants: symmetric_constants.map(|name| (*name).into()).collect(),
        max_states: STATES_MAX,
        max_depth: DEPTH_MAX,
        max_seconds: Some(TIMEOUT_S),
        // Each spec has an explicit last step, so any other state without a step is a deadlock.
        allow_deadlock: false,
        quiet: true,
        verbosity: 0,
        ..CheckerConfig::default()
    };
    check(&spec, &env, &config)
}

limpet_testkit::cases! {
    spec_holds:
    one_coordinator => ("Election.tla", election_constants(true, 3, 1, 1)),
    one_coordinator_with_resignation => ("Election.tla", election_constants(true, 2, 2, 0)),
    single_tokens_within_limit => ("Tokens.tla", token_constants(ALL_RULES, 1, 4)),
    several_tokens_within_limit => ("Tokens.tla", token_constants(ALL_RULES, 2, 2)),
    ownership_is_exclusive => ("Ownership.tla", ownership_constants(true, true, 3)),
}

fn spec_holds((spec, constants): (&str, Constants)) {
    let started_at = Instant::now();
    match check_spec(spec, constants) {
        CheckResult::Ok(stats) => {
            println!(
                "{spec}: {} states, {:?}",
                stats.states_explored,
                started_at.elapsed()
            );
            assert!(
                stats.states_explored > 1000,
                "the bounds leave nothing to check"
            );
        }
        CheckResult::InvariantViolation(counterexample, _) => {
            panic!("{spec}: {:?}", counterexample.actions)
        }
        other => panic!("{spec}: {other:?}"),
    }
}

limpet_testkit::cases! {
    broken_variant_violates_invariant:
    no_abstention_after_restart => ("Election.tla", election_constants(false, 2, 1, 1)),
    outstanding_tokens_not_counted => ("Tokens.tla", token_constants(TokenRules { count_outstanding: false, ..ALL_RULES }, 1, 3)),
    votes_returned_with_tokens_outstanding => ("Tokens.tla", token_constants(TokenRules { wait_for_tokens: false, ..ALL_RULES }, 1, 3)),
    reports_without_their_grant => ("Tokens.tla", token_constants(TokenRules { keyed_reports: false, ..ALL_RULES }, 1, 3)),
    claim_without_term => ("Ownership.tla", ownership_constants(false, true, 3)),
    ownership_counted_from_the_reply => ("Ownership.tla", ownership_constants(true, false, 3)),
    no_grace_period => ("Ownership.tla", ownership_constants(true, true, 0)),
}

fn broken_variant_violates_invariant((spec, constants): (&str, Constants)) {
    match check_spec(spec, constants) {
        CheckResult::InvariantViolation(counterexample, _) => {
            println!(
                "{spec}: counterexample of {} states",
                counterexample.trace.len()
            );
        }
        other => panic!("no counterexample: {other:?}"),
    }
}
