//! Tests the control plane: a configuration must spread to all nodes, must never revert, and must not
//! count as fresh for too long; gossip must stay small.

mod cluster;

use std::{
    sync::atomic::Ordering,
    time::{
        Duration,
        Instant, //
    },
};

use cluster::{
    ControlCluster,
    FRESHNESS_LIMIT,
    Node,
    config_text,
    stop_nodes,
    wait_until, //
};
use limpet_decide::quarantine::Restriction;
use limpet_types::{
    Phase,
    Role, //
};

/// Time that a test allows in addition to a time limit, because the machine may be busy.
const SLACK: Duration = Duration::from_secs(1);

/// Starts relays on the VMs `0..relay_count` in two zones, and waits until all serve and are fresh.
async fn start_serving_relays(subnet: (u8, u8), relay_count: usize) -> (ControlCluster, Vec<Node>) {
    let cluster = ControlCluster::new(subnet, 2).await;
    cluster.platform.set_config_text(&config_text(relay_count));
    cluster.list_vms(0..relay_count);
    let mut nodes = Vec::new();
    for vm_index in 0..relay_count {
        nodes.push(cluster.start(vm_index, Role::Relay).await);
    }
    wait_until("all serve", || {
        nodes
            .iter()
            .all(|node| node.is_serving() && node.is_fresh())
    })
    .await;
    (cluster, nodes)
}

