//! Tests of the admin endpoints.
//!
//! Guards against a process that reports ready although it must not receive work, and against a status
//! or metrics endpoint that is missing or still served after its process has stopped.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::Ordering, //
    },
};

use clap::Parser as _;
use limpet_config::Config;
use limpet_peer::PeerClient;
use limpet_types::{
    NodeId, Phase, Role,
    status::{
        ExplainDocument,
        RefusedText,
        StatusDocument, //
    },
};
use limpetshuntd::{
    Blackboard, Settings, admin,
    blackboard::{
        ConfigInForce,
        OwnerDirectory, //
    },
    controllers::Controllers,
    daemon::{
        Context,
        ModuleStates,
        StartError, //
    },
};
use tokio::{
    io::{
        AsyncReadExt as _,
        AsyncWriteExt as _, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
};

const CONFIG_TEXT: &str = include_str!("../../../examples/authority.toml");

/// A process of which only the admin endpoints run.
struct AdminProcess {
    context: Context,
    controllers: Controllers,
    addr: SocketAddr,
}

async fn start(role: Role) -> AdminProcess {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let common_flags =
        "--ip 127.0.0.1 --zone zone-a --config-service 127.0.0.1:1 --vm-list 127.0.0.1:1";
    let (name, caller_flag) = match role {
        Role::Entry => ("entry", "--caller-addr 127.0.0.1:0"),
        Role::Relay => ("relay", ""),
    };
    let command_line =
        format!("limpetshuntd {name} {common_flags} --admin-addr {addr} {caller_flag}");
    let settings = Settings::try_parse_from(command_line.split_whitespace()).unwrap();
    let node = NodeId::new("127.0.0.1:7101".parse().unwrap(), 7);
    let context = Context {
        board: Blackboard::new(node, role, "zone-a".into()),
        peer_client: PeerClient::new(),
        settings: Arc::new(settings),
        module_states: Arc::new(ModuleStates::default()),
    };
    let mut controllers = Controllers::new();
    admin::start(&context, &mut controllers).await.unwrap();
    AdminProcess {
        context,
        controllers,
        addr,
    }
}

impl AdminProcess {
    fn install_config(&self, text: &str) {
        let in_force = ConfigInForce {
            revision: 12,
            digest: [0xab; 32],
            text: text.into(),
            config: Config::parse(text).unwrap(),
        };
        self.context
            .board
            .config_in_force
            .store(Some(Arc::new(in_force)));
    }

    fn serve_with_fresh_config(&self) {
        let board = &self.context.board;
        board.phase.send_replace(Phase::Serving);
        board
            .config_fresh_until_us
            .store(u64::MAX / 2, Ordering::Release);
    }

    /// Makes this node the owner of the last replica of every `step`-th shard, and leaves the other targets
    /// without an owner.
    fn set_owners(&self, step: usize) {
        let board = &self.context.board;
        let in_force = board.config_in_force().unwrap();
        let services = in_force.config.services.iter();
        let shards = services.flat_map(|service| &service.shards);
        let mut directory = OwnerDirectory::default();
        for (shard_index, shard) in shards.enumerate() {
            if shard_index % step == step - 1 {
                let target = shard.targets.last().unwrap();
                directory = directory.with_owner(target.addr, board.node);
            }
        }
        board.owner_directory.store(Arc::new(directory));
    }

    async fn get(&self, path: &str) -> (u16, String) {
        let mut stream = TcpStream::connect(self.addr).await.unwrap();
        let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut reply = String::new();
        stream.read_to_string(&mut reply).await.unwrap();
        let status = reply.split_whitespace().nth(1).unwrap().parse().unwrap();
        let body = reply.split_once("\r\n\r\n").unwrap().1;
        (status, body.to_owned())
    }
}

#[tokio::test]
async fn readiness_follows_phase_and_freshness() {
    let process = start(Role::Entry).await;
    let (status, body) = process.get("/ready").await;
    assert_eq!(
        (status, body.starts_with("starting:")),
        (503, true),
        "{body}"
    );
    process.install_config(CONFIG_TEXT);
    process.serve_with_fresh_config();
    let (status, body) = process.get("/ready").await;
    assert_eq!(
        (
            status,
            body.starts_with("owners_unknown: an owner is known for 0 of")
        ),
        (503, true),
        "{body}"
    );
    process.set_owners(2);
    let (status, _) = process.get("/ready").await;
    assert_eq!(
        status, 503,
        "owners of exactly half of the shards are not enough"
    );
    process.set_owners(1);
    assert_eq!(process.get("/ready").await, (200, "ready\n".into()));
    process.context.board.owner_directory.store(Arc::default());
    let (status, _) = process.get("/ready").await;
    assert_eq!(status, 200, "an entry stays ready when relays fail");
    process
        .context
        .board
        .config_fresh_until_us
        .store(0, Ordering::Release);
    let (status, body) = process.get("/ready").await;
    assert_eq!(
        (status, body.starts_with("config_stale:")),
        (503, true),
        "{body}"
    );
    process.context.board.phase.send_replace(Phase::Draining);
    let (status, body) = process.get("/ready").await;
    assert_eq!(
        (status, body.starts_with("draining:")),
        (503, true),
        "{body}"
    );
    process.controllers.stop().await;
}

#[tokio::test]
async fn an_entry_in_a_disabled_zone_is_not_ready_but_a_relay_is() {
    let text_with_disabled_zone = CONFIG_TEXT.replacen("state = \"in\"", "state = \"out\"", 1);
    let entry = start(Role::Entry).await;
    entry.install_config(&text_with_disabled_zone);
    entry.serve_with_fresh_config();
    let (status, body) = entry.get("/ready").await;
    assert_eq!(
        (status, body.starts_with("zone_out:")),
        (503, true),
        "{body}"
    );
    entry.controllers.stop().await;
    let relay = start(Role::Relay).await;
    relay.install_config(&text_with_disabled_zone);
    relay.serve_with_fresh_config();
    assert_eq!(relay.get("/ready").await.0, 200);
    relay.controllers.stop().await;
}

#[tokio::test]
async fn status_lists_the_configuration_and_every_target() {
    let process = start(Role::Entry).await;
    process.install_config(CONFIG_TEXT);
    let refused = RefusedText {
        revision: 13,
        problems: vec!["2:11: impossible vms_max".into()],
    };
    let refused_texts = &process.context.board.refused_texts;
    refused_texts.store(Arc::new(vec![refused.clone()]));
    let (status, body) = process.get("/status").await;
    assert_eq!(status, 200);
    let document: StatusDocument = serde_json::from_str(&body).unwrap();
    assert_eq!(document.refused_texts, [refused]);
    let config = document.config.unwrap();
    assert_eq!((config.revision, &config.digest[..4]), (12, "abab"));
    assert_eq!(document.targets.len(), 105);
    assert!(!document.ready && document.not_ready_reason.is_some());
    let peer_document: StatusDocument =
        serde_json::from_str(&admin::handle_status(&process.context).await.json).unwrap();
    assert_eq!(peer_document.node, document.node);
    process.controllers.stop().await;
}

#[tokio::test]
async fn explain_lists_dependencies_first_and_only_the_shard_of_the_record() {
    let process = start(Role::Entry).await;
    assert_eq!(process.get("/explain?lookup=quote").await.0, 503);
    process.install_config(CONFIG_TEXT);
    assert_eq!(process.get("/explain").await.0, 400);
    assert_eq!(process.get("/explain?lookup=nothing").await.0, 404);
    let (status, body) = process.get("/explain?lookup=quote&record=A%2D1").await;
    assert_eq!(status, 200, "{body}");
    let document: ExplainDocument = serde_json::from_str(&body).unwrap();
    let names: Vec<&str> = document.steps.iter().map(|step| &*step.lookup).collect();
    assert_eq!(names, ["stock-search", "quote"]);
    assert_eq!(document.steps[0].shards.len(), 10);
    assert_eq!(document.steps[1].shards.len(), 1);
    let replica = &document.steps[1].shards[0].replicas[0];
    assert!(
        !replica.usable && replica.reason.contains("own"),
        "{replica:?}"
    );
    process.controllers.stop().await;
}

#[tokio::test]
async fn metrics_are_served_and_unknown_paths_are_rejected() {
    let process = start(Role::Relay).await;
    let second_process = start(Role::Relay).await;
    assert_eq!(process.get("/metrics").await.0, 200);
    assert_eq!(second_process.get("/metrics").await.0, 200);
    assert_eq!(process.get("/nothing").await.0, 404);
    second_process.controllers.stop().await;
    process.controllers.stop().await;
}

#[tokio::test]
async fn the_port_is_closed_after_the_stop_despite_an_open_connection() {
    let process = start(Role::Relay).await;
    let idle_connection = TcpStream::connect(process.addr).await.unwrap();
    process.get("/ready").await;
    let addr = process.addr;
    process.controllers.stop().await;
    assert!(TcpStream::connect(addr).await.is_err());
    drop(idle_connection);
}

#[tokio::test]
async fn an_address_in_use_is_a_start_error() {
    let process = start(Role::Relay).await;
    let mut controllers = Controllers::new();
    let error = admin::start(&process.context, &mut controllers)
        .await
        .unwrap_err();
    assert!(
        matches!(error, StartError::Bind { addr, .. } if addr == process.addr),
        "{error}"
    );
    controllers.stop().await;
    process.controllers.stop().await;
}
