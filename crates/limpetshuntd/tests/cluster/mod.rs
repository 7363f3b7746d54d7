//! Nodes that run the controllers of the control module, in one process and against the fake platform.

#![allow(dead_code)] // No user of this module needs all of it.

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
    FakePlatform,
    FakePlatformServer,
    FakeVm, //
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

/// Time that a test waits for an event before it fails.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Freshness limit of the nodes: the shortest that a configuration text may set.
pub(crate) const FRESHNESS_LIMIT: Duration = Duration::from_secs(3);

/// Number of gossip exchanges, and the encoded bytes of their messages.
#[derive(Debug, Default)]
pub(crate) struct GossipTraffic {
    pub(crate) exchange_count: AtomicU64,
    pub(crate) request_bytes: AtomicU64,
    pub(crate) reply_bytes: AtomicU64,
}

/// Fake platform of a test, and the state that its nodes share; the VM with index `i` has the address
/// `127.SUBNET.(i + 1)`.
pub(crate) struct ControlCluster {
    pub(crate) platform: FakePlatform,
    pub(crate) traffic: Arc<GossipTraffic>,
    subnet: (u8, u8),
    zone_count: usize,
    /// Peer ports of the entries and of the relays.
    peer_ports: (u16, u16),
    vm_list: FakePlatformServer,
    /// Addresses of the nodes cut off by [`ControlCluster::isolate`].
    isolated_addrs: watch::Sender<Vec<SocketAddr>>,
}

/// One node of the cluster: its controllers of the control module and its peer server.
pub(crate) struct Node {
    pub(crate) context: Context,
    pub(crate) config_service: FakePlatformServer,
    server: PeerServer,
    controllers: Controllers,
}

/// Smallest valid configuration text; a different `vms_max` makes a different text.
pub(crate) fn config_text(vms_max: usize) -> String {
    format!(
        "fleet = {{ vms_max = {vms_max}, freshness_limit_ms = {} }}\n",
        FRESHNESS_LIMIT.as_millis()
    )
}

/// Waits until `condition` holds and returns how long that took.
///
/// It polls because the blackboard does not notify of changes of every field.
pub(crate) async fn wait_until(event: &str, mut condition: impl FnMut() -> bool) -> Duration {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < EVENT_TIMEOUT,
            "timed out waiting for: {event}"
        );
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    started.elapsed()
}

impl ControlCluster {
    /// Creates the platform; a `subnet` of its own keeps the addresses of each test apart.
    pub(crate) async fn new(subnet: (u8, u8), zone_count: usize) -> Self {
        let platform = FakePlatform::new();
        let vm_list = platform.serve(any_port_addr()).await.unwrap();
        let peer_ports = (free_port().await, free_port().await);
        Self {
            platform,
            traffic: Arc::default(),
            subnet,
            zone_count,
            peer_ports,
            vm_list,
            isolated_addrs: watch::Sender::default(),
        }
    }

    /// Returns the address of a VM.
    pub(crate) fn ip(&self, vm_index: usize) -> IpAddr {
        Ipv4Addr::new(127, self.subnet.0, self.subnet.1, vm_index as u8 + 1).into()
    }

    fn zone(&self, vm_index: usize) -> String {
        format!("z{}", vm_index % self.zone_count)
    }

    /// Makes the platform list just these VMs, as live.
    pub(crate) fn list_vms(&self, vms: impl IntoIterator<Item = usize>) {
        let vms = vms.into_iter().map(|vm_index| FakeVm {
            name: format!("vm-{vm_index}"),
            ip: self.ip(vm_index),
            zone: self.zone(vm_index),
            state: "live".into(),
        });
        self.platform.set_vms(vms.collect());
    }

    /// Cuts just these nodes off from their peers: gossip from and to them gets no answer.
    pub(crate) fn isolate(&self, nodes: &[&Node]) {
        let addrs = nodes.iter().map(|node| node.context.board.node.addr);
        self.isolated_addrs.send_replace(addrs.collect());
    }

    /// Starts a node that can reach the configuration service.
    pub(crate) async fn start(&self, vm_index: usize, role: Role) -> Node {
        self.start_with_config_service(vm_index, role, false).await
    }

