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

/// One version of the whole configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Number of the version; increases with every change.
    pub version: u64,
    /// Routes, which assign requests to services.
    pub routes: Vec<Route>,
    /// Services, to which the routes refer by name.
    pub services: Vec<Service>,
    /// Teams; `None` if no request needs an API key.
    pub teams: Option<Vec<Team>>,
    /// Limits of caller connections.
    pub limits: CallerLimits,
}
