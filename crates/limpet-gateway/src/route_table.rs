//! Look-up of routes, keys and services in one version of the config.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use limpet_types::deployment::{
    Config,
    Route,
    Service,
    Team, //
};

/// Why a request has no team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The request has no key.
    Missing,
    /// No team holds the key.
    Unknown,
}

/// One version of the config, indexed.
#[derive(Debug)]
pub struct RouteTable {
    config: Arc<Config>,
    /// Routes of each host, the longest prefix first.
    by_host: HashMap<Box<str>, Vec<usize>>,
    teams_by_key: HashMap<Box<str>, usize>,
    services: HashMap<Box<str>, usize>,
}

impl RouteTable {
    /// Indexes a config.
    pub fn new(config: Arc<Config>) -> Self {
        let mut by_host: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            by_host
                .entry(host_name(&route.host).into())
                .or_default()
                .push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].prefix.len()));
        }
        let mut teams_by_key = HashMap::new();
        for (index, team) in config.teams.iter().flatten().enumerate() {
            for key in &team.api_keys {
                teams_by_key.insert(key.clone(), index);
            }
        }
        let services = config.services.iter().enumerate();
        let services = services.map(|(index, s)| (s.name.clone(), index)).collect();
        Self {
            config,
            by_host,
            teams_by_key,
            services,
        }
    }

    /// Returns the indexed config.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the route of a request: of its host, the one with the longest matching prefix.
    ///
    /// A port in the host and its case do not matter.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let indexes = self.by_host.get(&*host_name(host))?;
        let routes = indexes.iter().map(|index| &self.config.routes[*index]);
        routes.into_iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the team that a request runs for, `None` if the route is open to all.
    ///
    /// # Errors
    ///
    /// The request needs a key of a team and has none.
    pub fn team(&self, route: &Route, key: Option<&str>) -> Result<Option<&Team>, KeyError> {
        let Some(teams) = &self.config.teams else {
            return Ok(None);
        };
        if route.is_public {
            return Ok(None);
        }
        let key = key.ok_or(KeyError::Missing)?;
        let index = self.teams_by_key.get(key).ok_or(KeyError::Unknown)?;
        Ok(Some(&teams[*index]))
    }

    /// Returns the teams, none if requests need no key.
    pub fn teams(&self) -> impl Iterator<Item = &Team> {
        self.config.teams.iter().flatten()
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.get(name)?;
        Some(&self.config.services[*index])
    }
}

/// Returns a host in lower case without its port.
fn host_name(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        let is_port = port.bytes().all(|byte| byte.is_ascii_digit());
        if is_port { name } else { host }
    });
    name.to_ascii_lowercase()
}
