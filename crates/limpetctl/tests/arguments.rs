//! Tests invalid command lines, the help text and a closed output pipe.
//!
//! Guards against invalid command lines that are run or that exit with a code other than 2.

use std::process::Command;

limpet_testkit::cases! {
    an_invalid_command_line_exits_with_code_2:
    no_command => &[],
    unknown_command => &["find"],
    check_without_file => &["check"],
    search_without_lookup => &["search"],
    record_without_key => &["record", "order-status"],
    entry_is_not_an_address => &["search", "stock-search", "--entry", "here"],
    deadline_of_zero => &["search", "stock-search", "--deadline-ms", "0"],
    two_bodies => &["search", "stock-search", "--body", "a", "--body-file", "b"],
    body_file_is_missing => &["search", "stock-search", "--body-file", "no-such-file"],
    key_with_line_break => &["search", "stock-search", "--key", "a\nb"],
    interval_of_zero => &["watch", "stock-search", "--interval-ms", "0"],
}

fn an_invalid_command_line_exits_with_code_2(arguments: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_limpetctl"))
        .args(arguments)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(!output.stderr.is_empty());
}

#[test]
fn an_invalid_environment_variable_exits_with_code_2() {
    let output = Command::new(env!("CARGO_BIN_EXE_limpetctl"))
        .args(["search", "stock-search"])
        .env("LIMPET_ENTRY", "nowhere")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2), "{output:?}");
}

#[test]
fn help_shows_examples_and_exit_codes_but_not_the_api_key() {
    let output = Command::new(env!("CARGO_BIN_EXE_limpetctl"))
        .args(["search", "--help"])
        .env("LIMPET_KEY", "secret-of-a-team")
        .output()
        .unwrap();
    assert!(!String::from_utf8_lossy(&output.stdout).contains("secret-of-a-team"));
    let output = Command::new(env!("CARGO_BIN_EXE_limpetctl"))
        .arg("--help")
        .output()
        .unwrap();
    let help = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        help.contains("Exit codes:") && help.contains("Examples:"),
        "{help}"
    );
}

#[test]
fn a_closed_pipe_does_not_panic() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/authority.toml");
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let output = Command::new(env!("CARGO_BIN_EXE_limpetctl"))
        .args(["check", file])
        .stdout(writer)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}
