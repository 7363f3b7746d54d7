//! Memory of many callers that read nothing; a file of its own, because it measures the memory of the process.

mod support;

use std::time::Duration;

use support::{
    IDLE_TIMEOUT,
    get,
    send_without_reading,
    start_large_answer_gateway, //
};
use tokio::time::sleep;

/// Returns the resident memory of this process.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib: usize = line
        .unwrap()
        .split_whitespace()
        .nth(1)
        .unwrap()
        .parse()
        .unwrap();
    kib << 10
}

/// Guards against many callers that read their large answers slowly or not at all: memory stays bounded, and other callers
/// are served.
#[tokio::test]
async fn many_slow_readers_take_bounded_memory() {
    let (gateway, _targets) = start_large_answer_gateway(20 << 20).await;
    let addr = gateway.caller_addr;
    let before = resident_bytes();
    let mut peak = before;
    let mut readers = Vec::new();
    for number in 0..24 {
        let path = match number % 2 {
            0 => "/merged/a",
            _ => "/large/a",
        };
        readers.push(send_without_reading(addr, path).await);
        sleep(Duration::from_millis(15)).await;
        assert_eq!(get(addr, "/small/a").await.status, 200);
        peak = peak.max(resident_bytes());
    }
    // 20 MB of bodies, and what they are merged and copied to on both sides of the process meanwhile.
    assert!(peak - before < 60 << 20, "{} bytes", peak - before);
    sleep(IDLE_TIMEOUT * 3).await;
    assert_eq!(get(addr, "/large/a").await.status, 200);
    drop(readers);
}
