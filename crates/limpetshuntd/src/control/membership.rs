//! Publishes the members of the fleet, which are known by gossip, and the peers on the VM list.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use limpet_adapters::vm_list::{
    Vm,
    VmListClient,
    VmState, //
};
use limpet_types::NodeRecord;
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use tokio::task::JoinSet;

use crate::{
    blackboard::Members,
    control::{
        actor_tasks::{
            reap_finished_tasks,
            send_periodically, //
        },
        control_state::ControlState,
        freshness::FreshnessMessage,
        node_records::NodeRecords,
    },
};

/// Time between two updates of the members on the blackboard.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two fetches of the VM list by one process, before the additional time per member.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Additional time per member, which keeps the fetches by all processes of the fleet below 500 a
/// second.
const VM_LIST_INTERVAL_PER_NODE: Duration = Duration::from_millis(2);

/// Messages to the membership controller.
#[derive(Debug)]
pub(super) enum MembershipMessage {
    /// Publish the members, and fetch the VM list if it is due.
    Tick,
    /// A peer sent node records.
    RecordsReceived(Vec<NodeRecord>),
    /// A fetch of the VM list has ended; `None` if it failed.
    VmListFetched(Option<Vec<Vm>>),
}

/// Collects node records and fetches the VM list.
///
/// It is the only writer of the members on the blackboard.
#[derive(Debug)]
pub(super) struct MembershipController;

/// State of the membership controller between two messages.
#[derive(Debug)]
pub(super) struct MembershipState {
    control_state: Arc<ControlState>,
    freshness: ActorRef<FreshnessMessage>,
    records: NodeRecords,
    /// Time since boot at which the last fetch of the VM list was started, or `None` before the first.
    vm_list_requested_at: Option<Duration>,
    is_fetching_vm_list: bool,
    tasks: JoinSet<()>,
}

impl Actor for MembershipController {
    type Msg = MembershipMessage;
    type State = MembershipState;
    type Arguments = (Arc<ControlState>, ActorRef<FreshnessMessage>);

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (control_state, freshness): Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let mut tasks = JoinSet::new();
        send_periodically(&mut tasks, myself, TICK_INTERVAL, || {
            MembershipMessage::Tick
        });
        Ok(MembershipState {
            control_state,
            freshness,
            records: NodeRecords::default(),
            vm_list_requested_at: None,
            is_fetching_vm_list: false,
            tasks,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            MembershipMessage::Tick => {
                reap_finished_tasks(&mut state.tasks);
                let member_count = state.publish_members();
                state.fetch_vm_list_if_due(myself, member_count);
            }
            MembershipMessage::RecordsReceived(records) => {
                let now = state.control_state.board.now();
                let own_addr = state.control_state.board.node.addr;
                for record in records {
                    if record.node.addr != own_addr {
                        state.records.insert_if_newer(now, record);
                    }
                }
            }
            MembershipMessage::VmListFetched(vms) => {
                state.is_fetching_vm_list = false;
                if let Some(vms) = vms {
                    state.apply_vm_list(&vms).await;
                }
            }
        }
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<Self::Msg>,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        state.tasks.shutdown().await;
        Ok(())
    }
}

impl MembershipState {
    /// Removes expired node records, publishes the remaining nodes and this one as the members, and returns
    /// their number.
    fn publish_members(&mut self) -> usize {
        let now = self.control_state.board.now();
        self.records
            .insert_if_newer(now, self.control_state.update_own_record());
        let nodes = self.records.prune(now);
        let member_count = nodes.len();
        metrics::gauge!("limpet_members").set(member_count as f64);
        self.control_state
            .board
            .members
            .store(Arc::new(Members { nodes }));
        member_count
    }

    /// Starts a fetch of the VM list in the background if one is due and none is in flight.
    fn fetch_vm_list_if_due(&mut self, myself: ActorRef<MembershipMessage>, member_count: usize) {
        let now = self.control_state.board.now();
        let interval = VM_LIST_INTERVAL + VM_LIST_INTERVAL_PER_NODE * member_count as u32;
        if self.is_fetching_vm_list
            || self
                .vm_list_requested_at
                .is_some_and(|at| now < at + interval)
        {
            return;
        }
        self.is_fetching_vm_list = true;
        self.vm_list_requested_at = Some(now);
        let vm_list_client = VmListClient::new(self.control_state.settings.role.common().vm_list);
        self.tasks.spawn(async move {
            let vms = vm_list_client.fetch().await;
            if let Err(error) = &vms {
                tracing::warn!(%error, "cannot fetch the VM list");
            }
            let _ = myself.cast(MembershipMessage::VmListFetched(vms.ok()));
        });
    }

    /// Sends the peers on live VMs to the freshness controller and publishes all peers on a fetched VM list.
    /// If the listed peers have changed, logs this and closes the connections to peers that are neither
    /// listed nor members.
    async fn apply_vm_list(&self, vms: &[Vm]) {
        let live_peers = self.peer_addrs(vms.iter().filter(|vm| vm.state == VmState::Live));
        let listed_peers = self.peer_addrs(vms.iter());
        let _ = self
            .freshness
            .cast(FreshnessMessage::LivePeersListed(live_peers));
        let previously_listed = self
            .control_state
            .listed_peers
            .swap(Arc::new(listed_peers.clone()));
        if *previously_listed != listed_peers {
            tracing::info!(vms = vms.len(), "VM list changed");
            let members = self.control_state.board.members.load_full();
            let is_member = |addr| members.nodes.iter().any(|m| m.record.node.addr == addr);
            let peer_client = &self.control_state.peer_client;
            peer_client
                .retain(|addr| listed_peers.contains(&addr) || is_member(addr))
                .await;
        }
    }

    /// Returns the peer addresses of the entry and the relay of each VM, except that of this process.
    fn peer_addrs<'a>(&self, vms: impl Iterator<Item = &'a Vm>) -> Vec<SocketAddr> {
        let common = self.control_state.settings.role.common();
        let ports = [common.entry_peer_port, common.relay_peer_port];
        vms.flat_map(|vm| ports.map(|port| SocketAddr::new(vm.ip, port)))
            .filter(|addr| *addr != self.control_state.board.node.addr)
            .collect()
    }
}
