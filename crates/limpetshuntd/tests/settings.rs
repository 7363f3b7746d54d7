//! Guards against a daemon that starts with settings it cannot use or ends with another code than 2.

use std::process::Command;

const GOOD: &str = "relay --ip 127.0.0.1 --zone zone-a --config-service 127.0.0.1:1 \
                    --vm-list 127.0.0.1:1 --admin-addr 127.0.0.1:0";

limpet_testkit::cases! {
    bad_settings_end_with_code_2:
    no_role => "",
    unknown_role => "proxy",
    nothing_else => "relay",
    no_caller_address => "entry --ip 127.0.0.1 --zone a --config-service 127.0.0.1:1 \
                          --vm-list 127.0.0.1:1 --admin-addr 127.0.0.1:0",
    ip_is_a_name => "relay --ip here",
    port_is_too_large => "relay --relay-peer-port 70000",
    admin_address_has_no_port => "relay --admin-addr 127.0.0.1",
    unknown_flag => "relay --fast",
}

fn daemon(arguments: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_limpetshuntd"));
    command.args(arguments.split_whitespace());
    command
}

fn bad_settings_end_with_code_2(arguments: &str) {
    let output = daemon(arguments).output().unwrap();
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(!output.stderr.is_empty());
}

#[test]
fn a_bad_log_filter_ends_with_code_2() {
    let output = daemon(GOOD).args(["--log", "a=b=c"]).output().unwrap();
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains("--log"));
}

#[test]
fn a_bad_environment_variable_ends_with_code_2() {
    let output = daemon(GOOD)
        .env("LIMPET_RELAY_PEER_PORT", "x")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains("relay-peer-port"));
}

#[test]
fn an_address_that_cannot_be_bound_is_no_settings_error() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let port = taken.local_addr().unwrap().port().to_string();
    let output = daemon(GOOD)
        .args(["--relay-peer-port", &port])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains("cannot listen on"));
}