/// Waits until all nodes have a revision in force.
async fn wait_for_revision(nodes: &[Node], revision: u64) {
    wait_until("the revision is in force on all nodes", || {
        nodes.iter().all(|node| node.revision() == revision)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_reach_all_nodes_with_few_reads_of_the_service() {
    let (cluster, nodes) = start_serving_relays((81, 1), 8).await;
    for revision in 2..6 {
        assert_eq!(
            cluster.platform.set_config_text(&config_text(revision)),
            revision as u64
        );
        wait_for_revision(&nodes, revision as u64).await;
    }
    wait_until("each node knows all nodes", || {
        nodes.iter().all(|node| {
            let members = node.context.board.members.load_full();
            members.nodes_with_role(Role::Relay).count() == 8
        })
    })
    .await;
    // Four readers make two watch requests a second each; the rest of the upper bound is
    // for changes of the text and of the readers.
    let call_count_before = cluster.platform.config_calls().total;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let call_count = cluster.platform.config_calls().total - call_count_before;
    assert!((8..=24).contains(&call_count), "{call_count} calls in 2 s");
    stop_nodes(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stale_reads_neither_revert_the_revision_nor_count_as_evidence() {
    let (cluster, nodes) = start_serving_relays((81, 2), 4).await;
    cluster.platform.set_config_text(&config_text(9));
    wait_for_revision(&nodes, 2).await;
    cluster.platform.set_stale_by(1);
    wait_until("no node is fresh after stale reads", || {
        assert!(nodes.iter().all(|node| node.revision() == 2));
        nodes.iter().all(|node| !node.is_fresh())
    })
    .await;
    cluster.platform.set_stale_by(0);
    cluster.platform.set_config_text(&config_text(10));
    wait_for_revision(&nodes, 3).await;
    wait_until("all nodes are fresh again", || {
        nodes.iter().all(Node::is_fresh)
    })
    .await;
    stop_nodes(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_isolated_node_is_stale_within_the_freshness_limit() {
    let (cluster, nodes) = start_serving_relays((81, 3), 4).await;
    nodes[0].config_service.set_down(true);
    cluster.isolate(&[&nodes[0]]);
    let elapsed = wait_until("the isolated node is stale", || !nodes[0].is_fresh()).await;
    assert!(elapsed <= FRESHNESS_LIMIT + SLACK, "{elapsed:?}");
    assert!(nodes[1..].iter().all(Node::is_fresh));
    cluster.platform.set_config_text(&config_text(9));
    wait_for_revision(&nodes[1..], 2).await;
    assert_eq!(nodes[0].revision(), 1);
    cluster.isolate(&[]);
    wait_for_revision(&nodes, 2).await;
    wait_until("the node is fresh by evidence from its peers", || {
        nodes[0].is_fresh()
    })
    .await;
    stop_nodes(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_stay_fresh_in_an_outage_for_all_after_one_process_stopped() {
    let (_cluster, mut nodes) = start_serving_relays((81, 4), 4).await;
    nodes.pop().unwrap().stop().await;
    for node in &nodes {
        node.config_service.set_down(true);
    }
    let started = Instant::now();
    while started.elapsed() < FRESHNESS_LIMIT * 3 {
        assert!(
            nodes.iter().all(Node::is_fresh),
            "stale after {:?}",
            started.elapsed()
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    stop_nodes(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_are_stale_in_an_outage_until_the_vm_list_drops_a_silent_peer() {
    let (cluster, nodes) = start_serving_relays((81, 5), 4).await;
    let (silent_node, other_nodes) = nodes.split_first().unwrap();
    cluster.isolate(&[silent_node]);
    for node in &nodes {
        node.config_service.set_down(true);
    }
    let elapsed = wait_until("the other nodes are stale", || {
        other_nodes.iter().all(|node| !node.is_fresh())
    })
    .await;
    assert!(elapsed <= FRESHNESS_LIMIT * 2 + SLACK, "{elapsed:?}");
    cluster.list_vms(1..4);
    wait_until(
        "the other nodes are fresh without the peer on the VM list",
        || other_nodes.iter().all(Node::is_fresh),
    )
    .await;
    assert!(!silent_node.is_fresh());
    cluster.isolate(&[]);
    stop_nodes(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_text_is_refused_and_the_text_in_force_still_spreads() {
    let (cluster, mut nodes) = start_serving_relays((81, 6), 3).await;
    cluster.platform.set_config_text("fleet = { vms_max = 0 }");
    let call_count_before = cluster.platform.config_calls().total;
    wait_until("the invalid text was read", || {
        cluster.platform.config_calls().total > call_count_before + 10
    })
    .await;
    cluster.list_vms(0..4);
    nodes.push(cluster.start(3, Role::Relay).await);
    wait_for_revision(&nodes, 1).await;
    wait_until("all serve", || {
        nodes
            .iter()
            .all(|node| node.is_serving() && node.is_fresh())
    })
    .await;
    // Without the report, an operator sees that the old text stays in force, but not why.
    let refused_texts = |node: &Node| node.context.board.refused_texts.load_full();
    wait_until("a node reports the refused text", || {
        nodes.iter().any(|node| !refused_texts(node).is_empty())
    })
    .await;
    for text in nodes.iter().flat_map(|node| refused_texts(node).to_vec()) {
        assert_eq!(text.revision, 2);
        assert!(text.problems[0].contains("vms_max"), "{text:?}");
    }
    cluster.platform.set_config_text(&config_text(9));
    wait_for_revision(&nodes, 3).await;
    wait_until("no node reports the refused text any more", || {
        nodes.iter().all(|node| refused_texts(node).is_empty())
    })
    .await;
    stop_nodes(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_does_not_serve_while_its_only_listed_peer_is_silent() {
    let cluster = ControlCluster::new((81, 7), 1).await;
    cluster.platform.set_config_text(&config_text(2));
    cluster.list_vms(0..2);
    let silent_node = cluster.start(1, Role::Relay).await;
    cluster.isolate(&[&silent_node]);
    let node = cluster.start(0, Role::Relay).await;
    wait_for_revision(std::slice::from_ref(&node), 1).await;
    tokio::time::sleep(FRESHNESS_LIMIT).await;
    assert!(
        !node.is_serving(),
        "the node serves although the silent peer may have a newer text"
    );
    cluster.isolate(&[]);
    wait_until("the node serves", || node.is_serving()).await;
    stop_nodes(vec![node, silent_node]).await;
}

/// 2,900 VMs a day are replaced: if new nodes could not serve in an outage, a long outage would leave no
/// serving nodes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_starts_in_an_outage_serves_if_its_peers_do() {
    let (cluster, mut nodes) = start_serving_relays((81, 13), 3).await;
    for node in &nodes {
        node.config_service.set_down(true);
    }
    tokio::time::sleep(FRESHNESS_LIMIT * 2).await;
    assert!(nodes.iter().all(Node::is_fresh));
    cluster.list_vms(0..4);
    nodes.push(
        cluster
            .start_with_config_service(3, Role::Relay, true)
            .await,
    );
    let elapsed = wait_until("the new node serves", || nodes[3].is_serving()).await;
    println!("a node that starts in an outage serves after {elapsed:?}");
    wait_until("all nodes are fresh", || nodes.iter().all(Node::is_fresh)).await;
    assert_eq!(nodes[3].revision(), 1);
    stop_nodes(nodes).await;
}

/// All nodes may have read the same stale text before the service went down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_that_all_start_in_an_outage_do_not_serve() {
    let cluster = ControlCluster::new((81, 14), 1).await;
    cluster.platform.set_config_text(&config_text(2));
    // The silent listed peer keeps both nodes from serving while they can read the service.
    cluster.list_vms(0..3);
    let silent_node = cluster.start(0, Role::Relay).await;
    cluster.isolate(&[&silent_node]);
    let mut nodes = Vec::new();
    for vm_index in 1..3 {
        nodes.push(cluster.start(vm_index, Role::Relay).await);
    }
    wait_for_revision(&nodes, 1).await;
    for node in &nodes {
        node.config_service.set_down(true);
    }
    // After this time the nodes' reads of the service no longer count as evidence.
    tokio::time::sleep(FRESHNESS_LIMIT + SLACK).await;
    cluster.list_vms(1..3);
    let are_fresh = || nodes.iter().all(Node::is_fresh);
    wait_until(
        "both nodes find that the service is down for all",
        are_fresh,
    )
    .await;
    tokio::time::sleep(SLACK).await;
    assert!(
        !nodes.iter().any(Node::is_serving),
        "a node serves although nothing shows that its text is current"
    );
    nodes.push(silent_node);
    stop_nodes(nodes).await;
}

/// If idle exchanges grew, the control traffic of a node would exceed 8 KB/s at the design size.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_exchanges_stay_within_the_traffic_budget() {
    let (cluster, nodes) = start_serving_relays((81, 8), 8).await;
    for (group, node) in nodes.iter().take(4).enumerate() {
        node.context
            .board
            .coordinated_groups
            .store(vec![group as u16].into());
    }
    wait_until("each node knows all coordinators", || {
        nodes.iter().all(|node| {
            let members = node.context.board.members.load_full();
            let coordinators = members.nodes_with_role(Role::Relay);
            coordinators
                .filter(|member| !member.record.coordinated_groups.is_empty())
                .count()
                == 4
        })
    })
    .await;
    let read_traffic = || {
        let traffic = &cluster.traffic;
        [
            &traffic.exchange_count,
            &traffic.request_bytes,
            &traffic.reply_bytes,
        ]
        .map(|count| count.load(Ordering::Relaxed))
    };
    let traffic_before = read_traffic();
    wait_until("enough exchanges", || {
        read_traffic()[0] >= traffic_before[0] + 200
    })
    .await;
    let traffic_after = read_traffic();
    let [exchange_count, request_bytes, reply_bytes] =
        [0, 1, 2].map(|index| traffic_after[index] - traffic_before[index]);
    println!(
        "idle exchange: request {} bytes, reply {} bytes",
        request_bytes / exchange_count,
        reply_bytes / exchange_count
    );
    // Each second a node sends ten requests and answers ten; each exchange has 80 more bytes for its framing.
    assert!(20 * ((request_bytes + reply_bytes) / exchange_count + 80) <= 8_000);
    stop_nodes(nodes).await;
}

/// 36,000 changes a day of a text of 1 MB would take far more than 8 KB/s if each were sent in full.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_of_a_large_text_is_sent_as_a_delta() {
    let (cluster, nodes) = start_serving_relays((81, 9), 8).await;
    let large_text = |key_count: u32| {
        let digests: Vec<String> = (0..key_count)
            .map(|key| format!("\"{}\"", blake3::hash(&key.to_be_bytes())))
            .collect();
        let team = "[[team]]\nname = \"t\"\nrate_per_s = 1\nburst = 4\nkey_digests = [";
        format!("{}{team}{}]\n", config_text(8), digests.join(",\n"))
    };
    cluster.platform.set_config_text(&large_text(4_000));
    wait_for_revision(&nodes, 2).await;
    let gossip_bytes = || {
        let traffic = &cluster.traffic;
        let request = traffic.request_bytes.load(Ordering::Relaxed);
        request + traffic.reply_bytes.load(Ordering::Relaxed)
    };
    // Calls that carry the full text may still be in flight.
    let exchange_count_when_settled = cluster.traffic.exchange_count.load(Ordering::Relaxed) + 100;
    wait_until("the calls with the full text have ended", || {
        cluster.traffic.exchange_count.load(Ordering::Relaxed) >= exchange_count_when_settled
    })
    .await;
    let bytes_before = gossip_bytes();
    cluster.platform.set_config_text(&large_text(4_001));
    wait_for_revision(&nodes, 3).await;
    let sent_bytes = gossip_bytes() - bytes_before;
    println!(
        "change of a text of {} bytes: {sent_bytes} bytes of gossip",
        large_text(4_001).len()
    );
    assert!(
        sent_bytes < 64_000,
        "the digests alone have 128,000 bytes of entropy"
    );
    stop_nodes(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_node_is_removed_and_a_draining_node_stays_draining() {
    let (cluster, mut nodes) = start_serving_relays((81, 10), 3).await;
    nodes[0].context.board.phase.send_replace(Phase::Draining);
    nodes.pop().unwrap().stop().await;
    cluster.list_vms(0..2);
    wait_until("the stopped node is removed", || {
        nodes.iter().all(|node| {
            let members = node.context.board.members.load_full();
            members.nodes_with_role(Role::Relay).count() == 2
        })
    })
    .await;
    assert_eq!(nodes[0].context.board.phase(), Phase::Draining);
    assert!(nodes.iter().all(Node::is_fresh));
    stop_nodes(nodes).await;
}

/// A poison request crashes two targets of each relay that has not received its strikes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn strikes_reach_all_nodes_within_a_second_and_new_nodes_at_their_start() {
    const POISON: u64 = 7;
    let (cluster, mut nodes) = start_serving_relays((81, 11), 8).await;
    let is_quarantined = |node: &Node| {
        let board = &node.context.board;
        board.strikes().restriction(POISON, board.now()) == Restriction::Quarantined
    };
    let board = &nodes[0].context.board;
    let now = board.now();
    board.strikes().record_crash(1, &[POISON, 8], now);
    board.strikes().record_crash(2, &[POISON], now);
    let first_delay = wait_until("one other node has the strikes", || {
        nodes[1..].iter().any(is_quarantined)
    })
    .await;
    let remaining_delay = wait_until("all nodes have the strikes", || {
        nodes.iter().all(is_quarantined)
    })
    .await;
    println!(
        "strikes reached one of 8 nodes after {first_delay:?}, all after {remaining_delay:?} more"
    );
    assert!(first_delay <= Duration::from_secs(1), "{first_delay:?}");
    assert!(
        first_delay + remaining_delay <= Duration::from_secs(1) + SLACK,
        "{remaining_delay:?}"
    );
    // After this time the strikes are no longer recent, so messages rarely carry them.
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    cluster.list_vms(0..9);
    nodes.push(cluster.start(8, Role::Relay).await);
    wait_until("the new node serves", || nodes[8].is_serving()).await;
    let delay = wait_until("the new node has the strikes", || is_quarantined(&nodes[8])).await;
    println!("a new node has the strikes {delay:?} after it serves");
    assert!(delay <= Duration::from_secs(1), "{delay:?}");
    stop_nodes(nodes).await;
}

/// Strikes are kept for ten minutes. If each message carried all of them, traffic would exceed the budget of
/// 8 KB/s for that time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_message_carries_few_strikes() {
    let (cluster, nodes) = start_serving_relays((81, 12), 3).await;
    let board = &nodes[0].context.board;
    let fingerprints: Vec<u64> = (0..1_000).map(|n| u64::MAX - n).collect();
    board.strikes().record_crash(1, &fingerprints, board.now());
    let reply_bytes = || cluster.traffic.reply_bytes.load(Ordering::Relaxed);
    let exchange_count = || cluster.traffic.exchange_count.load(Ordering::Relaxed);
    let traffic_before = (exchange_count(), reply_bytes());
    wait_until("enough exchanges", || {
        exchange_count() >= traffic_before.0 + 100
    })
    .await;
    let reply_size_bytes =
        (reply_bytes() - traffic_before.1) / (exchange_count() - traffic_before.0);
    println!("reply of a node with 1,000 recent strikes: {reply_size_bytes} bytes");
    assert!(reply_size_bytes <= 300, "{reply_size_bytes} bytes");
    stop_nodes(nodes).await;
}
