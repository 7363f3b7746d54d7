//! Fields of the entries of a configuration as texts, by which two versions are compared.

use std::collections::BTreeMap;

use limpet_types::deployment::{
    Config,
    Destination,
    Route,
    Service,
    Team, //
};

/// Fields of an entry by name. They are compared as texts: as numbers, NaN would differ from itself.
pub(super) type Fields = BTreeMap<String, String>;

/// Returns the fields of a configuration that belong to no entry, without the version.
pub(super) fn config_fields(config: &Config) -> Fields {
    let needs_keys = config.teams.is_some();
    fields([("requests need an API key", needs_keys.to_string())])
}

/// Returns the limits of caller connections.
pub(super) fn limit_fields(config: &Config) -> Fields {
    let limits = &config.limits;
    fields([
        (
            "maximum head size in bytes",
            limits.head_max_bytes.to_string(),
        ),
        (
            "maximum body size in bytes",
            limits.body_max_bytes.to_string(),
        ),
        ("receive timeout", format!("{:?}", limits.head_timeout)),
        ("idle timeout", format!("{:?}", limits.idle_timeout)),
    ])
}

/// Returns the fields of a route.
pub(super) fn route_fields(route: &Route) -> Fields {
    let mut fields = fields([
        ("host", format!("{:?}", route.host)),
        ("prefix", format!("{:?}", route.prefix)),
        ("idempotency", format!("{:?}", route.idempotency)),
        ("timeout", format!("{:?}", route.timeout)),
        ("latency goal", format!("{:?}", route.latency_goal)),
        ("maximum attempts", route.attempts_max.to_string()),
        ("priority", route.priority.to_string()),
        ("public", route.is_public.to_string()),
    ]);
    match &route.destination {
        Destination::Split(split) => {
            fields.insert("destination".into(), "split".into());
            for entry in split {
                let name = format!("weight of service {:?}", entry.service);
                append(&mut fields, name, &entry.weight.to_string());
            }
        }
        Destination::ScatterGather(gather) => {
            fields.insert("destination".into(), "scatter-gather".into());
            let records_max = match gather.records_max {
                usize::MAX => "unlimited".into(),
                records_max => records_max.to_string(),
            };
            fields.insert("maximum records".into(), records_max);
            let coverage_min = gather.coverage_min.to_string();
            fields.insert("minimum coverage".into(), coverage_min);
            for shard in &gather.shards {
                append(&mut fields, format!("shard {shard:?}"), "present");
            }
        }
    }
    fields
}

/// Returns the fields of a service.
pub(super) fn service_fields(service: &Service) -> Fields {
    fields([
        ("maximum connections", service.connections_max.to_string()),
        ("warm-up time", format!("{:?}", service.warmup_time)),
        ("rate while cold per s", service.cold_rate_per_s.to_string()),
    ])
}

/// Returns the fields of a team without its API keys.
pub(super) fn team_fields(team: &Team) -> Fields {
    let priority = team.priority.map(|priority| priority.to_string());
    fields([
        (
            "priority",
            priority.unwrap_or_else(|| "that of the route".into()),
        ),
        ("rate per s", team.rate_per_s.to_string()),
        ("burst", team.burst.to_string()),
    ])
}

/// Collects fields.
fn fields<const COUNT: usize>(fields: [(&str, String); COUNT]) -> Fields {
    fields
        .into_iter()
        .map(|(name, value)| (name.into(), value))
        .collect()
}

/// Adds a field that may occur several times; its values are then separated by commas.
fn append(fields: &mut Fields, name: String, value: &str) {
    let values = fields.entry(name).or_default();
    if !values.is_empty() {
        values.push_str(", ");
    }
    values.push_str(value);
}
