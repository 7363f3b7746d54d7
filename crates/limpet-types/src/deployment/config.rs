//! The configuration that the operators write.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    CallerLimits,
    Route,
    Service,
    Team, //
};

/// One version of the configuration in full.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version; increases with every change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Teams; `None` if no request needs an API key.
    pub teams: Option<Vec<Team>>,
    /// Limits of caller connections.
    pub limits: CallerLimits,
}
