//! States of the connections to one target, and the limit on their number.
//!
//! A connection is suspected to be dead if it owes a response and has delivered no byte for some time.

use std::{
    collections::HashMap,
    time::Duration, //
};

/// Shortest interval between two replacements of suspected connections to one target.
pub const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time without a received byte after which a connection is suspected.
const SUSPECT_MIN: Duration = Duration::from_millis(100);
/// Multiple of the smoothed latency after which a connection is suspected.
const SUSPECT_FACTOR: u32 = 4;
/// Number of owners that may have connections to a target open: the current owner and the two previous ones,
/// whose connections may not be closed yet.
const CONCURRENT_OWNERS_MAX: u32 = 3;

/// Identifier of a connection within its pool; never reused.
pub type ConnectionId = u64;

/// Returns how many connections one owner of a target may have open, given the limit over all VMs.
///
/// The budget is at least one, because a target that accepts fewer than three connections could not be used
/// otherwise.
pub fn connection_budget(connections_max: u32) -> u32 {
    (connections_max / CONCURRENT_OWNERS_MAX).max(1)
}

/// Returns the time without a received byte after which a connection that owes a response is
/// suspected.
pub fn suspicion_timeout(smoothed_latency: Duration) -> Duration {
    (smoothed_latency * SUSPECT_FACTOR).max(SUSPECT_MIN)
}

/// Result of taking a connection for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checkout {
    /// Use this idle connection; it is now busy.
    Reuse(ConnectionId),
    /// Open a connection with this identifier; it counts as busy.
    Open(ConnectionId),
    /// No connection is idle and the budget is used up.
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
    /// Maximum number of connections that this owner of the target may have open.
    budget: u32,
    next_id: ConnectionId,
    states: HashMap<ConnectionId, ConnectionState>,
    idle: Vec<ConnectionId>,
    /// When a suspected connection was last replaced.
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

    /// Applies the connection limit of a changed configuration.
    ///
    /// While more connections are open than the new budget allows, each one whose attempt ends is closed.
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

    /// Returns the number of connections that an attempt uses, those being opened for it included, without
    /// the suspected ones.
    pub fn busy_count(&self) -> usize {
        let is_busy = |state: &&ConnectionState| **state == ConnectionState::Busy;
        self.states.values().filter(is_busy).count()
    }

    /// Takes a connection for one attempt: the most recently used idle one, or else a new one if
    /// the budget allows.
    pub fn checkout(&mut self) -> Checkout {
        if let Some(id) = self.idle.pop() {
            self.states.insert(id, ConnectionState::Busy);
            return Checkout::Reuse(id);
        }
        match self.allocate(ConnectionState::Busy) {
            Some(id) => Checkout::Open(id),
            None => Checkout::Wait,
        }
    }

    /// Returns the identifier of a connection to open in advance, if fewer than `wanted_count` exist and the
    /// budget allows.
    pub fn preconnect(&mut self, wanted_count: u32) -> Option<ConnectionId> {
        (self.states.len() < wanted_count as usize)
            .then(|| self.allocate(ConnectionState::Opening))
            .flatten()
    }

    fn allocate(&mut self, state: ConnectionState) -> Option<ConnectionId> {
        if self.states.len() >= self.budget as usize {
            return None;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.states.insert(id, state);
        Some(id)
    }

    /// Marks a connection that was opened in advance as idle.
    pub fn mark_open(&mut self, id: ConnectionId) {
        if self.states.get(&id) == Some(&ConnectionState::Opening) {
            self.states.insert(id, ConnectionState::Idle);
            self.idle.push(id);
        }
    }

    /// Returns a connection to the pool after its attempt has ended; returns `false` if the caller must
    /// close it.
    ///
    /// A suspected connection that delivered its complete response after all is reused.
    pub fn check_in(&mut self, id: ConnectionId, is_reusable: bool) -> bool {
        let is_in_use = matches!(
            self.states.get(&id),
            Some(ConnectionState::Busy | ConnectionState::Suspected)
        );
        if is_in_use && is_reusable && self.states.len() <= self.budget as usize {
            self.states.insert(id, ConnectionState::Idle);
            self.idle.push(id);
            return true;
        }
        self.remove(id);
        false
    }

    /// Removes a connection that is closed or could not be opened.
    pub fn remove(&mut self, id: ConnectionId) {
        self.states.remove(&id);
        self.idle.retain(|idle| *idle != id);
    }

    /// Marks a connection that owes a response as suspected, and returns the identifier of the replacement to
    /// open if the budget and [`REPLACEMENT_INTERVAL`] allow one now.
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
        let replacement = self.allocate(ConnectionState::Opening)?;
        self.replaced_at = Some(now);
        Some(replacement)
    }
}
