//! A relay that owns fake targets.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU32,
            Ordering, //
        },
    },
    time::Duration,
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
    Zone,
    ZoneState, //
};
use limpet_fakes::target::{
    FakeTarget,
    TargetSpec, //
};
use limpet_peer::PeerClient;
use limpet_types::{
    KeyRange, NodeId, Phase, Role,
    message::{
        AttemptKind,
        AttemptReply,
        AttemptRequest, //
    },
};
use limpetshuntd::{
    Blackboard, Settings,
    blackboard::{
        ConfigInForce,
        OwnershipDeadlines, //
    },
    controllers::Controllers,
    daemon::{
        Context,
        ModuleStates, //
    },
    relay,
};

/// Time after which a step of a test counts as stuck, and the test fails.
pub(crate) const STUCK_TIMEOUT: Duration = Duration::from_secs(30);
/// Time until the deadline of attempts that are expected to finish.
pub(crate) const ATTEMPT_DEADLINE: Duration = Duration::from_secs(3);

/// A running relay with its targets; `stop` shuts both down.
pub(crate) struct Harness {
    pub(crate) context: Context,
    pub(crate) targets: Vec<FakeTarget>,
    controllers: Controllers,
    /// Number of attempts built so far; gives each its own request id.
    attempt_count: AtomicU32,
    /// Slots per target in the installed configurations.
    slots: u32,
    /// Cold limit in the installed configurations.
    cold_limit: u32,
}

impl Harness {
    /// Starts a target for each spec and a relay that owns all of them.
    pub(crate) async fn start(specs: Vec<TargetSpec>, cold_limit: u32) -> Self {
        let slots = specs[0].slots;
        let mut targets = Vec::new();
        for spec in specs {
            targets.push(FakeTarget::start(spec).await.unwrap());
        }
        let addr = "127.0.0.1:1".parse().unwrap();
        let board = Blackboard::new(NodeId::new(addr, 1), Role::Relay, "a".into());
        let settings = Settings::parse_from([
            "limpetshuntd",
            "relay",
            "--ip=127.0.0.1",
            "--zone=a",
            "--config-service=127.0.0.1:1",
            "--vm-list=127.0.0.1:1",
            "--admin-addr=127.0.0.1:1",
        ]);
        let context = Context {
            board,
            peer_client: PeerClient::new(),
            settings: Arc::new(settings),
            module_states: Arc::new(ModuleStates::default()),
        };
        let mut controllers = Controllers::new();
        relay::start(&context, &mut controllers).await.unwrap();
        let harness = Self {
            context,
            targets,
            controllers,
            attempt_count: AtomicU32::new(0),
            slots,
            cold_limit,
        };
        harness.install_config(ZoneState::Enabled, TargetState::Live);
        let board = &harness.context.board;
        board
            .config_fresh_until_us
            .store(u64::MAX / 2_000, Ordering::Release);
        board.phase.send_replace(Phase::Serving);
        harness.own_all_targets(Duration::from_secs(3_600));
        harness.wait_until_connected().await;
        harness
    }

    /// Installs a new configuration revision with this state of the zone and of every target.
    pub(crate) fn install_config(&self, zone_state: ZoneState, target_state: TargetState) {
        let targets = self.targets.iter().map(|target| Target {
            name: target.name().into(),
            addr: target.addr(),
            zone: "a".into(),
            state: target_state,
        });
        let shard = Shard {
            name: "shard".into(),
            range: KeyRange::full(),
            targets: targets.collect(),
        };
        let service = Service {
            name: "service".into(),
            kind: ServiceKind::Search,
            is_open: false,
            is_snapshot_required: false,
            slots: self.slots,
            connections_max: 25,
            cold_limit: self.cold_limit,
            is_hedging_allowed: true,
            attempts_max: 2,
            shards: vec![shard],
        };
        let fleet = FleetSettings {
            vms_max: 3,
            freshness_limit: Duration::from_secs(4),
        };
        let zones = vec![Zone {
            name: "a".into(),
            state: zone_state,
        }];
        let config = Config::new(fleet, zones, Vec::new(), vec![service], Vec::new());
        let revision = self
            .context
            .board
            .config_in_force()
            .map_or(1, |config_in_force| config_in_force.revision + 1);
        self.context
            .board
            .config_in_force
            .store(Some(Arc::new(ConfigInForce {
                revision,
                digest: [0; 32],
                text: "".into(),
                config,
            })));
    }

    /// Makes the relay own every target from now on for this long.
    pub(crate) fn own_all_targets(&self, ownership_duration: Duration) {
        let owned_until = self.context.board.now() + ownership_duration;
        let mut ownership_deadlines = OwnershipDeadlines::default();
        for target in &self.targets {
            ownership_deadlines = ownership_deadlines.with_target(target.addr(), owned_until);
        }
        self.context
            .board
            .ownership_deadlines
            .store(Arc::new(ownership_deadlines));
    }

    /// Waits until the relay has opened a connection to each target, and so has an actor for it.
    async fn wait_until_connected(&self) {
        for target in &self.targets {
            let opened = target.wait_until(|target| target.stats().connections > 0);
            tokio::time::timeout(STUCK_TIMEOUT, opened).await.unwrap();
        }
    }

    /// Returns the request of a new attempt on a target.
    pub(crate) fn request(&self, target_index: usize, body: &str) -> AttemptRequest {
        let attempt_number = self.attempt_count.fetch_add(1, Ordering::Relaxed);
        AttemptRequest {
            request_id: u128::from(attempt_number) + 1,
            attempt_number,
            team: "team".into(),
            service: "service".into(),
            shard: "shard".into(),
            target: self.targets[target_index].name().into(),
            kind: AttemptKind::Search,
            range: KeyRange::full(),
            snapshot: None,
            time_left: ATTEMPT_DEADLINE,
            fingerprint: limpet_types::hash::stable_hash(body.as_bytes()),
            record: None,
            ticket: None,
            body: body.as_bytes().to_vec(),
        }
    }

    /// Runs an attempt and returns its reply.
    pub(crate) async fn send(&self, request: AttemptRequest) -> AttemptReply {
        let sent_request = request.clone();
        let reply = relay::handle_attempt(&self.context, request);
        let reply = tokio::time::timeout(STUCK_TIMEOUT, reply)
            .await
            .unwrap()
            .unwrap();
        assert!(reply.belongs_to(&sent_request));
        reply
    }

    /// Runs attempts one after the other until one succeeds, and returns its reply.
    pub(crate) async fn run_until_success(&self, target_index: usize) -> AttemptReply {
        loop {
            let reply = self.send(self.request(target_index, "recover")).await;
            if reply.outcome.is_ok() {
                return reply;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Stops the relay and the targets.
    pub(crate) async fn stop(self) {
        self.controllers.stop().await;
        for target in self.targets {
            target.stop().await;
        }
    }
}

/// Returns the request id as the targets record it.
pub(crate) fn format_request_id(request: &AttemptRequest) -> String {
    format!("{:032x}", request.request_id)
}
