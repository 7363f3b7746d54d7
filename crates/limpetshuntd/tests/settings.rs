//! Guards against a daemon that starts with invalid settings or reports them with an exit code other
//! than 2.

use std::process::Command;

const VALID_ARGUMENTS: &str = "relay --ip 127.0.0.1 --zone zone-a --config-service 127.0.0.1:1 \
                    --vm-list 127.0.0.1:1 --admin-addr 127.0.0.1:0";

limpet_testkit::cases! {
    invalid_settings_exit_with_code_2:
    missing_role => "",
    unknown_role => "proxy",
    role_without_flags => "relay",
    missing_caller_address => "entry --ip 127.0.0.1 --zone a --config-service 127.0.0.1:1 \
                          --vm-list 127.0.0.1:1 --admin-addr 127.0.0.1:0",
    ip_is_a_name => "relay --ip here",
    port_is_too_large => "relay --relay-peer-port 70000",
    admin_address_has_no_port => "relay --admin-addr 127.0.0.1",
    unknown_flag => "relay --fast",
}

fn daemon_command(arguments: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_limpetshuntd"));
    command.args(arguments.split_whitespace());
    command
}

fn invalid_settings_exit_with_code_2(arguments: &str) {
    let output = daemon_command(arguments).output().unwrap();
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(!output.stderr.is_empty());
}

#[test]
fn an_invalid_log_filter_exits_with_code_2() {
    let output = daemon_command(VALID_ARGUMENTS)
        .args(["--log", "a=b=c"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains("--log"));
}

#[test]
fn an_invalid_environment_variable_exits_with_code_2() {
    let output = daemon_command(VALID_ARGUMENTS)
        .env("LIMPET_RELAY_PEER_PORT", "x")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains("relay-peer-port"));
}

#[test]
fn an_address_in_use_exits_with_code_1() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port().to_string();
    let output = daemon_command(VALID_ARGUMENTS)
        .args(["--relay-peer-port", &port])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains("cannot listen on"));
}
