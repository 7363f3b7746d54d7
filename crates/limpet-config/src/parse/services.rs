//! Parsing of services.

use std::net::SocketAddr;

use crate::{
    Service, ServiceKind, Zone,
    parse::{
        Fields,
        Report,
        UniqueValues,
        shards::parse_shards, //
    },
};

const SERVICE_FIELDS: [&str; 10] = [
    "name",
    "kind",
    "open",
    "snapshot",
    "slots",
    "connections_max",
    "cold_limit",
    "hedge",
    "max_attempts",
    "shard",
];
const SERVICE_KINDS: [(&str, ServiceKind); 3] = [
    ("search", ServiceKind::Search),
    ("ledger", ServiceKind::Ledger),
    ("accounts", ServiceKind::Accounts),
];
/// The relay that owns a target opens at most `connections_max` divided by this, because a frozen
/// former owner may still hold its connections open.
const OWNER_CONNECTION_DIVISOR: u64 = 3;
/// Upper limit of `connections_max`.
const CONNECTIONS_MAX_LIMIT: u64 = 1_000_000;
/// Upper limit of `max_attempts`; more attempts only add load to a failing service.
const ATTEMPTS_MAX_LIMIT: u64 = 10;
/// Value of `max_attempts` if the text sets none.
const ATTEMPTS_MAX_DEFAULT: u64 = 2;

/// Names and addresses of the targets of all services, which must be unique.
#[derive(Debug)]
pub(super) struct UniqueTargets<'a> {
    pub(super) names: UniqueValues<&'a str>,
    pub(super) addrs: UniqueValues<SocketAddr>,
}

/// Parses every service with its shards and targets.
pub(super) fn parse_services(
    report: &mut Report,
    root: &Fields<'_, '_>,
    zones: &[Zone],
) -> Vec<Service> {
    let mut service_names = UniqueValues::new("service name");
    let mut unique_targets = UniqueTargets {
        names: UniqueValues::new("target name"),
        addrs: UniqueValues::new("target address"),
    };
    let mut services = Vec::new();
    for fields in root.tables(report, "service", &SERVICE_FIELDS) {
        let name = fields.name(report);
        let kind = fields.choice(report, "kind", &SERVICE_KINDS, None);
        let is_search_service = kind == Some(ServiceKind::Search);
        let is_snapshot_required = fields.boolean(report, "snapshot", is_search_service);
        if is_snapshot_required && kind == Some(ServiceKind::Accounts) {
            report.add(
                &fields.span_of("snapshot"),
                "accounts have no index versions",
                "use snapshot = false",
            );
        }
        let (slots, connections_max, cold_limit) = parse_limits(report, &fields);
        let is_hedging_allowed_by_default = kind != Some(ServiceKind::Accounts);
        let service = Service {
            name: name.as_ref().map_or("", |name| name.text).into(),
            kind: kind.unwrap_or(ServiceKind::Search),
            is_open: fields.boolean(report, "open", false),
            is_snapshot_required,
            slots,
            connections_max,
            cold_limit,
            is_hedging_allowed: fields.boolean(report, "hedge", is_hedging_allowed_by_default),
            attempts_max: fields
                .integer(
                    report,
                    "max_attempts",
                    1..=ATTEMPTS_MAX_LIMIT,
                    Some(ATTEMPTS_MAX_DEFAULT),
                )
                .unwrap_or(1) as u32,
            shards: parse_shards(report, &fields, zones, &mut unique_targets),
        };
        if let Some(name) = name {
            service_names.insert(report, &name.span, name.text, name.text, name.text);
            services.push(service);
        }
    }
    services
}

/// Parses `slots`, `connections_max` and `cold_limit`, returned in this order.
///
/// An HTTP/1.1 request occupies a connection, so `slots` may not exceed the number of connections that
/// one owner may open.
fn parse_limits(report: &mut Report, fields: &Fields<'_, '_>) -> (u32, u32, u32) {
    let slots_max = CONNECTIONS_MAX_LIMIT / OWNER_CONNECTION_DIVISOR;
    let slots = fields.integer(report, "slots", 1..=slots_max, None);
    let connections_max = fields.integer(
        report,
        "connections_max",
        OWNER_CONNECTION_DIVISOR..=CONNECTIONS_MAX_LIMIT,
        None,
    );
    let cold_limit = fields.integer(report, "cold_limit", 1..=slots_max, Some(1));
    if let (Some(slots), Some(connections_max)) = (slots, connections_max)
        && slots > connections_max / OWNER_CONNECTION_DIVISOR
    {
        report.add(
            &fields.span_of("slots"),
            format!("{slots} slots do not fit into a third of {connections_max} connections"),
            format!(
                "use at most {} slots",
                connections_max / OWNER_CONNECTION_DIVISOR
            ),
        );
    }
    if let (Some(slots), Some(cold_limit)) = (slots, cold_limit)
        && cold_limit > slots
    {
        report.add(
            &fields.span_of("cold_limit"),
            format!("cold_limit {cold_limit} is above the {slots} slots of a warm target"),
            format!("use at most {slots}"),
        );
    }
    let to_u32 = |value: Option<u64>| value.unwrap_or_default() as u32;
    (to_u32(slots), to_u32(connections_max), to_u32(cold_limit))
}
