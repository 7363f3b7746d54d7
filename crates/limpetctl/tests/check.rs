//! Tests `limpetctl check`.
//!
//! Guards against problems printed without a position, and against exit codes that scripts cannot
//! distinguish.

use std::{
    path::PathBuf,
    process::{
        Command,
        Output, //
    },
};

/// Runs limpetctl with these arguments.
fn limpetctl(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_limpetctl"))
        .args(arguments)
        .output()
        .unwrap()
}

/// Checks a text; returns the exit code and the output, with the path of the file replaced by `FILE`.
fn check(text: &[u8], flags: &[&str]) -> (Option<i32>, String) {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("fleet.toml");
    std::fs::write(&file, text).unwrap();
    let mut arguments = vec!["check", file.to_str().unwrap()];
    arguments.extend(flags);
    let output = limpetctl(&arguments);
    let stdout = String::from_utf8(output.stdout).unwrap();
    let printed = stdout.replace(file.to_str().unwrap(), "FILE");
    (output.status.code(), printed)
}

/// Reads a configuration from the `examples` directory.
fn read_example(name: &str) -> Vec<u8> {
    let workspace_root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    std::fs::read(workspace_root.join("examples").join(name)).unwrap()
}

limpet_testkit::cases! {
    a_shipped_example_has_no_problems:
    authority => "authority.toml",
    peachtree => "peachtree.toml",
}

fn a_shipped_example_has_no_problems(name: &str) {
    let (code, printed) = check(&read_example(name), &[]);
    assert_eq!(code, Some(0), "{printed}");
    assert!(printed.starts_with("FILE: ok: "), "{printed}");
}

mod problems {
    use super::check;

    limpet_testkit::cases! {
        a_problem_is_printed_with_its_position:
        number_out_of_range => (&b"[fleet]\nvms_max = 0\n"[..], "FILE:2:11: "),
        unknown_field => (&b"[fleet]\nvms_max = 3\nfoo = 1\n"[..], "FILE:3:1: "),
        not_toml => (&b"[fleet\n"[..], "FILE:1:"),
        not_utf8 => (&b"[fleet]\n# \xff\n"[..], "FILE:2:3: bytes that are not UTF-8; save"),
    }

    fn a_problem_is_printed_with_its_position((text, expected_prefix): (&[u8], &str)) {
        let (code, printed) = check(text, &[]);
        assert_eq!(code, Some(1), "{printed}");
        assert!(
            printed
                .lines()
                .any(|line| line.starts_with(expected_prefix)),
            "{printed}"
        );
    }
}

#[test]
fn problems_are_listed_as_json() {
    let (code, printed) = check(b"[fleet]\nvms_max = 0\n", &["--json"]);
    assert_eq!(code, Some(1));
    let problems: serde_json::Value = serde_json::from_str(&printed).unwrap();
    assert_eq!(problems[0]["line"], 2);
    assert_eq!(problems[0]["column"], 11);
    assert!(
        problems[0]["right"]
            .as_str()
            .is_some_and(|help| !help.is_empty())
    );
}

#[test]
fn a_missing_file_exits_with_code_2() {
    let output = limpetctl(&["check", "no-such-file.toml"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no-such-file.toml"));
}
