//! Free ports.

use std::net::{
    Ipv4Addr,
    TcpListener, //
};

use rand::Rng;

use crate::fleet::FleetError;

/// Ports are drawn below the usual range of outgoing connections, which could take them meanwhile.
const PORTS_DRAWN: std::ops::Range<u16> = 10_000..30_000;
/// Most draws until the search ends.
const DRAWS_MAX: usize = 10_000;

/// Returns ports that no process listens on, on any address.
pub(super) fn free_ports(count: usize) -> Result<Vec<u16>, FleetError> {
    let mut rng = rand::rng();
    // The listeners stay open until the end, so that no port is drawn twice.
    let mut listeners = Vec::with_capacity(count);
    for _ in 0..DRAWS_MAX {
        if listeners.len() == count {
            return Ok(listeners.into_iter().map(|(port, _)| port).collect());
        }
        let port = rng.random_range(PORTS_DRAWN);
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)) {
            listeners.push((port, listener));
        }
    }
    let source = std::io::Error::other("too few are free");
    Err(FleetError::io("ports")(source))
}
