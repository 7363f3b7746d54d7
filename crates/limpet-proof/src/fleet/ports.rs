//! Search for free TCP ports.

use std::{
    collections::BTreeSet,
    net::{
        Ipv4Addr,
        TcpListener, //
    },
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use rand::Rng;

use crate::fleet::FleetError;

/// Range of the ports. It lies below the usual ephemeral range, from which an outgoing connection could
/// take a port meanwhile.
const PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;
/// Maximum number of random ports to try.
const ATTEMPTS_MAX: usize = 10_000;

/// Ports returned so far, so that fleets that start at the same time get different ones.
static RETURNED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Locks the ports, so that no search for free ports runs while a process is spawned.
///
/// Between fork and exec a child holds copies of all sockets of this process. A port whose listener was
/// copied could not be bound until the exec, although the search has closed it.
pub(super) fn lock_ports() -> MutexGuard<'static, BTreeSet<u16>> {
    RETURNED_PORTS
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

/// Returns random distinct ports on which no process listens on any address.
pub(super) fn find_free_ports(count: usize) -> Result<Vec<u16>, FleetError> {
    let mut rng = rand::rng();
    let mut returned_ports = lock_ports();
    // The listeners stay open until the end of the search, so that no port is chosen twice.
    let mut listeners = Vec::with_capacity(count);
    for _ in 0..ATTEMPTS_MAX {
        if listeners.len() == count {
            let ports: Vec<u16> = listeners.iter().map(|(port, _)| *port).collect();
            returned_ports.extend(&ports);
            // The listeners are closed before the lock is released.
            drop(listeners);
            return Ok(ports);
        }
        let port = rng.random_range(PORT_RANGE);
        if returned_ports.contains(&port) {
            continue;
        }
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)) {
            listeners.push((port, listener));
        }
    }
    let source = std::io::Error::other("too few free ports");
    Err(FleetError::io("find free ports")(source))
}
