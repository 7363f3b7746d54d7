//! Guards against a configuration that does not spread, reverts, or is trusted for too long.

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

/// Time that a busy machine may add to a limit.
const SLACK: Duration = Duration::from_secs(1);

/// Starts relays on the VMs `0..count` in two zones and waits until all serve.
async fn serving(net: (u8, u8), count: usize) -> (ControlCluster, Vec<Node>) {
    let cluster = ControlCluster::new(net, 2).await;
    cluster.platform.set_text(&config_text(count));
    cluster.list_vms(0..count);
    let mut nodes = Vec::new();
    for vm in 0..count {
        nodes.push(cluster.start(vm, Role::Relay).await);
    }
    wait_until("all serve", || {
        nodes.iter().all(|n| n.is_serving() && n.is_fresh())
    })
    .await;
    (cluster, nodes)
}

async fn all_have(nodes: &[Node], revision: u64) {
    wait_until("revision is in force everywhere", || {
        nodes.iter().all(|node| node.revision() == revision)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_reaches_all_nodes_and_few_of_them_read() {
    let (cluster, nodes) = serving((81, 1), 8).await;
    for change in 2..6 {
        assert_eq!(
            cluster.platform.set_text(&config_text(change)),
            change as u64
        );
        all_have(&nodes, change as u64).await;
    }
    wait_until("all know each other", || {
        nodes.iter().all(|node| {
            let members = node.context.board.members.load_full();
            members.iter_role(Role::Relay).count() == 8
        })
    })
    .await;
    // Four readers with two watches a second; the rest is for changes and for handing over.
    let before = cluster.platform.calls().total;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls = cluster.platform.calls().total - before;
    assert!((8..=24).contains(&calls), "{calls} calls in 2 s");
    stop_nodes(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stale_value_never_reverts_and_is_no_evidence() {
    let (cluster, nodes) = serving((81, 2), 4).await;
    cluster.platform.set_text(&config_text(9));
    all_have(&nodes, 2).await;
    cluster.platform.set_stale(1);
    wait_until("nobody is fresh by stale reads", || {
        assert!(nodes.iter().all(|node| node.revision() == 2));
        nodes.iter().all(|node| !node.is_fresh())
    })
    .await;
    cluster.platform.set_stale(0);
    cluster.platform.set_text(&config_text(10));
    all_have(&nodes, 3).await;
    wait_until("all fresh again", || nodes.iter().all(Node::is_fresh)).await;
    stop_nodes(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_cut_from_service_and_peers_stops_within_the_limit() {
    let (cluster, nodes) = serving((81, 3), 4).await;
    nodes[0].config_service.set_down(true);
    cluster.isolate(&[&nodes[0]]);
    let took = wait_until("the cut node stops", || !nodes[0].is_fresh()).await;
    assert!(took <= FRESHNESS_LIMIT + SLACK, "{took:?}");
    assert!(nodes[1..].iter().all(Node::is_fresh));
    cluster.platform.set_text(&config_text(9));
    all_have(&nodes[1..], 2).await;
    assert_eq!(nodes[0].revision(), 1);
    cluster.isolate(&[]);
    all_have(&nodes, 2).await;
    wait_until("the node is fresh through its peers", || {
        nodes[0].is_fresh()
    })
    .await;
    stop_nodes(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_for_all_with_one_process_gone_goes_on() {
    let (_stack, mut nodes) = serving((81, 4), 4).await;
    nodes.pop().unwrap().stop().await;
    for node in &nodes {
        node.config_service.set_down(true);
    }
    let started = Instant::now();
    while started.elapsed() < FRESHNESS_LIMIT * 3 {
        assert!(
            nodes.iter().all(Node::is_fresh),
            "stopped after {:?}",
            started.elapsed()
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    stop_nodes(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_with_a_silent_listed_peer_stops_until_the_list_drops_it() {
    let (cluster, nodes) = serving((81, 5), 4).await;
    let (silent, others) = nodes.split_first().unwrap();
    cluster.isolate(&[silent]);
    for node in &nodes {
        node.config_service.set_down(true);
    }
    let took = wait_until("the others stop", || others.iter().all(|n| !n.is_fresh())).await;
    assert!(took <= FRESHNESS_LIMIT * 2 + SLACK, "{took:?}");
    cluster.list_vms(1..4);
    wait_until("the others go on", || others.iter().all(Node::is_fresh)).await;
    assert!(!silent.is_fresh());
    cluster.isolate(&[]);
    stop_nodes(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_invalid_text_is_refused_and_the_valid_one_stays_and_spreads() {
    let (cluster, mut nodes) = serving((81, 6), 3).await;
    cluster.platform.set_text("fleet = { vms_max = 0 }");
    let calls = cluster.platform.calls().total;
    wait_until("the invalid text was read", || {
        cluster.platform.calls().total > calls + 10
    })
    .await;
    cluster.list_vms(0..4);
    nodes.push(cluster.start(3, Role::Relay).await);
    all_have(&nodes, 1).await;
    wait_until("all serve", || {
        nodes.iter().all(|n| n.is_serving() && n.is_fresh())
    })
    .await;
    // An operator who is not told sees the old text go on and no reason for it.
    let refused = |node: &Node| node.context.board.refused_texts.load_full();
    wait_until("a node shows the refused text", || {
        nodes.iter().any(|node| !refused(node).is_empty())
    })
    .await;
    for text in nodes.iter().flat_map(|node| refused(node).to_vec()) {
        assert_eq!(text.revision, 2);
        assert!(text.problems[0].contains("vms_max"), "{text:?}");
    }
    cluster.platform.set_text(&config_text(9));
    all_have(&nodes, 3).await;
    wait_until("the refused text is no longer shown", || {
        nodes.iter().all(|node| refused(node).is_empty())
    })
    .await;
    stop_nodes(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_alone_with_a_silent_listed_peer_does_not_start() {
    let cluster = ControlCluster::new((81, 7), 1).await;
    cluster.platform.set_text(&config_text(2));
    cluster.list_vms(0..2);
    let silent = cluster.start(1, Role::Relay).await;
    cluster.isolate(&[&silent]);
    let node = cluster.start(0, Role::Relay).await;
    all_have(std::slice::from_ref(&node), 1).await;
    tokio::time::sleep(FRESHNESS_LIMIT).await;
    assert!(!node.is_serving(), "a silent peer may hold a newer text");
    cluster.isolate(&[]);
    wait_until("the node serves", || node.is_serving()).await;
    stop_nodes(vec![node, silent]).await;
}

/// 2,900 VMs a day are replaced; without this a long outage would use the fleet up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_starts_in_an_outage_for_all_serves_with_the_fleet() {
    let (cluster, mut nodes) = serving((81, 13), 3).await;
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
    let took = wait_until("the new node serves", || nodes[3].is_serving()).await;
    println!("a node started in an outage serves after {took:?}");
    wait_until("all fresh", || nodes.iter().all(Node::is_fresh)).await;
    assert_eq!(nodes[3].revision(), 1);
    stop_nodes(nodes).await;
}

/// Both may have read the same old value before the service went down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_that_all_start_in_an_outage_do_not_serve() {
    let cluster = ControlCluster::new((81, 14), 1).await;
    cluster.platform.set_text(&config_text(2));
    // A silent listed peer keeps both from starting while they can read the service.
    cluster.list_vms(0..3);
    let silent = cluster.start(0, Role::Relay).await;
    cluster.isolate(&[&silent]);
    let mut nodes = Vec::new();
    for vm in 1..3 {
        nodes.push(cluster.start(vm, Role::Relay).await);
    }
    all_have(&nodes, 1).await;
    for node in &nodes {
        node.config_service.set_down(true);
    }
    // Their reads of the service are too old after the limit.
    tokio::time::sleep(FRESHNESS_LIMIT + SLACK).await;
    cluster.list_vms(1..3);
    let agree = || nodes.iter().all(Node::is_fresh);
    wait_until("both find the service down for everybody", agree).await;
    tokio::time::sleep(SLACK).await;
    assert!(
        !nodes.iter().any(Node::is_serving),
        "nothing shows that the text is current"
    );
    nodes.push(silent);
    stop_nodes(nodes).await;
}

/// Control traffic at the design size would exceed 8 KB/s if an idle exchange grew.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_idle_exchange_stays_small() {
    let (cluster, nodes) = serving((81, 8), 8).await;
    for (group, node) in nodes.iter().take(4).enumerate() {
        node.context
            .board
            .coordinated_groups
            .store(vec![group as u16].into());
    }
    wait_until("all know the coordinators", || {
        nodes.iter().all(|node| {
            let members = node.context.board.members.load_full();
            let coordinators = members.iter_role(Role::Relay);
            coordinators
                .filter(|m| !m.record.coordinated_groups.is_empty())
                .count()
                == 4
        })
    })
    .await;
    let read = || {
        let traffic = &cluster.traffic;
        [
            &traffic.exchanges,
            &traffic.request_bytes,
            &traffic.reply_bytes,
        ]
        .map(|count| count.load(Ordering::Relaxed))
    };
    let before = read();
    wait_until("enough exchanges", || read()[0] >= before[0] + 200).await;
    let after = read();
    let [exchanges, request, reply] = [0, 1, 2].map(|at| after[at] - before[at]);
    println!(
        "idle exchange: request {} bytes, reply {} bytes",
        request / exchanges,
        reply / exchanges
    );
    // Ten exchanges a second are asked and ten answered; 80 bytes are left for the frames of each.
    assert!(20 * ((request + reply) / exchanges + 80) <= 8_000);
    stop_nodes(nodes).await;
}

/// 36,000 changes a day of a text of 1 MB would need far more than 8 KB/s if sent whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_of_a_large_text_is_sent_as_a_difference() {
    let (cluster, nodes) = serving((81, 9), 8).await;
    let large = |keys: u32| {
        let digests: Vec<String> = (0..keys)
            .map(|key| format!("\"{}\"", blake3::hash(&key.to_be_bytes())))
            .collect();
        let team = "[[team]]\nname = \"t\"\nrate_per_s = 1\nburst = 4\nkey_digests = [";
        format!("{}{team}{}]\n", config_text(8), digests.join(",\n"))
    };
    cluster.platform.set_text(&large(4_000));
    all_have(&nodes, 2).await;
    let bytes = || {
        let traffic = &cluster.traffic;
        let request = traffic.request_bytes.load(Ordering::Relaxed);
        request + traffic.reply_bytes.load(Ordering::Relaxed)
    };
    // Calls that carry the whole text may still be under way.
    let settled = cluster.traffic.exchanges.load(Ordering::Relaxed) + 100;
    wait_until("the first text is spread", || {
        cluster.traffic.exchanges.load(Ordering::Relaxed) >= settled
    })
    .await;
    let before = bytes();
    cluster.platform.set_text(&large(4_001));
    all_have(&nodes, 3).await;
    let sent = bytes() - before;
    println!(
        "change of a text of {} bytes: {sent} bytes of gossip",
        large(4_001).len()
    );
    assert!(
        sent < 64_000,
        "the digests alone have 128,000 bytes of entropy"
    );
    stop_nodes(nodes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_node_is_removed_and_a_draining_one_stays_draining() {
    let (cluster, mut nodes) = serving((81, 10), 3).await;
    nodes[0].context.board.phase.send_replace(Phase::Draining);
    nodes.pop().unwrap().stop().await;
    cluster.list_vms(0..2);
    wait_until("the stopped node is removed", || {
        nodes.iter().all(|node| {
            let members = node.context.board.members.load_full();
            members.iter_role(Role::Relay).count() == 2
        })
    })
    .await;
    assert_eq!(nodes[0].context.board.phase(), Phase::Draining);
    assert!(nodes.iter().all(Node::is_fresh));
    stop_nodes(nodes).await;
}

/// A poison request costs two targets of every relay that has not heard of its strikes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn strikes_reach_other_nodes_within_a_second_and_later_ones_at_their_start() {
    const POISON: u64 = 7;
    let (cluster, mut nodes) = serving((81, 11), 8).await;
    let is_quarantined = |node: &Node| {
        let board = &node.context.board;
        board.strikes().restriction(POISON, board.now()) == Restriction::Quarantined
    };
    let board = &nodes[0].context.board;
    let now = board.now();
    board.strikes().record_crash(1, &[POISON, 8], now);
    board.strikes().record_crash(2, &[POISON], now);
    let first = wait_until("one node heard", || nodes[1..].iter().any(is_quarantined)).await;
    let rest = wait_until("all nodes heard", || nodes.iter().all(is_quarantined)).await;
    println!("strikes reached one of 8 nodes after {first:?}, all after {rest:?} more");
    assert!(first <= Duration::from_secs(1), "{first:?}");
    assert!(first + rest <= Duration::from_secs(1) + SLACK, "{rest:?}");
    // Later than the time for which strikes go with every message.
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    cluster.list_vms(0..9);
    nodes.push(cluster.start(8, Role::Relay).await);
    wait_until("the new node serves", || nodes[8].is_serving()).await;
    let late = wait_until("the new node heard", || is_quarantined(&nodes[8])).await;
    println!("a new node has the strikes {late:?} after it serves");
    assert!(late <= Duration::from_secs(1), "{late:?}");
    stop_nodes(nodes).await;
}

/// Strikes live ten minutes; sent whole they would exceed the budget of 8 KB/s all that time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_message_carries_few_strikes() {
    let (cluster, nodes) = serving((81, 12), 3).await;
    let board = &nodes[0].context.board;
    let fingerprints: Vec<u64> = (0..1_000).map(|n| u64::MAX - n).collect();
    board.strikes().record_crash(1, &fingerprints, board.now());
    let reply_bytes = || cluster.traffic.reply_bytes.load(Ordering::Relaxed);
    let exchanges = || cluster.traffic.exchanges.load(Ordering::Relaxed);
    let before = (exchanges(), reply_bytes());
    wait_until("enough exchanges", || exchanges() >= before.0 + 100).await;
    let each = (reply_bytes() - before.1) / (exchanges() - before.0);
    println!("reply with news of 1,000 strikes: {each} bytes");
    assert!(each <= 300, "{each} bytes");
    stop_nodes(nodes).await;
}
