//! Connections of one target.

use super::Connection;

/// Idle connections and the number of open ones.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Vec<Connection>,
    open: usize,
}

impl Pool {
    /// Takes an idle connection that may carry a request; the one used last, so that others can age.
    pub fn take_idle(&mut self) -> Option<Connection> {
        while let Some(connection) = self.idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
            self.open = self.open.saturating_sub(1);
        }
        None
    }

    /// Reserves the place of one more connection; false if `limit` are open.
    pub fn reserve(&mut self, limit: usize) -> bool {
        let is_free = self.open < limit;
        self.open += usize::from(is_free);
        is_free
    }

    /// Takes back a connection after a request.
    pub fn put_idle(&mut self, connection: Connection) {
        self.idle.push(connection);
    }

    /// Notes that a reserved connection is closed.
    pub fn release(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Closes idle connections that may not be used any more.
    pub fn trim(&mut self) {
        let before = self.idle.len();
        self.idle.retain(Connection::is_usable);
        self.open = self.open.saturating_sub(before - self.idle.len());
    }

    /// Closes every idle connection.
    pub fn clear(&mut self) {
        self.open = self.open.saturating_sub(self.idle.len());
        self.idle.clear();
    }

    /// Returns the number of open connections.
    pub const fn open(&self) -> usize {
        self.open
    }
}
