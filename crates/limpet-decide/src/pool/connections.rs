//! State of each connection and the budget over all of them.

use std::{
    collections::HashMap,
    time::Duration, //
};

/// Shortest time between two replacements of suspected connections of one target.
pub const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time without a byte after which a connection is suspected.
const SUSPECT_MIN: Duration = Duration::from_millis(100);
/// Factor on the smoothed latency after which a connection is suspected.
const SUSPECT_FACTOR: u32 = 4;
/// Connections are shared with the former owner, whose own may still be open, and the one before.
const OWNERS_AT_ONCE: u32 = 3;

/// Number of a connection within its pool; never used twice.
pub type ConnectionId = u64;

/// Returns how many connections one owner may have open.
///
/// At least one: a target that accepts fewer than three connections could not be used otherwise.
pub fn connection_budget(connections_max: u32) -> u32 {
    (connections_max / OWNERS_AT_ONCE).max(1)
}

/// Returns the time without a byte after which a connection that owes a response is suspected.
pub fn suspicion_timeout(smoothed_latency: Duration) -> Duration {
    (smoothed_latency * SUSPECT_FACTOR).max(SUSPECT_MIN)
}

/// How the next attempt gets a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checkout {
    /// Use this idle connection.
    Reuse(ConnectionId),
    /// Open a connection under this number.
    Open(ConnectionId),
    /// The budget is used up.
    Wait,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Opening,
    Idle,
    Busy,
    Suspected,
}

/// Connections of one target.
///
/// # Examples
///
/// ```
/// use limpet_decide::pool::{Checkout, ConnectionPool};
///
/// let mut pool = ConnectionPool::new(6);
/// let Checkout::Open(first) = pool.checkout() else { unreachable!() };
/// pool.check_in(first, true);
/// assert_eq!(pool.checkout(), Checkout::Reuse(first));
/// ```
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    budget: u32,
    next_id: ConnectionId,
    states: HashMap<ConnectionId, ConnectionState>,
    idle: Vec<ConnectionId>,
    replaced_at: Option<Duration>,
}

impl ConnectionPool {
    /// Creates an empty pool for a target that accepts `connections_max` connections over all VMs.
    pub fn new(connections_max: u32) -> Self {
        Self {
            budget: connection_budget(connections_max),
            next_id: 0,
            states: HashMap::new(),
            idle: Vec::new(),
            replaced_at: None,
        }
    }

    /// Takes over the figure of a changed text; connections over it are not replaced when they end.
    pub fn set_connections_max(&mut self, connections_max: u32) {
        self.budget = connection_budget(connections_max);
    }

    /// Returns the number of connections that are open or being opened.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no connection is open or being opened.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Returns the number of connections that owe a response without being suspected.
    pub fn busy_count(&self) -> usize {
        let is_busy = |state: &&ConnectionState| **state == ConnectionState::Busy;
        self.states.values().filter(is_busy).count()
    }

    /// Takes a connection for one attempt: the one used last, else a new one within the budget.
    pub fn checkout(&mut self) -> Checkout {
        if let Some(id) = self.idle.pop() {
            self.states.insert(id, ConnectionState::Busy);
            return Checkout::Reuse(id);
        }
        match self.open_with(ConnectionState::Busy) {
            Some(id) => Checkout::Open(id),
            None => Checkout::Wait,
        }
    }

    /// Starts a connection ahead of need, if fewer than `wanted` exist and the budget allows.
    pub fn preconnect(&mut self, wanted: u32) -> Option<ConnectionId> {
        (self.states.len() < wanted as usize)
            .then(|| self.open_with(ConnectionState::Opening))
            .flatten()
    }

    fn open_with(&mut self, state: ConnectionState) -> Option<ConnectionId> {
        if self.states.len() >= self.budget as usize {
            return None;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.states.insert(id, state);
        Some(id)
    }

    /// Notes that a connection started ahead of need is open.
    pub fn mark_open(&mut self, id: ConnectionId) {
        if self.states.get(&id) == Some(&ConnectionState::Opening) {
            self.states.insert(id, ConnectionState::Idle);
            self.idle.push(id);
        }
    }

    /// Notes the end of the attempt on a connection; tells whether the connection is kept.
    ///
    /// A suspected connection that answered whole after all is used again.
    pub fn check_in(&mut self, id: ConnectionId, is_reusable: bool) -> bool {
        let owes = matches!(
            self.states.get(&id),
            Some(ConnectionState::Busy | ConnectionState::Suspected)
        );
        if owes && is_reusable && self.states.len() <= self.budget as usize {
            self.states.insert(id, ConnectionState::Idle);
            self.idle.push(id);
            return true;
        }
        self.remove(id);
        false
    }

    /// Notes that a connection is closed or could not be opened.
    pub fn remove(&mut self, id: ConnectionId) {
        self.states.remove(&id);
        self.idle.retain(|idle| *idle != id);
    }

    /// Suspects a connection that owes a response; returns the number of its replacement, if one
    /// may be opened now.
    pub fn suspect(&mut self, id: ConnectionId, now: Duration) -> Option<ConnectionId> {
        if self.states.get(&id) != Some(&ConnectionState::Busy) {
            return None;
        }
        self.states.insert(id, ConnectionState::Suspected);
        let is_early = self
            .replaced_at
            .is_some_and(|at| now < at + REPLACEMENT_INTERVAL);
        if is_early {
            return None;
        }
        let replacement = self.open_with(ConnectionState::Opening)?;
        self.replaced_at = Some(now);
        Some(replacement)
    }
}
