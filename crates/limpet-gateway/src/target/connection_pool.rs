//! Connection pool of one target.

use http::HeaderValue;

use super::Connection;

/// Idle connections to a target, and the number of all open ones.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Vec<Connection>,
    /// Number of open connections: idle, in use or being opened.
    open_count: usize,
}

impl ConnectionPool {
    /// Takes a usable idle connection for a request with this id.
    ///
    /// The most recently used one is taken, so that surplus connections reach their idle timeout. If only such are left
    /// on which this request was rejected, one of them is closed, so that there is capacity for a new one.
    pub fn take_idle(&mut self, request_id: &HeaderValue) -> Option<Connection> {
        let can_carry = |connection: &Connection| !connection.has_rejected(request_id);
        while let Some(index) = self.idle.iter().rposition(can_carry) {
            let connection = self.idle.remove(index);
            if connection.is_usable() {
                return Some(connection);
            }
            self.release();
        }
        if self.idle.pop().is_some() {
            self.release();
        }
        None
    }

    /// Returns whether a usable connection is idle.
    pub fn has_idle(&self) -> bool {
        self.idle.iter().any(Connection::is_usable)
    }

    /// Reserves capacity for a new connection; returns false if `limit` or more connections are open.
    pub fn reserve(&mut self, limit: usize) -> bool {
        let has_capacity = self.open_count < limit;
        self.open_count += usize::from(has_capacity);
        has_capacity
    }

    /// Returns a connection to the pool after a request.
    pub fn put_idle(&mut self, connection: Connection) {
        self.idle.push(connection);
    }

    /// Releases the capacity of a closed connection.
    pub fn release(&mut self) {
        self.open_count = self.open_count.saturating_sub(1);
    }

    /// Closes idle connections that are no longer usable.
    pub fn close_expired(&mut self) {
        let idle_count_before = self.idle.len();
        self.idle.retain(Connection::is_usable);
        self.open_count = self
            .open_count
            .saturating_sub(idle_count_before - self.idle.len());
    }

    /// Closes all idle connections.
    pub fn close_idle(&mut self) {
        self.open_count = self.open_count.saturating_sub(self.idle.len());
        self.idle.clear();
    }

    /// Returns the number of open connections.
    pub const fn open_count(&self) -> usize {
        self.open_count
    }
}
