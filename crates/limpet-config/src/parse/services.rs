//! Services.

use std::net::SocketAddr;

use crate::{
    Service, ServiceKind, Zone,
    parse::{
        Fields,
        Report,
        Unique,
        shards::parse_shards, //
    },
};

const FIELDS: [&str; 10] = [
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
const KINDS: [(&str, ServiceKind); 3] = [
    ("search", ServiceKind::Search),
    ("ledger", ServiceKind::Ledger),
    ("accounts", ServiceKind::Accounts),
];
/// An owner opens at most this part of `connections_max`, because connections of a frozen former
/// owner may still be open.
const OWNER_PART: u64 = 3;
/// Most connections of a target.
const CONNECTIONS_MAX_MAX: u64 = 1_000_000;
/// Most attempts at one shard; more only load a service that is failing.
const ATTEMPTS_MAX_MAX: u64 = 10;
/// Attempts at one shard if the text names none.
const ATTEMPTS_MAX_DEFAULT: u64 = 2;

/// Values that are unique over all services.
#[derive(Debug)]
pub(super) struct TargetsSeen<'a> {
    pub(super) names: Unique<&'a str>,
    pub(super) addrs: Unique<SocketAddr>,
}

/// Parses every service.
pub(super) fn parse_services(
    report: &mut Report,
    root: &Fields<'_, '_>,
    zones: &[Zone],
) -> Vec<Service> {
    let mut names = Unique::new("service name");
    let mut seen = TargetsSeen {
        names: Unique::new("target name"),
        addrs: Unique::new("target address"),
    };
    let mut services = Vec::new();
    for fields in root.tables(report, "service", &FIELDS) {
        let name = fields.name(report);
        let kind = fields.choice(report, "kind", &KINDS, None);
        let is_search = kind == Some(ServiceKind::Search);
        let snapshot = fields.flag(report, "snapshot", is_search);
        if snapshot && kind == Some(ServiceKind::Accounts) {
            report.add(
                &fields.span_of("snapshot"),
                "accounts have no index versions",
                "use snapshot = false",
            );
        }
        let (slots, connections_max, cold_limit) = parse_limits(report, &fields);
        let hedge_default = kind != Some(ServiceKind::Accounts);
        let service = Service {
            name: name.as_ref().map_or("", |name| name.text).into(),
            kind: kind.unwrap_or(ServiceKind::Search),
            open: fields.flag(report, "open", false),
            snapshot,
            slots,
            connections_max,
            cold_limit,
            hedge: fields.flag(report, "hedge", hedge_default),
            attempts_max: fields
                .integer(
                    report,
                    "max_attempts",
                    1..=ATTEMPTS_MAX_MAX,
                    Some(ATTEMPTS_MAX_DEFAULT),
                )
                .unwrap_or(1) as u32,
            shards: parse_shards(report, &fields, zones, &mut seen),
        };
        if let Some(name) = name {
            names.note(report, &name.span, name.text, name.text, name.text);
            services.push(service);
        }
    }
    services
}

/// Returns slots, connections and cold limit; an HTTP/1.1 request needs a connection, so the slots
/// have to fit into the part of the connections that one owner may open.
fn parse_limits(report: &mut Report, fields: &Fields<'_, '_>) -> (u32, u32, u32) {
    let slots_max = CONNECTIONS_MAX_MAX / OWNER_PART;
    let slots = fields.integer(report, "slots", 1..=slots_max, None);
    let connections = fields.integer(
        report,
        "connections_max",
        OWNER_PART..=CONNECTIONS_MAX_MAX,
        None,
    );
    let cold = fields.integer(report, "cold_limit", 1..=slots_max, Some(1));
    if let (Some(slots), Some(connections)) = (slots, connections)
        && slots > connections / OWNER_PART
    {
        report.add(
            &fields.span_of("slots"),
            format!("{slots} slots do not fit into a third of {connections} connections"),
            format!("use at most {} slots", connections / OWNER_PART),
        );
    }
    if let (Some(slots), Some(cold)) = (slots, cold)
        && cold > slots
    {
        report.add(
            &fields.span_of("cold_limit"),
            format!("cold_limit {cold} is above the {slots} slots of a warm target"),
            format!("use at most {slots}"),
        );
    }
    let number = |value: Option<u64>| value.unwrap_or_default() as u32;
    (number(slots), number(connections), number(cold))
}
