//! Lookup of routes, teams and services in one version of the config.

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

/// Why an API key selects no team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiKeyError {
    /// The request has no API key.
    Missing,
    /// The API key belongs to no team.
    Unknown,
}

/// Routes, teams and services of one version of the config, indexed for lookup.
#[derive(Debug)]
pub struct RouteTable {
    config: Arc<Config>,
    /// Indexes of the routes of each host, the longest prefix first.
    route_indexes_by_host: HashMap<Box<str>, Vec<usize>>,
    team_index_by_key: HashMap<Box<str>, usize>,
    service_index_by_name: HashMap<Box<str>, usize>,
}

impl RouteTable {
    /// Indexes a config.
    pub fn new(config: Arc<Config>) -> Self {
        let mut route_indexes_by_host: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            route_indexes_by_host
                .entry(normalize_host(&route.host).into())
                .or_default()
                .push(index);
        }
        for indexes in route_indexes_by_host.values_mut() {
            indexes.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].prefix.len()));
        }
        let mut team_index_by_key = HashMap::new();
        for (index, team) in config.teams.iter().flatten().enumerate() {
            for key in &team.api_keys {
                team_index_by_key.insert(key.clone(), index);
            }
        }
        let services = config.services.iter().enumerate();
        let service_index_by_name = services
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        Self {
            config,
            route_indexes_by_host,
            team_index_by_key,
            service_index_by_name,
        }
    }

    /// Returns the indexed config.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the route of a request: the one of its host with the longest matching prefix.
    ///
    /// The case of the host and its port are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let indexes = self.route_indexes_by_host.get(&*normalize_host(host))?;
        let routes = indexes.iter().map(|index| &self.config.routes[*index]);
        routes
            .into_iter()
            .find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the team of a request, or `None` if the route needs no API key.
    ///
    /// # Errors
    ///
    /// Fails if the route needs an API key and `api_key` is missing or unknown.
    pub fn team(&self, route: &Route, api_key: Option<&str>) -> Result<Option<&Team>, ApiKeyError> {
        let Some(teams) = &self.config.teams else {
            return Ok(None);
        };
        if route.is_public {
            return Ok(None);
        }
        let api_key = api_key.ok_or(ApiKeyError::Missing)?;
        let index = self
            .team_index_by_key
            .get(api_key)
            .ok_or(ApiKeyError::Unknown)?;
        Ok(Some(&teams[*index]))
    }

    /// Returns the teams; empty if requests need no API key.
    pub fn teams(&self) -> impl Iterator<Item = &Team> {
        self.config.teams.iter().flatten()
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.service_index_by_name.get(name)?;
        Some(&self.config.services[*index])
    }
}

/// Returns a host in lower case without its port.
fn normalize_host(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        let is_port = port.bytes().all(|byte| byte.is_ascii_digit());
        if is_port { name } else { host }
    });
    name.to_ascii_lowercase()
}
