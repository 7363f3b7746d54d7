//! Several control stacks in one process, against the fake platform.

#![allow(dead_code)] // Each user of this module needs another part of it.

use std::{
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use clap::Parser;
use limpet_fakes::platform::{
    FakeVm,
    Frontend,
    Platform, //
};
use limpet_peer::{
    PeerClient,
    PeerServer, //
};
use limpet_types::{
    NodeId, Phase, Role, codec,
    message::{
        PeerReply,
        PeerRequest, //
    },
};
use limpetshuntd::{
    Blackboard, Settings, control,
    controllers::Controllers,
    daemon::{
        Context,
        ModuleStates, //
    },
};
use tokio::{
    net::TcpListener,
    sync::watch, //
};

/// Longest wait of a test for an event.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Shortest freshness limit that a text may set.
pub(crate) const FRESHNESS_LIMIT: Duration = Duration::from_secs(3);

/// Messages and their encoded bytes.
#[derive(Debug, Default)]
pub(crate) struct GossipTraffic {
    pub(crate) exchanges: AtomicU64,
    pub(crate) request_bytes: AtomicU64,
    pub(crate) reply_bytes: AtomicU64,
}

/// Platform and nodes; node `i` runs on the VM with the address `127.NET.0.(i + 1)`.
pub(crate) struct ControlCluster {
    pub(crate) platform: Platform,
    pub(crate) traffic: Arc<GossipTraffic>,
    net: (u8, u8),
    zones: usize,
    ports: (u16, u16),
    vm_list: Frontend,
    isolated_addrs: watch::Sender<Vec<SocketAddr>>,
}

/// One node of the cluster: its control controllers and its peer server.
pub(crate) struct Node {
    pub(crate) context: Context,
    pub(crate) config_service: Frontend,
    server: PeerServer,
    controllers: Controllers,
}

pub(crate) fn config_text(vms_max: usize) -> String {
    format!(
        "fleet = {{ vms_max = {vms_max}, freshness_limit_ms = {} }}\n",
        FRESHNESS_LIMIT.as_millis()
    )
}

/// Waits until `condition` holds; polls, because the blackboard has no event for every field.
pub(crate) async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) -> Duration {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < EVENT_TIMEOUT, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    started.elapsed()
}

impl ControlCluster {
    /// Creates a platform; `net` keeps the addresses of tests apart.
    pub(crate) async fn new(net: (u8, u8), zones: usize) -> Self {
        let platform = Platform::new();
        let vm_list = platform.serve(any_port()).await.unwrap();
        let ports = (free_port().await, free_port().await);
        Self {
            platform,
            traffic: Arc::default(),
            net,
            zones,
            ports,
            vm_list,
            isolated_addrs: watch::Sender::default(),
        }
    }

    pub(crate) fn ip(&self, vm: usize) -> IpAddr {
        Ipv4Addr::new(127, self.net.0, self.net.1, vm as u8 + 1).into()
    }

    fn zone(&self, vm: usize) -> String {
        format!("z{}", vm % self.zones)
    }

    /// Lists these VMs as live.
    pub(crate) fn list_vms(&self, vms: impl IntoIterator<Item = usize>) {
        let vms = vms.into_iter().map(|vm| FakeVm {
            name: format!("vm-{vm}"),
            ip: self.ip(vm),
            zone: self.zone(vm),
            state: "live".into(),
        });
        self.platform.set_vms(vms.collect());
    }

    /// Makes these nodes neither answer their peers nor get an answer.
    pub(crate) fn isolate(&self, nodes: &[&Node]) {
        let nodes = nodes.iter().map(|node| node.context.board.node.addr);
        self.isolated_addrs.send_replace(nodes.collect());
    }

    pub(crate) async fn start(&self, vm: usize, role: Role) -> Node {
        self.start_with_config_service(vm, role, false).await
    }

