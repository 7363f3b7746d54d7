//! Search for free ports for the processes that a script starts.

use std::net::{
    Ipv4Addr,
    TcpListener, //
};

use clap::Args;
use rand::Rng as _;

/// Range of the ports. It lies below the usual ephemeral range, from which an outgoing connection could
/// take a port before the process binds it.
const PORT_RANGE: std::ops::Range<u16> = 10_000..30_000;
/// Maximum number of ports tried.
const ATTEMPTS_MAX: usize = 10_000;

/// Arguments of `ports`.
#[derive(Clone, Debug, Args)]
pub struct PortsArguments {
    /// Number of ports.
    #[arg(long, env = "LIMPET_BENCH_PORTS", default_value_t = 1)]
    pub count: usize,
}

/// Returns distinct ports on which no process listens on any address.
///
/// # Errors
///
/// Fails when too few free ports are found.
pub fn find_free_ports(count: usize) -> std::io::Result<Vec<u16>> {
    let mut rng = rand::rng();
    // The listeners stay open until the end, so that no port is returned twice.
    let mut listeners = Vec::with_capacity(count);
    for _ in 0..ATTEMPTS_MAX {
        if listeners.len() == count {
            break;
        }
        let port = rng.random_range(PORT_RANGE);
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::UNSPECIFIED, port)) {
            listeners.push((port, listener));
        }
    }
    if listeners.len() < count {
        return Err(std::io::Error::other("too few free ports"));
    }
    Ok(listeners.into_iter().map(|(port, _)| port).collect())
}

/// Prints free ports, one a line, and returns true.
///
/// # Errors
///
/// Fails when too few free ports are found.
pub fn run(arguments: &PortsArguments) -> Result<bool, Box<dyn std::error::Error>> {
    for port in find_free_ports(arguments.count)? {
        println!("{port}");
    }
    Ok(true)
}
