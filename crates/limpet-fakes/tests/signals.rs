//! Guards against a fake program that exits with an error code after SIGTERM or SIGINT, which a script
//! could not tell from a crash.

use std::{
    io::{
        BufRead,
        BufReader, //
    },
    process::{
        Command,
        Stdio, //
    },
};

/// Program and flags of the fake platform.
const PLATFORM: (&str, &[&str]) = (
    env!("CARGO_BIN_EXE_fake-platform"),
    &["--addr", "127.0.0.1:0"],
);
/// Program and flags of a fake target.
const TARGET: (&str, &[&str]) = (
    env!("CARGO_BIN_EXE_fake-target"),
    &["--listen", "127.0.0.1:0"],
);

limpet_testkit::cases! {
    a_signal_ends_the_program_with_code_0:
    platform_at_sigterm => (PLATFORM, "-TERM"),
    platform_at_sigint => (PLATFORM, "-INT"),
    target_at_sigterm => (TARGET, "-TERM"),
    target_at_sigint => (TARGET, "-INT"),
}

fn a_signal_ends_the_program_with_code_0(((program, flags), kill_option): ((&str, &[&str]), &str)) {
    let mut child = Command::new(program)
        .args(flags)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let log_reader = BufReader::new(child.stderr.take().unwrap());
    let is_serving = log_reader
        .lines()
        .any(|line| line.unwrap().contains("serving"));
    assert!(is_serving, "the program ended before it served");
    let id = child.id().to_string();
    let kill_status = Command::new("kill")
        .args([kill_option, &id])
        .status()
        .unwrap();
    assert!(kill_status.success());
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
