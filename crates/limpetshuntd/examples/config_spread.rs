//! Measures how long a change takes to be in force on 8 VMs, and the calls that this costs.
//!
//! `cargo run -p limpetshuntd --example config_spread -- 200 0`: number of changes, and API keys in
//! the text, 68 bytes each.

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

const VMS: usize = 8;
const ZONES: usize = 4;
/// Time between two changes; not a multiple of the wait of a watch.
const PAUSE: Duration = Duration::from_millis(130);

#[tokio::main(worker_threads = 4)]
async fn main() {
    let changes: usize = std::env::args()
        .nth(1)
        .and_then(|count| count.parse().ok())
        .unwrap_or(200);
    let keys: u32 = std::env::args()
        .nth(2)
        .and_then(|count| count.parse().ok())
        .unwrap_or(0);
    let keys = team(keys);
    let cluster = ControlCluster::new((82, 1), ZONES).await;
    cluster
        .platform
        .set_text(&format!("{}{keys}", config_text(VMS)));
    cluster.list_vms(0..VMS);
    let mut nodes = Vec::new();
    for vm in 0..VMS {
        for role in [Role::Entry, Role::Relay] {
            nodes.push(cluster.start(vm, role).await);
        }
    }
    wait_until("all serve", || nodes.iter().all(cluster::Node::is_serving)).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let idle = calls_per_second(&cluster, Duration::from_secs(5)).await;
    let mut times = Vec::with_capacity(changes);
    let (started, before) = (Instant::now(), cluster.platform.calls().total);
    for change in 0..changes {
        let revision = cluster
            .platform
            .set_text(&format!("{}{keys}", config_text(change + 1)));
        let everywhere = || nodes.iter().all(|node| node.revision() >= revision);
        times.push(wait_until("the change is in force", everywhere).await);
        tokio::time::sleep(PAUSE).await;
    }
    let busy = (cluster.platform.calls().total - before) as f64 / started.elapsed().as_secs_f64();
    times.sort_unstable();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!(
        "{changes} changes on {} processes of {VMS} VMs in {ZONES} zones: p50 {:?}, p99 {:?}, max {:?}",
        nodes.len(),
        at(0.5),
        at(0.99),
        at(1.0),
    );
    println!(
        "calls a second: {idle:.1} idle, {busy:.1} with {:.1} changes a second",
        changes as f64 / started.elapsed().as_secs_f64()
    );
    stop_nodes(nodes).await;
}

fn team(keys: u32) -> String {
    let digests: Vec<String> = (0..keys)
        .map(|key| format!("\"{}\"", blake3::hash(&key.to_be_bytes())))
        .collect();
    let digests = digests.join(",\n");
    format!("[[team]]\nname = \"t\"\nrate_per_s = 1\nburst = 4\nkey_digests = [{digests}]\n")
}

async fn calls_per_second(cluster: &ControlCluster, time: Duration) -> f64 {
    let before = cluster.platform.calls().total;
    tokio::time::sleep(time).await;
    (cluster.platform.calls().total - before) as f64 / time.as_secs_f64()
}
