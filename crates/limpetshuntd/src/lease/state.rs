//! State of the lease module between requests.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use limpet_decide::lease::Voter;
use limpet_types::{
    GroupId,
    hash::LEASE_GROUP_COUNT, //
};

use crate::{
    blackboard::Blackboard,
    lease::{
        grant_client::GrantClient,
        group_state::GroupState,
        rules_cache::RulesCache, //
    },
};

/// Votes, coordinators and grant clients of one process.
#[derive(Debug)]
pub struct LeaseState {
    voter: Mutex<Voter>,
    groups: Vec<Mutex<GroupState>>,
    clients: Vec<tokio::sync::Mutex<GrantClient>>,
    pub(super) rules: RulesCache,
}

impl LeaseState {
    /// Creates the state of a process that starts now.
    pub fn new(board: &Blackboard) -> Self {
        let node = board.node;
        let groups = (0..LEASE_GROUP_COUNT).map(|g| Mutex::new(GroupState::new(node, g)));
        let clients = (0..LEASE_GROUP_COUNT).map(|g| GrantClient::new(node, g).into());
        Self {
            voter: Mutex::new(Voter::new(node, board.now())),
            groups: groups.collect(),
            clients: clients.collect(),
            rules: RulesCache::default(),
        }
    }

    pub(super) fn voter(&self) -> MutexGuard<'_, Voter> {
        self.voter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn group(&self, group: GroupId) -> MutexGuard<'_, GroupState> {
        let group = &self.groups[usize::from(group)];
        group.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn client(&self, group: GroupId) -> &tokio::sync::Mutex<GrantClient> {
        &self.clients[usize::from(group)]
    }

    /// Returns the groups whose lease is held at `now`.
    pub(super) fn coordinated(&self, now: Duration) -> Vec<GroupId> {
        let holds = |group: &GroupId| self.group(*group).candidate.lease(now).is_some();
        (0..LEASE_GROUP_COUNT).filter(holds).collect()
    }
}
