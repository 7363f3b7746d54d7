//! What the next step of a process depends on.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use crate::spread::Readers;

/// What the next step of a process depends on.
#[derive(Clone, Copy, Debug)]
pub struct RefreshView<'a> {
    /// Age of the state of this process; `None` if it has no state.
    pub age: Option<Duration>,
    /// Address of this process.
    pub own_addr: SocketAddr,
    /// Whom this process follows.
    pub readers: &'a Readers,
    /// Live processes, this one included.
    pub live_addrs: &'a [SocketAddr],
}

impl RefreshView<'_> {
    /// Returns the processes that this one tries to follow, in this order.
    pub(super) fn candidates(&self) -> impl Iterator<Item = SocketAddr> {
        let candidates = self.readers.candidates.iter().copied();
        candidates.take_while(|addr| *addr != self.own_addr)
    }
}
