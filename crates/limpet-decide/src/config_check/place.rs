//! Where in a configuration a finding or difference is.

use std::fmt;

/// Entry of a configuration. Numbers are counted from 1 and tell entries of equal names apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// The configuration as a whole.
    Config,
    /// A route.
    Route {
        /// Position among the routes.
        number: usize,
        /// Name of the route.
        name: Box<str>,
    },
    /// A service.
    Service {
        /// Position among the services.
        number: usize,
        /// Name of the service.
        name: Box<str>,
    },
    /// A team.
    Team {
        /// Position among the teams.
        number: usize,
        /// Name of the team.
        name: Box<str>,
    },
    /// The limits of caller connections.
    Limits,
}

impl Place {
    /// Returns the place of the route at an index.
    pub fn route(index: usize, name: &str) -> Self {
        Self::Route {
            number: index + 1,
            name: name.into(),
        }
    }

    /// Returns the place of the service at an index.
    pub fn service(index: usize, name: &str) -> Self {
        Self::Service {
            number: index + 1,
            name: name.into(),
        }
    }

    /// Returns the place of the team at an index.
    pub fn team(index: usize, name: &str) -> Self {
        Self::Team {
            number: index + 1,
            name: name.into(),
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config => f.write_str("configuration"),
            Self::Route { number, name } => write!(f, "route {number} {name:?}"),
            Self::Service { number, name } => write!(f, "service {number} {name:?}"),
            Self::Team { number, name } => write!(f, "team {number} {name:?}"),
            Self::Limits => f.write_str("limits"),
        }
    }
}
