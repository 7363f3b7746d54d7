//! Tests the commands that query an entry, against a fake entry.
//!
//! Guards against a refusal printed as an answer, a response to another request taken for the reply,
//! and an order placed twice.

use std::{
    io::{
        BufRead as _,
        BufReader,
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    process::Command,
    thread::JoinHandle,
};

/// Request line, header lines with names in lower case, and body of a request.
type ReceivedRequest = (String, Vec<String>, String);

/// Starts a fake entry that answers one request with each response, in order, and then stops.
///
/// A response is its status with optional headers, and its body, in which `REQUEST_ID` stands for the
/// identifier of the request. The thread returns the requests.
fn start_fake_entry(
    responses: &'static [(&'static str, &'static str)],
) -> (SocketAddr, JoinHandle<Vec<ReceivedRequest>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let thread = std::thread::spawn(move || {
        let serve_one = |(status_and_headers, body): &(&str, &str)| {
            let (mut stream, _) = listener.accept().unwrap();
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut head_lines = Vec::new();
            loop {
                let mut line = String::new();
                reader.read_line(&mut line).unwrap();
                if line.trim().is_empty() {
                    break;
                }
                head_lines.push(line.trim().to_owned());
            }
            let header_value = |prefix: &str| {
                let value = head_lines.iter().find_map(|line| line.strip_prefix(prefix));
                value.unwrap_or_default().to_owned()
            };
            let request_body_bytes = header_value("content-length: ").parse().unwrap_or(0);
            let mut request_body = vec![0; request_body_bytes];
            reader.read_exact(&mut request_body).unwrap();
            let body = body.replace("REQUEST_ID", &header_value("x-limpet-request-id: "));
            let body_bytes = body.len();
            write!(
                stream,
                "HTTP/1.1 {status_and_headers}\r\ncontent-length: {body_bytes}\r\nconnection: close\r\n\r\n{body}"
            )
            .unwrap();
            let request_line = head_lines.remove(0);
            (
                request_line,
                head_lines,
                String::from_utf8(request_body).unwrap(),
            )
        };
        responses.iter().map(serve_one).collect()
    });
    (addr, thread)
}

/// Runs limpetctl with the entry at an address; returns the exit code and the standard output.
fn limpetctl(entry_addr: SocketAddr, arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_limpetctl"))
        .args(arguments)
        .args([
            "--entry",
            &entry_addr.to_string(),
            "--key",
            "example-key-retail",
        ])
        .output()
        .unwrap();
    (
        output.status.code(),
        String::from_utf8(output.stdout).unwrap(),
    )
}

const COMPLETE: &str = r#"{"request_id":"REQUEST_ID","lookup":"s","snapshot":4,"complete":true,
    "coverage":{"answered":[{"shard":"a","start":0,"end":4294967296}],"missing":[]},
    "found":true,"results":[{"shard":"a","body":"oak"}]}"#;
const PARTIAL: &str = r#"{"request_id":"REQUEST_ID","lookup":"s","snapshot":4,"complete":false,
    "coverage":{"answered":[{"shard":"a","start":0,"end":9}],
    "missing":[{"shard":"b","start":9,"end":4294967296,"reason":"no_target"}]},
    "found":false,"results":[]}"#;
const WRONG_REQUEST_ID: &str = r#"{"request_id":"00000000000000000000000000000001","lookup":"s",
    "snapshot":4,"complete":true,"coverage":{"answered":[],"missing":[]},"results":[]}"#;
const RATE_LIMITED: &str = r#"{"code":"rate_limited","not_run":true,"message":"over the rate",
    "request_id":"REQUEST_ID"}"#;
const OUTCOME_UNKNOWN: &str = r#"{"code":"outcome_unknown","not_run":false,"message":"issuer is gone",
    "request_id":"REQUEST_ID"}"#;
const TICKET_REQUIRED: &str = r#"{"code":"ticket_required","not_run":true,"message":"send again",
    "request_id":"REQUEST_ID"}"#;