    /// Starts a node; with `is_service_down` the configuration service is down for it from the start.
    pub(crate) async fn start_with_config_service(
        &self,
        vm_index: usize,
        role: Role,
        is_service_down: bool,
    ) -> Node {
        let config_service = self.platform.serve(any_port_addr()).await.unwrap();
        config_service.set_down(is_service_down);
        let (role_name, port) = match role {
            Role::Entry => ("entry", self.peer_ports.0),
            Role::Relay => ("relay", self.peer_ports.1),
        };
        let addr = SocketAddr::new(self.ip(vm_index), port);
        let mut arguments = vec![
            "limpetshuntd".to_owned(),
            role_name.to_owned(),
            format!("--ip={}", self.ip(vm_index)),
            format!("--zone={}", self.zone(vm_index)),
            format!("--entry-peer-port={}", self.peer_ports.0),
            format!("--relay-peer-port={}", self.peer_ports.1),
            format!("--config-service={}", config_service.addr()),
            format!("--vm-list={}", self.vm_list.addr()),
            "--admin-addr=127.0.0.1:0".to_owned(),
        ];
        if role == Role::Entry {
            arguments.push("--caller-addr=127.0.0.1:0".to_owned());
        }
        let context = Context {
            board: Blackboard::new(
                NodeId::new(addr, rand::random()),
                role,
                self.zone(vm_index).into(),
            ),
            peer_client: PeerClient::new(),
            settings: Arc::new(Settings::parse_from(arguments)),
            module_states: Arc::new(ModuleStates::default()),
        };
        let mut controllers = Controllers::new();
        control::start(&context, &mut controllers).await.unwrap();
        let (server_context, isolated_addrs, traffic) = (
            context.clone(),
            self.isolated_addrs.clone(),
            self.traffic.clone(),
        );
        let server = limpet_peer::serve(TcpListener::bind(addr).await.unwrap(), move |request| {
            answer_peer_request(
                server_context.clone(),
                isolated_addrs.subscribe(),
                traffic.clone(),
                request,
            )
        });
        Node {
            context,
            config_service,
            server,
            controllers,
        }
    }
}

/// Answers gossip requests, and counts them with the sizes of the messages; a request from or to an isolated
/// node gets no answer before the isolation ends.
async fn answer_peer_request(
    context: Context,
    mut isolated_addrs: watch::Receiver<Vec<SocketAddr>>,
    traffic: Arc<GossipTraffic>,
    request: PeerRequest,
) -> PeerReply {
    let request_bytes = codec::encode(&request).unwrap().len() as u64;
    let PeerRequest::Gossip(gossip) = request else {
        return PeerReply::Unsupported;
    };
    let (from, to) = (gossip.sender.node.addr, context.board.node.addr);
    if isolated_addrs.borrow().contains(&from) || isolated_addrs.borrow().contains(&to) {
        let _ = isolated_addrs
            .wait_for(|addrs| !addrs.contains(&from) && !addrs.contains(&to))
            .await;
        return PeerReply::Unsupported;
    }
    let Some(reply) = control::handle_gossip(&context, *gossip).await else {
        return PeerReply::Unsupported;
    };
    let reply = PeerReply::Gossip(Box::new(reply));
    let reply_bytes = codec::encode(&reply).unwrap().len() as u64;
    traffic.exchange_count.fetch_add(1, Ordering::Relaxed);
    traffic
        .request_bytes
        .fetch_add(request_bytes, Ordering::Relaxed);
    traffic
        .reply_bytes
        .fetch_add(reply_bytes, Ordering::Relaxed);
    reply
}

impl Node {
    /// Returns the revision of the configuration in force, or 0 if there is none yet.
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

    /// Stops the node; its peers then get their connections refused.
    pub(crate) async fn stop(self) {
        self.server.stop().await;
        self.controllers.stop().await;
        self.context.peer_client.close().await;
        self.config_service.stop().await;
    }
}

pub(crate) async fn stop_nodes(nodes: Vec<Node>) {
    futures::future::join_all(nodes.into_iter().map(Node::stop)).await;
}

fn any_port_addr() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

async fn free_port() -> u16 {
    let listener = TcpListener::bind(any_port_addr()).await.unwrap();
    listener.local_addr().unwrap().port()
}
