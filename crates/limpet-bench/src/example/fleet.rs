//! Example fleets: their zones, teams, services and lookups.

use crate::example::ExampleUser;

/// A team of an example; its API key is `example-key-NAME`.
#[derive(Clone, Debug)]
pub struct ExampleTeam {
    /// Name of the team.
    pub name: &'static str,
    /// Requests per second over the whole fleet.
    pub rate_per_s: u32,
    /// Burst in requests over the whole fleet.
    pub burst: u32,
    /// Weight in fair queueing.
    pub weight: u32,
}

/// A service of an example.
#[derive(Clone, Debug)]
pub struct ExampleService {
    /// Name of the service.
    pub name: &'static str,
    /// `search`, `ledger` or `accounts`.
    pub kind: &'static str,
    /// Whether callers need no API key.
    pub is_open: bool,
    /// Requests that a warm target runs concurrently.
    pub slots: u32,
    /// Connections that a target accepts.
    pub connections_max: u32,
    /// Time that a target takes to accept a connection.
    pub connect_delay_ms: u64,
    /// Number of replicas of each shard; the number of shards is the length.
    pub replica_counts: Vec<usize>,
}

/// A lookup of an example.
#[derive(Clone, Debug)]
pub struct ExampleLookup {
    /// Name of the lookup.
    pub name: &'static str,
    /// Service that the lookup queries.
    pub service: &'static str,
    /// `search`, `exists`, `record` or `order`.
    pub kind: &'static str,
    /// Lookups that must be answered before this one.
    pub depends_on: Vec<&'static str>,
}

/// An example fleet.
#[derive(Clone, Debug)]
pub struct ExampleFleet {
    /// Title of the example, written as a comment at the top of the configuration text.
    pub title: &'static str,
    /// Maximum number of relay processes at one time.
    pub vms_max: u32,
    /// Names of the zones.
    pub zones: Vec<&'static str>,
    /// Teams.
    pub teams: Vec<ExampleTeam>,
    /// Services.
    pub services: Vec<ExampleService>,
    /// Lookups.
    pub lookups: Vec<ExampleLookup>,
}

impl ExampleFleet {
    /// Returns the fleet of a user.
    pub fn for_user(user: ExampleUser) -> Self {
        match user {
            ExampleUser::Authority => authority(),
            ExampleUser::Peachtree => peachtree(),
        }
    }

    /// Returns the fleet of the fan-out benchmark: one search service of `shard_count` shards with one
    /// replica each.
    pub fn flat_search(shard_count: usize) -> Self {
        let mut flat = service("flat", "search", 8, 60, 0, vec![1; shard_count]);
        flat.is_open = true;
        Self {
            title: "Fan-out benchmark: one search service.",
            vms_max: 1,
            zones: vec!["zone-a"],
            teams: vec![team("bench", 100_000, 100_000, 1)],
            services: vec![flat],
            lookups: vec![lookup("flat-search", "flat", "search", &[])],
        }
    }

    /// Multiplies the number of shards of each service.
    pub fn with_shards_factor(mut self, factor: usize) -> Self {
        for service in &mut self.services {
            service.replica_counts = service.replica_counts.repeat(factor);
        }
        self
    }

    /// Returns the number of targets.
    pub fn target_count(&self) -> usize {
        let replica_counts = self
            .services
            .iter()
            .flat_map(|service| &service.replica_counts);
        replica_counts.sum()
    }
}

const fn team(name: &'static str, rate_per_s: u32, burst: u32, weight: u32) -> ExampleTeam {
    ExampleTeam {
        name,
        rate_per_s,
        burst,
        weight,
    }
}

const fn service(
    name: &'static str,
    kind: &'static str,
    slots: u32,
    connections_max: u32,
    connect_delay_ms: u64,
    replica_counts: Vec<usize>,
) -> ExampleService {
    ExampleService {
        name,
        kind,
        is_open: false,
        slots,
        connections_max,
        connect_delay_ms,
        replica_counts,
    }
}

fn lookup(
    name: &'static str,
    service: &'static str,
    kind: &'static str,
    depends_on: &[&'static str],
) -> ExampleLookup {
    ExampleLookup {
        name,
        service,
        kind,
        depends_on: depends_on.to_vec(),
    }
}

fn authority() -> ExampleFleet {
    let mut roster = service("fitter-roster", "ledger", 2, 100, 1, vec![2; 5]);
    roster.is_open = true;
    ExampleFleet {
        title: "Authority, cork flooring: stock search, batch search, order lookups, orders.",
        // Eight VMs, and two replacements that start before the VMs they replace have stopped.
        vms_max: 10,
        zones: vec!["zone-a", "zone-b", "zone-c", "zone-d"],
        teams: vec![
            team("retail", 400, 200, 4),
            team("trade", 400, 200, 4),
            team("depot-north", 120, 60, 2),
            team("depot-south", 120, 60, 2),
            team("web", 120, 60, 2),
            team("orders", 60, 40, 1),
            team("planning", 40, 40, 1),
            team("audit", 40, 40, 1),
        ],
        services: vec![
            service("stock", "search", 2, 25, 6, vec![3; 10]),
            service("goods-in", "ledger", 2, 25, 6, vec![3; 15]),
            service("order-accounts", "accounts", 2, 100, 1, vec![2; 10]),
            roster,
        ],
        lookups: vec![
            lookup("stock-search", "stock", "search", &[]),
            lookup("batch-exists", "goods-in", "exists", &[]),
            lookup("batch-record", "goods-in", "record", &[]),
            lookup("order-status", "order-accounts", "record", &[]),
            lookup("place-order", "order-accounts", "order", &[]),
            lookup("quote", "order-accounts", "record", &["stock-search"]),
            lookup("fitter", "fitter-roster", "record", &[]),
        ],
    }
}

fn peachtree() -> ExampleFleet {
    let mut promotions = service("promotions", "search", 3, 40, 1, vec![2, 2, 3]);
    promotions.is_open = true;
    ExampleFleet {
        title: "Peachtree, gloves: shop search, option confirmation, one supplier's ledger.",
        // Seven VMs, and two replacements that start before the VMs they replace have stopped.
        vms_max: 9,
        zones: vec!["zone-a", "zone-b", "zone-c"],
        teams: vec![
            team("shops-east", 300, 150, 4),
            team("shops-west", 300, 150, 4),
            team("shops-north", 200, 100, 2),
            team("shops-south", 200, 100, 2),
            team("online", 200, 100, 2),
            team("suppliers", 60, 40, 1),
            team("loyalty-desk", 60, 40, 1),
            team("reports", 40, 40, 1),
        ],
        services: vec![
            service("fitting", "search", 2, 25, 6, vec![3; 10]),
            service("loyalty", "ledger", 2, 25, 6, vec![3; 15]),
            service("reorder", "accounts", 3, 40, 1, vec![3; 5]),
            promotions,
        ],
        lookups: vec![
            lookup("shop-search", "fitting", "search", &[]),
            lookup("option-exists", "fitting", "exists", &[]),
            lookup("loyalty-record", "loyalty", "record", &[]),
            lookup("supplier-ledger", "reorder", "record", &[]),
            lookup("reorder", "reorder", "order", &[]),
            lookup("counter", "loyalty", "record", &["shop-search"]),
            lookup("promotions", "promotions", "search", &[]),
        ],
    }
}
