//! Parsing of shards and their targets, and checks of the key ranges.

use std::{
    net::SocketAddr,
    ops::Range, //
};

use limpet_types::{
    KeyRange,
    key_range::KEY_SPACE_END, //
};

use crate::{
    Shard, Target, TargetState, Zone,
    parse::{
        Fields,
        Report,
        UniqueValues,
        services::UniqueTargets, //
    },
};

const STATES: [(&str, TargetState); 2] = [
    ("live", TargetState::Live),
    ("leaving", TargetState::Leaving),
];

/// Parses the shards of a service, in the order of their ranges.
pub(super) fn parse_shards<'a>(
    report: &mut Report,
    service: &Fields<'a, '_>,
    zones: &[Zone],
    unique: &mut UniqueTargets<'a>,
) -> Vec<Shard> {
    let mut names = UniqueValues::new("shard name of the service");
    let mut shards = Vec::new();
    let mut are_ranges_valid = true;
    for fields in service.tables(report, "shard", &["name", "start", "end", "target"]) {
        let name = fields.name(report);
        let start = fields.integer(report, "start", 0..=KEY_SPACE_END - 1, None);
        let end = fields.integer(report, "end", 1..=KEY_SPACE_END, None);
        let targets = parse_targets(report, &fields, zones, unique);
        let (Some(start), Some(end)) = (start, end) else {
            are_ranges_valid = false;
            continue;
        };
        let range = KeyRange::new(start, end);
        if range.is_empty() {
            report.add(
                &fields.span_of("end"),
                format!("the range {start}..{end} is empty"),
                "use an end above the start",
            );
            are_ranges_valid = false;
        }
        let name = name.map_or("", |name| {
            names.insert(report, &name.span, name.text, name.text, name.text);
            name.text
        });
        let shard = Shard {
            name: name.into(),
            range,
            targets,
        };
        shards.push((fields.span.clone(), shard));
    }
    shards.sort_by_key(|(_, shard)| (shard.range.start, shard.range.end));
    if are_ranges_valid {
        check_ranges(report, &service.span, &shards);
    }
    shards.into_iter().map(|(_, shard)| shard).collect()
}

/// Reports gaps and overlaps between the ranges of a service.
///
/// Runs only if every range is valid by itself, because an invalid one would be reported again as a
/// gap or an overlap at its neighbours.
fn check_ranges(report: &mut Report, service: &Range<usize>, shards: &[(Range<usize>, Shard)]) {
    let mut covered_to = 0;
    for (span, shard) in shards {
        let KeyRange { start, end } = shard.range;
        if start > covered_to {
            let message = format!("no shard holds the keys {covered_to}..{start}");
            report.add(
                span,
                message,
                format!("use start = {covered_to} or add a shard"),
            );
        }
        if start < covered_to {
            let overlap_end = covered_to.min(end);
            let message = format!("two shards hold the keys {start}..{overlap_end}");
            report.add(span, message, format!("use start = {covered_to}"));
        }
        covered_to = covered_to.max(end);
    }
    if covered_to < KEY_SPACE_END {
        let message = format!("no shard holds the keys {covered_to}..{KEY_SPACE_END}");
        let help = "the shards of a service cover every key";
        report.add(
            shards.last().map_or(service, |(span, _)| span),
            message,
            help,
        );
    }
}

fn parse_targets<'a>(
    report: &mut Report,
    shard: &Fields<'a, '_>,
    zones: &[Zone],
    unique: &mut UniqueTargets<'a>,
) -> Vec<Target> {
    let known = ["name", "addr", "zone", "state"];
    let tables = shard.tables(report, "target", &known);
    if tables.is_empty() {
        let help = "add a [[service.shard.target]]";
        report.add(&shard.span, "the shard has no target", help);
    }
    let mut targets = Vec::with_capacity(tables.len());
    for fields in tables {
        let name = fields.name(report);
        let owner = name.as_ref().map_or("", |name| name.text);
        let addr = parse_addr(report, &fields);
        let zone = fields.text(report, "zone", "the name of a zone");
        let state = fields.choice(report, "state", &STATES, Some(TargetState::Live));
        if let Some(zone) = &zone
            && !zones.iter().any(|known| &*known.name == zone.text)
        {
            let known = zones.iter().map(|zone| &*zone.name);
            report.add_unknown(&zone.span, "zone", zone.text, known);
        }
        if let Some(name) = &name {
            unique
                .names
                .insert(report, &name.span, name.text, name.text, owner);
        }
        if let Some(addr) = addr {
            let span = fields.span_of("addr");
            unique.addrs.insert(report, &span, addr, addr, owner);
        }
        if let (Some(name), Some(addr), Some(zone)) = (name, addr, zone) {
            targets.push(Target {
                name: name.text.into(),
                addr,
                zone: zone.text.into(),
                state: state.unwrap_or(TargetState::Live),
            });
        }
    }
    targets
}

fn parse_addr(report: &mut Report, fields: &Fields<'_, '_>) -> Option<SocketAddr> {
    let expected = "an IP address and a port, \"10.0.0.1:8080\"";
    let text = fields.text(report, "addr", expected)?;
    let addr = text.text.parse::<SocketAddr>().ok().filter(|addr| {
        let ip = addr.ip();
        addr.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
    });
    if addr.is_none() {
        let message = format!("{:?} is not the address of a target", text.text);
        report.add(&text.span, message, format!("use {expected}"));
    }
    addr
}
