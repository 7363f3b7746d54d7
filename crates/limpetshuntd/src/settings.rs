//! Settings of the daemon; each can be given as a flag or an environment variable.

use std::net::{
    IpAddr,
    SocketAddr, //
};

use clap::{
    Args,
    Parser,
    Subcommand, //
};

use crate::entry::DRAIN_NOTICE_DEFAULT_MS;

/// Query tier that routes lookups to sharded services.
#[derive(Clone, Debug, Parser)]
#[command(name = "limpetshuntd", version)]
pub struct Settings {
    /// Role of this process.
    #[command(subcommand)]
    pub role: RoleSettings,
}

/// Role of a process with its settings.
#[derive(Clone, Debug, Subcommand)]
pub enum RoleSettings {
    /// Serve callers.
    Entry(EntrySettings),
    /// Serve entries and own targets.
    Relay(RelaySettings),
}

impl RoleSettings {
    /// Returns the settings that both roles share.
    pub const fn common(&self) -> &CommonSettings {
        match self {
            Self::Entry(entry) => &entry.common,
            Self::Relay(relay) => &relay.common,
        }
    }
}

/// Settings of both roles.
#[derive(Clone, Debug, Args)]
pub struct CommonSettings {
    /// IP address of this VM, on which the process serves its peers.
    #[arg(long, env = "LIMPET_IP")]
    pub ip: IpAddr,
    /// Availability zone of this VM.
    #[arg(long, env = "LIMPET_ZONE")]
    pub zone: Box<str>,
    /// Port on which every entry of the fleet serves its peers.
    #[arg(long, env = "LIMPET_ENTRY_PEER_PORT", default_value_t = 7101)]
    pub entry_peer_port: u16,
    /// Port on which every relay of the fleet serves its peers.
    #[arg(long, env = "LIMPET_RELAY_PEER_PORT", default_value_t = 7102)]
    pub relay_peer_port: u16,
    /// Address of the configuration service.
    #[arg(long, env = "LIMPET_CONFIG_SERVICE")]
    pub config_service: SocketAddr,
    /// Address of the service that lists the VMs of the fleet.
    #[arg(long, env = "LIMPET_VM_LIST")]
    pub vm_list: SocketAddr,
    /// Address on which metrics, readiness and status are served.
    #[arg(long, env = "LIMPET_ADMIN_ADDR")]
    pub admin_addr: SocketAddr,
    /// Log filter, for example "info" or "limpetshuntd=debug".
    #[arg(long, env = "LIMPET_LOG", default_value = "info")]
    pub log: Box<str>,
}

/// Settings of the entry role.
#[derive(Clone, Debug, Args)]
pub struct EntrySettings {
    /// Settings of both roles.
    #[command(flatten)]
    pub common: CommonSettings,
    /// Address on which callers are served.
    #[arg(long, env = "LIMPET_CALLER_ADDR")]
    pub caller_addr: SocketAddr,
    /// Time in milliseconds for which a draining entry still accepts connections and refuses requests
    /// as not run, so that the load balancer notices the failed readiness check before the port closes.
    #[arg(long, env = "LIMPET_DRAIN_NOTICE_MS", default_value_t = DRAIN_NOTICE_DEFAULT_MS)]
    pub drain_notice_ms: u64,
}

/// Settings of the relay role.
#[derive(Clone, Debug, Args)]
pub struct RelaySettings {
    /// Settings of both roles.
    #[command(flatten)]
    pub common: CommonSettings,
}
