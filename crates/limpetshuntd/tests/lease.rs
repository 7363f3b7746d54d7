//! Tests of the lease module with several processes that exchange requests over loopback.
//!
//! Guards against lease groups without a coordinator, targets with two owners or none, and leases or
//! ownerships that a drained relay still holds.

use std::{
    cell::RefCell,
    sync::{
        Arc,
        atomic::Ordering, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use clap::Parser;
use limpet_config::{
    Config,
    FleetSettings,
    Service,
    ServiceKind,
    Shard,
    Target,
    TargetState,
    Team, //
};
use limpet_decide::{
    grant::OWNERSHIP_TTL,
    lease::usable_ttl, //
};
use limpet_peer::{
    PeerClient,
    PeerServer,
    serve, //
};
use limpet_types::{
    KeyRange,
    NodeId,
    NodeRecord,
    Phase,
    Role,
    TargetAddr,
    hash::LEASE_GROUP_COUNT, //
};
use limpetshuntd::{
    Blackboard,
    Settings,
    blackboard::{
        ConfigInForce,
        Member,
        Members, //
    },
    controllers::Controllers,
    daemon::{
        Context,
        ModuleStates, //
    },
    lease,
    peer_requests, //
};
use tokio::net::TcpListener;

/// Time that a test waits for an expected state before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const TARGET_COUNT: u16 = 12;

/// A process of which only the lease module and the peer server run.
struct TestProcess {
    context: Context,
    controllers: Controllers,
    server: PeerServer,
}

impl TestProcess {
    async fn start(role: Role) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let node = NodeId::new(listener.local_addr().unwrap(), rand::random());
        let arguments = "limpetshuntd relay --ip 127.0.0.1 --zone a --config-service 127.0.0.1:1 \
                         --vm-list 127.0.0.1:1 --admin-addr 127.0.0.1:1";
        let settings = Settings::parse_from(arguments.split_whitespace());
        let context = Context {
            board: Blackboard::new(node, role, "a".into()),
            peer_client: PeerClient::new(),
            settings: Arc::new(settings),
            module_states: Arc::new(ModuleStates::default()),
        };
        let board = &context.board;
        board
            .config_in_force
            .store(Some(Arc::new(config_in_force())));
        board
            .config_fresh_until_us
            .store(u64::MAX, Ordering::Release);
        board.phase.send_replace(Phase::Serving);
        let mut controllers = Controllers::new();
        lease::start(&context, &mut controllers).await.unwrap();
        let server_context = context.clone();
        let server = serve(listener, move |request| {
            peer_requests::dispatch(server_context.clone(), request)
        });
        Self {
            context,
            controllers,
            server,
        }
    }

    fn board(&self) -> &Blackboard {
        &self.context.board
    }

    fn owns(&self, target: TargetAddr) -> bool {
        let deadlines = self.board().ownership_deadlines.load();
        deadlines.owned_until(target, self.board().now()).is_some()
    }

    async fn stop(self) {
        self.server.stop().await;
        self.controllers.stop().await;
        self.context.peer_client.close().await;
    }
}

fn target_addr(target_number: u16) -> TargetAddr {
    TargetAddr::from(([127, 0, 0, 1], 20_000 + target_number))
}

fn config_in_force() -> ConfigInForce {
    let target = |target_number: u16| Target {
        name: format!("t{target_number}").into(),
        addr: target_addr(target_number),
        zone: "a".into(),
        state: TargetState::Live,
    };
    let shard = Shard {
        name: "s".into(),
        range: KeyRange::full(),
        targets: (0..TARGET_COUNT).map(target).collect(),
    };
    let service = Service {
        name: "stock".into(),
        kind: ServiceKind::Search,
        is_open: false,
        is_snapshot_required: false,
        slots: 2,
        connections_max: 25,
        cold_limit: 1,
        is_hedging_allowed: false,
        attempts_max: 1,
        shards: vec![shard],
    };
    let team = Team {
        name: "north".into(),
        rate_per_s: 200.0,
        burst: 80,
        weight: 1,
        key_digests: Vec::new(),
    };
    let fleet = FleetSettings {
        vms_max: 3,
        freshness_limit: Duration::from_secs(4),
    };
    let config = Config::new(fleet, Vec::new(), vec![team], vec![service], Vec::new());
    ConfigInForce {
        revision: 1,
        digest: [0; 32],
        text: "".into(),
        config,
    }
}

/// Replaces the gossip controller: gives every process the records of all processes until `is_reached`
/// returns true, and checks that no lease group or target has two holders meanwhile.
async fn gossip_until(processes: &[TestProcess], expectation: &str, is_reached: impl Fn() -> bool) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !is_reached() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "not reached in time: {expectation}"
        );
        assert_at_most_one_holder(processes);
        let members = processes
            .iter()
            .fold(Members::default(), |members, process| {
                let board = process.board();
                let record = NodeRecord {
                    node: board.node,
                    role: board.role,
                    zone: "a".into(),
                    phase: board.phase(),
                    revision: 1,
                    coordinated_groups: board.coordinated_groups.load().to_vec(),
                    version: 1,
                    age: Duration::ZERO,
                };
                let last_seen_at = board.now();
                members.with_member(Member {
                    record,
                    last_seen_at,
                })
            });
        let members = Arc::new(members);
        for process in processes {
            process.board().members.store(Arc::clone(&members));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

fn assert_at_most_one_holder(processes: &[TestProcess]) {
    for group in 0..LEASE_GROUP_COUNT {
        assert!(
            count_coordinators(processes, group) <= 1,
            "two coordinators of group {group}"
        );
    }
    for target in (0..TARGET_COUNT).map(target_addr) {
        assert!(
            count_owners(processes, target) <= 1,
            "two owners of {target}"
        );
    }
}

fn count_coordinators(processes: &[TestProcess], group: u16) -> usize {
    let coordinates_group =
        |process: &&TestProcess| lease::coordinated_groups(&process.context).contains(&group);
    processes.iter().filter(coordinates_group).count()
}

fn count_owners(processes: &[TestProcess], target: TargetAddr) -> usize {
    processes
        .iter()
        .filter(|process| process.owns(target))
        .count()
}

fn are_all_targets_owned(processes: &[TestProcess]) -> bool {
    (0..TARGET_COUNT).all(|target_number| count_owners(processes, target_addr(target_number)) == 1)
}

fn are_all_groups_coordinated(processes: &[TestProcess]) -> bool {
    (0..LEASE_GROUP_COUNT).all(|group| count_coordinators(processes, group) == 1)
}

fn try_acquire_token(processes: &[TestProcess]) -> bool {
    let entry = processes[0].board();
    let now = entry.now();
    entry.token_pool().try_acquire("north", now)
}

async fn start_fleet() -> Vec<TestProcess> {
    let mut fleet = vec![TestProcess::start(Role::Entry).await];
    for _ in 0..3 {
        fleet.push(TestProcess::start(Role::Relay).await);
    }
    gossip_until(&fleet, "coordinators", || {
        are_all_groups_coordinated(&fleet)
    })
    .await;
    gossip_until(&fleet, "a token", || try_acquire_token(&fleet)).await;
    gossip_until(&fleet, "owners", || are_all_targets_owned(&fleet)).await;
    fleet
}

#[tokio::test]
async fn a_drained_relay_hands_over_its_groups_and_targets() {
    let mut fleet = start_fleet().await;
    let drained = fleet.pop().unwrap();
    drained.board().phase.send_replace(Phase::Draining);
    lease::release_all(&drained.context).await;
    assert!(lease::coordinated_groups(&drained.context).is_empty());
    assert!(drained.board().coordinated_groups.load().is_empty());
    assert!((0..TARGET_COUNT).all(|target_number| !drained.owns(target_addr(target_number))));
    gossip_until(&fleet, "coordinators", || {
        are_all_groups_coordinated(&fleet)
    })
    .await;
    gossip_until(&fleet, "owners", || are_all_targets_owned(&fleet)).await;
    gossip_until(&fleet, "a token", || try_acquire_token(&fleet)).await;
    drained.stop().await;
    for process in fleet {
        process.stop().await;
    }
}

#[tokio::test]
async fn a_killed_relay_is_replaced_when_its_leases_and_ownerships_have_expired() {
    let mut fleet = start_fleet().await;
    fleet.pop().unwrap().stop().await;
    gossip_until(&fleet, "coordinators", || {
        are_all_groups_coordinated(&fleet)
    })
    .await;
    gossip_until(&fleet, "owners", || are_all_targets_owned(&fleet)).await;
    gossip_until(&fleet, "a token", || try_acquire_token(&fleet)).await;
    let relays: Vec<NodeId> = fleet[1..]
        .iter()
        .map(|process| process.board().node)
        .collect();
    gossip_until(&fleet, "directory without the killed relay", || {
        let directory = fleet[0].board().owner_directory.load();
        let owner = |target_number| directory.owner_of(target_addr(target_number));
        (0..TARGET_COUNT)
            .all(|target_number| owner(target_number).is_some_and(|owner| relays.contains(&owner)))
    })
    .await;
    for process in fleet {
        process.stop().await;
    }
}

/// Guards against targets without an owner while they move to a relay that joins. The coordinator
/// regards an ownership as valid for longer than its holder uses it, so a target that is not released
/// has no owner in between.
#[tokio::test]
async fn targets_move_to_a_new_relay_before_their_ownership_expires() {
    let mut fleet = vec![TestProcess::start(Role::Entry).await];
    for _ in 0..2 {
        fleet.push(TestProcess::start(Role::Relay).await);
    }
    gossip_until(&fleet, "owners", || are_all_targets_owned(&fleet)).await;
    let new_relay = TestProcess::start(Role::Relay).await;
    let node = new_relay.board().node;
    fleet.push(new_relay);
    let unowned_since = RefCell::new([None; TARGET_COUNT as usize]);
    let ownership_gaps = RefCell::new(Vec::new());
    gossip_until(&fleet, "targets of the new relay", || {
        for target_number in 0..TARGET_COUNT {
            let unowned_since = &mut unowned_since.borrow_mut()[usize::from(target_number)];
            match count_owners(&fleet, target_addr(target_number)) {
                0 => *unowned_since = unowned_since.or(Some(Instant::now())),
                _ => ownership_gaps
                    .borrow_mut()
                    .extend(unowned_since.take().map(|at| at.elapsed())),
            }
        }
        let has_moved =
            (0..TARGET_COUNT).any(|target_number| fleet[3].owns(target_addr(target_number)));
        has_moved && are_all_targets_owned(&fleet)
    })
    .await;
    let ownership_gaps = ownership_gaps.into_inner();
    println!("{node}: times without an owner: {ownership_gaps:?}");
    // If the ownerships expired, each gap would be at least the part of the lifetime that the holder
    // does not use.
    let gap_by_expiration = OWNERSHIP_TTL - usable_ttl(OWNERSHIP_TTL);
    assert!(
        ownership_gaps.iter().all(|gap| *gap < gap_by_expiration),
        "{ownership_gaps:?}"
    );
    for process in fleet {
        process.stop().await;
    }
}