    /// Starts a node, with the configuration service down for it from the beginning if so asked.
    pub(crate) async fn start_with_config_service(
        &self,
        vm: usize,
        role: Role,
        is_service_down: bool,
    ) -> Node {
        let config_service = self.platform.serve(any_port()).await.unwrap();
        config_service.set_down(is_service_down);
        let (name, port) = match role {
            Role::Entry => ("entry", self.ports.0),
            Role::Relay => ("relay", self.ports.1),
        };
        let addr = SocketAddr::new(self.ip(vm), port);
        let mut flags = vec![
            "limpetshuntd".to_owned(),
            name.to_owned(),
            format!("--ip={}", self.ip(vm)),
            format!("--zone={}", self.zone(vm)),
            format!("--entry-peer-port={}", self.ports.0),
            format!("--relay-peer-port={}", self.ports.1),
            format!("--config-service={}", config_service.addr()),
            format!("--vm-list={}", self.vm_list.addr()),
            "--admin-addr=127.0.0.1:0".to_owned(),
        ];
        if role == Role::Entry {
            flags.push("--caller-addr=127.0.0.1:0".to_owned());
        }
        let context = Context {
            board: Blackboard::new(
                NodeId::new(addr, rand::random()),
                role,
                self.zone(vm).into(),
            ),
            peers: PeerClient::new(),
            settings: Arc::new(Settings::parse_from(flags)),
            module_states: Arc::new(ModuleStates::default()),
        };
        let mut controllers = Controllers::new();
        control::start(&context, &mut controllers).await.unwrap();
        let (serving, cut, traffic) = (
            context.clone(),
            self.isolated_addrs.clone(),
            self.traffic.clone(),
        );
        let server = limpet_peer::serve(TcpListener::bind(addr).await.unwrap(), move |request| {
            answer(serving.clone(), cut.subscribe(), traffic.clone(), request)
        });
        Node {
            context,
            config_service,
            server,
            controllers,
        }
    }
}

async fn answer(
    context: Context,
    mut cut: watch::Receiver<Vec<SocketAddr>>,
    traffic: Arc<GossipTraffic>,
    request: PeerRequest,
) -> PeerReply {
    let request_bytes = codec::encode(&request).unwrap().len() as u64;
    let PeerRequest::Gossip(gossip) = request else {
        return PeerReply::Unsupported;
    };
    let (from, to) = (gossip.sender.node.addr, context.board.node.addr);
    if cut.borrow().contains(&from) || cut.borrow().contains(&to) {
        let _ = cut
            .wait_for(|cut| !cut.contains(&from) && !cut.contains(&to))
            .await;
        return PeerReply::Unsupported;
    }
    let Some(reply) = control::handle_gossip(&context, *gossip).await else {
        return PeerReply::Unsupported;
    };
    let reply = PeerReply::Gossip(Box::new(reply));
    let reply_bytes = codec::encode(&reply).unwrap().len() as u64;
    traffic.exchanges.fetch_add(1, Ordering::Relaxed);
    traffic
        .request_bytes
        .fetch_add(request_bytes, Ordering::Relaxed);
    traffic
        .reply_bytes
        .fetch_add(reply_bytes, Ordering::Relaxed);
    reply
}

impl Node {
    pub(crate) fn revision(&self) -> u64 {
        self.context
            .board
            .config_in_force()
            .map_or(0, |config| config.revision)
    }

    pub(crate) fn is_fresh(&self) -> bool {
        self.context.board.is_config_fresh()
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.context.board.phase() == Phase::Serving
    }

    /// Ends the node; its peers find its address closed.
    pub(crate) async fn stop(self) {
        self.server.stop().await;
        self.controllers.stop().await;
        self.context.peers.close().await;
        self.config_service.stop().await;
    }
}

pub(crate) async fn stop_nodes(nodes: Vec<Node>) {
    futures::future::join_all(nodes.into_iter().map(Node::stop)).await;
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

async fn free_port() -> u16 {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    listener.local_addr().unwrap().port()
}
