//! Nodes from the VM list and from gossip.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use limpet_adapters::vm_list::{
    Vm,
    VmList,
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
        freshness::FreshnessMessage,
        records::Records,
        shared::Shared,
        ticker::{
            reap,
            tick, //
        },
    },
};

/// Time between two publications of the members.
const TICK: Duration = Duration::from_millis(200);
/// Time between two reads of the VM list in a small fleet.
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Addition for each node, which keeps all reads of a fleet under 500 a second.
const LIST_INTERVAL_PER_NODE: Duration = Duration::from_millis(2);

/// Messages to the membership controller.
#[derive(Debug)]
pub(super) enum MembershipMessage {
    /// Publish the members.
    Tick,
    /// Records that a peer sent.
    Heard(Vec<NodeRecord>),
    /// The VM list, if it could be read.
    Listed(Option<Vec<Vm>>),
}

/// The only writer of the members on the blackboard.
#[derive(Debug)]
pub(super) struct Membership;

#[derive(Debug)]
pub(super) struct MembershipState {
    shared: Arc<Shared>,
    freshness: ActorRef<FreshnessMessage>,
    records: Records,
    list_at: Option<Duration>,
    is_listing: bool,
    tasks: JoinSet<()>,
}

impl Actor for Membership {
    type Msg = MembershipMessage;
    type State = MembershipState;
    type Arguments = (Arc<Shared>, ActorRef<FreshnessMessage>);

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        (shared, freshness): Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let mut tasks = JoinSet::new();
        tick(&mut tasks, myself, TICK, || MembershipMessage::Tick);
        Ok(MembershipState {
            shared,
            freshness,
            records: Records::default(),
            list_at: None,
            is_listing: false,
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
                reap(&mut state.tasks);
                let count = state.publish();
                state.read_list(myself, count);
            }
            MembershipMessage::Heard(records) => {
                let now = state.shared.board.now();
                let own = state.shared.board.node.addr;
                for record in records {
                    if record.node.addr != own {
                        state.records.note(now, record);
                    }
                }
            }
            MembershipMessage::Listed(vms) => {
                state.is_listing = false;
                if let Some(vms) = vms {
                    state.note_list(&vms).await;
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
    fn publish(&mut self) -> usize {
        let now = self.shared.board.now();
        self.records.note(now, self.shared.own_record());
        let nodes = self.records.members(now);
        let count = nodes.len();
        metrics::gauge!("limpet_members").set(count as f64);
        self.shared.board.members.store(Arc::new(Members { nodes }));
        count
    }

    fn read_list(&mut self, myself: ActorRef<MembershipMessage>, members: usize) {
        let now = self.shared.board.now();
        let interval = LIST_INTERVAL + LIST_INTERVAL_PER_NODE * members as u32;
        if self.is_listing || self.list_at.is_some_and(|at| now < at + interval) {
            return;
        }
        self.is_listing = true;
        self.list_at = Some(now);
        let list = VmList::new(self.shared.settings.role.common().vm_list);
        self.tasks.spawn(async move {
            let vms = list.fetch().await;
            if let Err(error) = &vms {
                tracing::warn!(%error, "VM list not read");
            }
            let _ = myself.cast(MembershipMessage::Listed(vms.ok()));
        });
    }

    async fn note_list(&self, vms: &[Vm]) {
        let live = self.peer_addrs(vms.iter().filter(|vm| vm.state == VmState::Live));
        let all = self.peer_addrs(vms.iter());
        let _ = self.freshness.cast(FreshnessMessage::Listed(live));
        let old = self.shared.listed.swap(Arc::new(all.clone()));
        if *old != all {
            tracing::info!(vms = vms.len(), "VM list changed");
            let members = self.shared.board.members.load_full();
            let is_member = |addr| members.nodes.iter().any(|m| m.record.node.addr == addr);
            let peers = &self.shared.peers;
            peers
                .retain(|addr| all.contains(&addr) || is_member(addr))
                .await;
        }
    }

    /// Returns both peer addresses of each VM, without this process.
    fn peer_addrs<'a>(&self, vms: impl Iterator<Item = &'a Vm>) -> Vec<SocketAddr> {
        let common = self.shared.settings.role.common();
        let ports = [common.entry_peer_port, common.relay_peer_port];
        vms.flat_map(|vm| ports.map(|port| SocketAddr::new(vm.ip, port)))
            .filter(|addr| *addr != self.shared.board.node.addr)
            .collect()
    }
}
