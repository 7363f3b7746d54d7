//! Measures the time until a configuration change is in force on 8 VMs, and the rate of calls to the
//! configuration service.
//!
//! Run it as `cargo run -p limpetshuntd --example config_spread -- CHANGES KEYS`: the number of changes
//! (200 by default) and of API keys in the configuration text (0 by default). Each key adds 68 bytes to the
//! text.

#[path = "../tests/cluster/mod.rs"]
mod cluster;

use std::time::{
    Duration,
    Instant, //
};

use cluster::{
    ControlCluster,
    config_text,
    stop_nodes,
    wait_until, //
};
use limpet_types::Role;

const VM_COUNT: usize = 8;
const ZONE_COUNT: usize = 4;
/// Delay between two changes; not a divisor of the 500 ms of a watch request, so that the changes do not
/// always come at the same time after the start of a request.
const CHANGE_DELAY: Duration = Duration::from_millis(130);

#[tokio::main(worker_threads = 4)]
async fn main() {
    let change_count: usize = std::env::args()
        .nth(1)
        .and_then(|count| count.parse().ok())
        .unwrap_or(200);
    let key_count: u32 = std::env::args()
        .nth(2)
        .and_then(|count| count.parse().ok())
        .unwrap_or(0);
    let team = team_with_keys(key_count);
    let cluster = ControlCluster::new((82, 1), ZONE_COUNT).await;
    cluster
        .platform
        .set_config_text(&format!("{}{team}", config_text(VM_COUNT)));
    cluster.list_vms(0..VM_COUNT);
    let mut nodes = Vec::new();
    for vm_index in 0..VM_COUNT {
        for role in [Role::Entry, Role::Relay] {
            nodes.push(cluster.start(vm_index, role).await);
        }
    }
    wait_until("all serve", || nodes.iter().all(cluster::Node::is_serving)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let idle_calls_per_s = calls_per_second(&cluster, Duration::from_secs(5)).await;
    let mut in_force_delays = Vec::with_capacity(change_count);
    let (started, call_count_before) = (Instant::now(), cluster.platform.config_calls().total);
    for change_index in 0..change_count {
        let revision = cluster
            .platform
            .set_config_text(&format!("{}{team}", config_text(change_index + 1)));
        let is_in_force = || nodes.iter().all(|node| node.revision() >= revision);
        in_force_delays.push(wait_until("the change is in force", is_in_force).await);
        tokio::time::sleep(CHANGE_DELAY).await;
    }
    let busy_calls_per_s = (cluster.platform.config_calls().total - call_count_before) as f64
        / started.elapsed().as_secs_f64();
    in_force_delays.sort_unstable();
    let percentile =
        |share: f64| in_force_delays[((in_force_delays.len() - 1) as f64 * share) as usize];
    println!(
        "{change_count} changes on {} processes of {VM_COUNT} VMs in {ZONE_COUNT} zones: \
         p50 {:?}, p99 {:?}, max {:?}",
        nodes.len(),
        percentile(0.5),
        percentile(0.99),
        percentile(1.0),
    );
    println!(
        "calls a second: {idle_calls_per_s:.1} idle, {busy_calls_per_s:.1} with {:.1} changes a second",
        change_count as f64 / started.elapsed().as_secs_f64()
    );
    stop_nodes(nodes).await;
}

/// Returns a team with `key_count` API keys, in the syntax of the configuration text.
fn team_with_keys(key_count: u32) -> String {
    let digests: Vec<String> = (0..key_count)
        .map(|key| format!("\"{}\"", blake3::hash(&key.to_be_bytes())))
        .collect();
    let digests = digests.join(",\n");
    format!("[[team]]\nname = \"t\"\nrate_per_s = 1\nburst = 4\nkey_digests = [{digests}]\n")
}

/// Returns the rate of calls to the configuration service during `duration`.
async fn calls_per_second(cluster: &ControlCluster, duration: Duration) -> f64 {
    let call_count_before = cluster.platform.config_calls().total;
    tokio::time::sleep(duration).await;
    (cluster.platform.config_calls().total - call_count_before) as f64 / duration.as_secs_f64()
}
