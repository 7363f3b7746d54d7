//! Guards against groups without a coordinator, targets with two owners or none, and rights that
//! survive a drain, with the modules of real processes over loopback.

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
    Fleet,
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

const LONG: Duration = Duration::from_secs(30);
const TARGETS: u16 = 12;

struct Process {
    context: Context,
    controllers: Controllers,
    server: PeerServer,
}

impl Process {
    async fn start(role: Role) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let node = NodeId::new(listener.local_addr().unwrap(), rand::random());
        let arguments = "limpetshuntd relay --ip 127.0.0.1 --zone a --config-service 127.0.0.1:1 \
                         --vm-list 127.0.0.1:1 --admin-addr 127.0.0.1:1";
        let settings = Settings::parse_from(arguments.split_whitespace());
        let context = Context {
            board: Blackboard::new(node, role, "a".into()),
            peers: PeerClient::new(),
            settings: Arc::new(settings),
            module_states: Arc::new(ModuleStates::default()),
        };
        let board = &context.board;
        board.config_in_force.store(Some(Arc::new(in_force())));
        board
            .config_fresh_until_us
            .store(u64::MAX, Ordering::Release);
        board.phase.send_replace(Phase::Serving);
        let mut controllers = Controllers::new();
        lease::start(&context, &mut controllers).await.unwrap();
        let serving = context.clone();
        let server = serve(listener, move |r| {
            peer_requests::dispatch(serving.clone(), r)
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
        let owned = self.board().ownership_deadlines.load();
        owned.owned_until(target, self.board().now()).is_some()
    }

    async fn stop(self) {
        self.server.stop().await;
        self.controllers.stop().await;
        self.context.peers.close().await;
    }
}

fn target_addr(number: u16) -> TargetAddr {
    TargetAddr::from(([127, 0, 0, 1], 20_000 + number))
}

fn in_force() -> ConfigInForce {
    let target = |number: u16| Target {
        name: format!("t{number}").into(),
        addr: target_addr(number),
        zone: "a".into(),
        state: TargetState::Live,
    };
    let shard = Shard {
        name: "s".into(),
        range: KeyRange::full(),
        targets: (0..TARGETS).map(target).collect(),
    };
    let service = Service {
        name: "stock".into(),
        kind: ServiceKind::Search,
        open: false,
        snapshot: false,
        slots: 2,
        connections_max: 25,
        cold_limit: 1,
        hedge: false,
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
    let fleet = Fleet {
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

/// Plays the gossip controller until `is_reached`; each process sees the others' records.
async fn gossip_until(processes: &[Process], what: &str, is_reached: impl Fn() -> bool) {
    let deadline = tokio::time::Instant::now() + LONG;
    while !is_reached() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "not reached: {what}"
        );
        check_exclusive(processes);
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

fn check_exclusive(processes: &[Process]) {
    for group in 0..LEASE_GROUP_COUNT {
        assert!(
            coordinators(processes, group) <= 1,
            "two coordinators of {group}"
        );
    }
    for target in (0..TARGETS).map(target_addr) {
        assert!(owners(processes, target) <= 1, "two owners of {target}");
    }
}

fn coordinators(processes: &[Process], group: u16) -> usize {
    let holds = |p: &&Process| lease::coordinated_groups(&p.context).contains(&group);
    processes.iter().filter(holds).count()
}

fn owners(processes: &[Process], target: TargetAddr) -> usize {
    processes.iter().filter(|p| p.owns(target)).count()
}

fn all_owned(processes: &[Process]) -> bool {
    (0..TARGETS).all(|number| owners(processes, target_addr(number)) == 1)
}

fn all_coordinated(processes: &[Process]) -> bool {
    (0..LEASE_GROUP_COUNT).all(|group| coordinators(processes, group) == 1)
}

fn take(processes: &[Process]) -> bool {
    let entry = processes[0].board();
    let now = entry.now();
    entry.token_pool().try_acquire("north", now)
}

async fn started() -> Vec<Process> {
    let mut fleet = vec![Process::start(Role::Entry).await];
    for _ in 0..3 {
        fleet.push(Process::start(Role::Relay).await);
    }
    gossip_until(&fleet, "coordinators", || all_coordinated(&fleet)).await;
    gossip_until(&fleet, "a token", || take(&fleet)).await;
    gossip_until(&fleet, "owners", || all_owned(&fleet)).await;
    fleet
}

#[tokio::test]
async fn a_drained_relay_gives_its_rights_to_the_others() {
    let mut fleet = started().await;
    let leaving = fleet.pop().unwrap();
    leaving.board().phase.send_replace(Phase::Draining);
    lease::release_all(&leaving.context).await;
    assert!(lease::coordinated_groups(&leaving.context).is_empty());
    assert!(leaving.board().coordinated_groups.load().is_empty());
    assert!((0..TARGETS).all(|number| !leaving.owns(target_addr(number))));
    gossip_until(&fleet, "coordinators", || all_coordinated(&fleet)).await;
    gossip_until(&fleet, "owners", || all_owned(&fleet)).await;
    gossip_until(&fleet, "a token", || take(&fleet)).await;
    leaving.stop().await;
    for process in fleet {
        process.stop().await;
    }
}

#[tokio::test]
async fn a_killed_relay_is_replaced_when_its_rights_have_ended() {
    let mut fleet = started().await;
    fleet.pop().unwrap().stop().await;
    gossip_until(&fleet, "coordinators", || all_coordinated(&fleet)).await;
    gossip_until(&fleet, "owners", || all_owned(&fleet)).await;
    gossip_until(&fleet, "a token", || take(&fleet)).await;
    let relays: Vec<NodeId> = fleet[1..].iter().map(|p| p.board().node).collect();
    gossip_until(&fleet, "directory without the killed relay", || {
        let directory = fleet[0].board().owner_directory.load();
        let owner = |number| directory.owner_of(target_addr(number));
        (0..TARGETS).all(|n| owner(n).is_some_and(|o| relays.contains(&o)))
    })
    .await;
    for process in fleet {
        process.stop().await;
    }
}

/// Guards against a target that has no owner from the end of a former ownership at its holder to its
/// end at the coordinator, when a relay that joins takes its part of the targets.
#[tokio::test]
async fn targets_that_move_to_a_new_relay_do_not_wait_for_the_end_of_their_ownership() {
    let mut fleet = vec![Process::start(Role::Entry).await];
    for _ in 0..2 {
        fleet.push(Process::start(Role::Relay).await);
    }
    gossip_until(&fleet, "owners", || all_owned(&fleet)).await;
    let newcomer = Process::start(Role::Relay).await;
    let node = newcomer.board().node;
    fleet.push(newcomer);
    let lost_at = RefCell::new([None; TARGETS as usize]);
    let gaps = RefCell::new(Vec::new());
    gossip_until(&fleet, "targets of the new relay", || {
        for number in 0..TARGETS {
            let lost_at = &mut lost_at.borrow_mut()[usize::from(number)];
            match owners(&fleet, target_addr(number)) {
                0 => *lost_at = lost_at.or(Some(Instant::now())),
                _ => gaps
                    .borrow_mut()
                    .extend(lost_at.take().map(|at| at.elapsed())),
            }
        }
        let is_moved = (0..TARGETS).any(|number| fleet[3].owns(target_addr(number)));
        is_moved && all_owned(&fleet)
    })
    .await;
    let gaps = gaps.into_inner();
    println!("{node}: without an owner for {gaps:?}");
    // By expiry each gap is at least what the holder does not use of its right.
    let by_expiry = OWNERSHIP_TTL - usable_ttl(OWNERSHIP_TTL);
    assert!(gaps.iter().all(|gap| *gap < by_expiry), "{gaps:?}");
    for process in fleet {
        process.stop().await;
    }
}
