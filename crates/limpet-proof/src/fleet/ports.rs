//! Search for free TCP ports.

use std::net::{
    Ipv4Addr,
    TcpListener, //
};

use rand::Rng;

use crate::fleet::FleetError;

/// Lies below the usual ephemeral range, whose ports an outgoing connection could take meanwhile.
const PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;
/// Maximum number of random ports to try.
const ATTEMPTS_MAX: usize = 10_000;

/// Returns random ports that are free on all addresses.
pub(super) fn free_ports(count: usize) -> Result<Vec<u16>, FleetError> {
    let mut rng = rand::rng();
    // The listeners stay open until the end, so that no port is chosen twice.
    let mut listeners = Vec::with_capacity(count);
    for _ in 0..ATTEMPTS_MAX {
        if listeners.len() == count {
            return Ok(listeners.into_iter().map(|(port, _)| port).collect());
        }
        let port = rng.random_range(PORT_RANGE);
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)) {
            listeners.push((port, listener));
        }
    }
    let source = std::io::Error::other("too few free ports");
    Err(FleetError::io("find free ports")(source))
}
