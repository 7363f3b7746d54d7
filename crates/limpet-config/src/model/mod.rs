//! The data model of a validated configuration.

mod api_key_index;
mod config;
mod config_index;
mod config_sections;
mod fleet;
mod lookup;
mod service;
mod shard;
mod target;
mod team;
mod zone;

pub use config::{
    Config,
    TargetRef, //
};
pub use config_sections::ConfigSections;
pub use fleet::{
    FRESHNESS_LIMIT_DEFAULT,
    FleetSettings, //
};
pub use lookup::Lookup;
pub use service::{
    Service,
    ServiceKind, //
};
pub use shard::Shard;
pub use target::{
    Target,
    TargetState, //
};
pub use team::Team;
pub use zone::{
    Zone,
    ZoneState, //
};
