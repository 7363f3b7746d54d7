//! State that the lease module keeps between requests.

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
    LeaseGroupId,
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
    grant_clients: Vec<tokio::sync::Mutex<GrantClient>>,
    pub(super) rules_cache: RulesCache,
}

impl LeaseState {
    /// Creates the state of a process that is starting.
    pub fn new(board: &Blackboard) -> Self {
        let node = board.node;
        let groups = (0..LEASE_GROUP_COUNT).map(|group| Mutex::new(GroupState::new(node, group)));
        let grant_clients =
            (0..LEASE_GROUP_COUNT).map(|group| GrantClient::new(node, group).into());
        Self {
            voter: Mutex::new(Voter::new(node, board.now())),
            groups: groups.collect(),
            grant_clients: grant_clients.collect(),
            rules_cache: RulesCache::default(),
        }
    }

    /// Locks the voter, which answers vote requests for this relay.
    pub(super) fn lock_voter(&self) -> MutexGuard<'_, Voter> {
        self.voter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the candidate and the coordinator of a lease group.
    pub(super) fn lock_group(&self, group: LeaseGroupId) -> MutexGuard<'_, GroupState> {
        let group_state = &self.groups[usize::from(group)];
        group_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the grant client of a lease group, which the caller locks.
    pub(super) fn grant_client(&self, group: LeaseGroupId) -> &tokio::sync::Mutex<GrantClient> {
        &self.grant_clients[usize::from(group)]
    }

    /// Returns the lease groups whose lease this process holds at `now`.
    pub(super) fn coordinated_groups(&self, now: Duration) -> Vec<LeaseGroupId> {
        let is_held = |group: &LeaseGroupId| self.lock_group(*group).candidate.lease(now).is_some();
        (0..LEASE_GROUP_COUNT).filter(is_held).collect()
    }
}
