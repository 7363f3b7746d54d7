//! Free ports for processes that a script starts.

use std::net::{
    Ipv4Addr,
    TcpListener, //
};

use clap::Args;
use rand::Rng as _;

/// Ports are drawn below the usual range of outgoing connections, which could take them meanwhile.
const PORTS_DRAWN: std::ops::Range<u16> = 10_000..30_000;
/// Most draws until the search ends.
const DRAWS_MAX: usize = 10_000;

/// Arguments of `ports`.
#[derive(Clone, Debug, Args)]
pub struct PortsArguments {
    /// Number of ports.
    #[arg(long, env = "LIMPET_BENCH_PORTS", default_value_t = 1)]
    pub count: usize,
}

/// Returns ports that no process listens on, on any address.
///
/// # Errors
///
/// Fails when too few are free.
pub fn free_ports(count: usize) -> std::io::Result<Vec<u16>> {
    let mut rng = rand::rng();
    // The listeners stay open until the end, so that no port is drawn twice.
    let mut listeners = Vec::with_capacity(count);
    for _ in 0..DRAWS_MAX {
        if listeners.len() == count {
            break;
        }
        let port = rng.random_range(PORTS_DRAWN);
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)) {
            listeners.push((port, listener));
        }
    }
    if listeners.len() < count {
        return Err(std::io::Error::other("too few free ports"));
    }
    Ok(listeners.into_iter().map(|(port, _)| port).collect())
}

/// Prints free ports, one a line.
///
/// # Errors
///
/// Fails when too few are free.
pub fn run(arguments: &PortsArguments) -> Result<bool, Box<dyn std::error::Error>> {
    for port in free_ports(arguments.count)? {
        println!("{port}");
    }
    Ok(true)
}