limpet_testkit::cases! {
    a_reply_is_printed_with_its_exit_code:
    complete => (&[("200 OK", COMPLETE)], 0, "coverage: complete, 1 of 1 shards, snapshot 4"),
    partial => (&[("200 OK", PARTIAL)], 3, "missing: b 9..4294967296: no_target"),
    rate_limited =>
        (&[("429 Too Many Requests", RATE_LIMITED)], 4, "refused: rate_limited (HTTP 429"),
    outcome_unknown =>
        (&[("502 Bad Gateway", OUTCOME_UNKNOWN)], 5, "refused: outcome_unknown (HTTP 502"),
    response_to_another_request =>
        (&[("200 OK", WRONG_REQUEST_ID)], 6, "unreadable: HTTP 200: response to request 0000"),
    not_json => (&[("200 OK", "oak")], 6, "unreadable: HTTP 200"),
}

fn a_reply_is_printed_with_its_exit_code(
    (responses, expected_code, expected_text): (&'static [(&'static str, &'static str)], i32, &str),
) {
    let (addr, entry_thread) = start_fake_entry(responses);
    let (exit_code, printed) = limpetctl(addr, &["search", "stock-search", "--body", "oak 4mm"]);
    assert_eq!(exit_code, Some(expected_code), "{printed}");
    assert!(printed.contains(expected_text), "{printed}");
    let (request_line, headers, body) = entry_thread.join().unwrap().remove(0);
    assert_eq!(request_line, "POST /v1/lookups/stock-search HTTP/1.1");
    assert!(headers.contains(&"authorization: Bearer example-key-retail".to_owned()));
    assert!(headers.contains(&"x-limpet-deadline-ms: 320".to_owned()));
    assert_eq!(body, "oak 4mm");
}

#[test]
fn an_order_without_a_ticket_is_sent_again_once_with_the_issued_ticket() {
    let (addr, entry_thread) = start_fake_entry(&[
        (
            "428 Precondition Required\r\nx-limpet-ticket: t-1",
            TICKET_REQUIRED,
        ),
        ("200 OK", COMPLETE),
    ]);
    let (exit_code, printed) = limpetctl(addr, &["order", "place-order", "A-1", "--body", "12"]);
    assert_eq!(exit_code, Some(0), "{printed}");
    let requests = entry_thread.join().unwrap();
    let ticket = "x-limpet-ticket: t-1".to_owned();
    assert!(!requests[0].1.contains(&ticket));
    assert!(requests[1].1.contains(&ticket));
    assert!(requests[1].1.contains(&"x-limpet-record: A-1".to_owned()));
    assert_eq!(requests[1].2, "12");
}

#[test]
fn an_order_with_a_refused_ticket_is_not_sent_again() {
    let (addr, entry_thread) = start_fake_entry(&[("428 Precondition Required", TICKET_REQUIRED)]);
    let (exit_code, _) = limpetctl(addr, &["order", "place-order", "A-1", "--ticket", "t-0"]);
    assert_eq!(exit_code, Some(4));
    assert_eq!(entry_thread.join().unwrap().len(), 1);
}

#[test]
fn watch_prints_one_line_per_query() {
    let (addr, entry_thread) = start_fake_entry(&[("200 OK", COMPLETE), ("200 OK", PARTIAL)]);
    let arguments = [
        "watch",
        "stock-search",
        "--count",
        "2",
        "--interval-ms",
        "10",
    ];
    let (exit_code, printed) = limpetctl(addr, &arguments);
    assert_eq!(exit_code, Some(3), "{printed}");
    let lines: Vec<&str> = printed.lines().collect();
    assert!(
        lines[0].ends_with("complete 1/1 shards found=true"),
        "{printed}"
    );
    assert!(
        lines[1].ends_with("partial 1/2 shards found=false"),
        "{printed}"
    );
    entry_thread.join().unwrap();
}

#[test]
fn a_closed_port_exits_with_code_6() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(limpetctl(addr, &["search", "stock-search"]).0, Some(6));
}
