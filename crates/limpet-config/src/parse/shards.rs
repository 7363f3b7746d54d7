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

const TARGET_STATES: [(&str, TargetState); 2] = [
    ("live", TargetState::Live),
    ("leaving", TargetState::Leaving),
];

/// Parses the shards of a service, in the order of their ranges.
pub(super) fn parse_shards<'a>(
    report: &mut Report,
    service_fields: &Fields<'a, '_>,
    zones: &[Zone],
    unique_targets: &mut UniqueTargets<'a>,
) -> Vec<Shard> {
    let mut shard_names = UniqueValues::new("shard name of the service");
    let mut spans_and_shards = Vec::new();
    let mut are_ranges_valid = true;
    for fields in service_fields.tables(report, "shard", &["name", "start", "end", "target"]) {
        let name = fields.name(report);
        let start = fields.integer(report, "start", 0..=KEY_SPACE_END - 1, None);
        let end = fields.integer(report, "end", 1..=KEY_SPACE_END, None);
        let targets = parse_targets(report, &fields, zones, unique_targets);
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
            shard_names.insert(report, &name.span, name.text, name.text, name.text);
            name.text
        });
        let shard = Shard {
            name: name.into(),
            range,
            targets,
        };
        spans_and_shards.push((fields.span.clone(), shard));
    }
    spans_and_shards.sort_by_key(|(_, shard)| (shard.range.start, shard.range.end));
    if are_ranges_valid {
        check_ranges(report, &service_fields.span, &spans_and_shards);
    }
    spans_and_shards
        .into_iter()
        .map(|(_, shard)| shard)
        .collect()
}

/// Reports keys that no shard holds and keys that two shards hold.
///
/// The shards are sorted by range. The caller skips this check if any range is invalid by itself, because
/// that range would be reported again as a gap or an overlap at its neighbours.
fn check_ranges(
    report: &mut Report,
    service_span: &Range<usize>,
    spans_and_shards: &[(Range<usize>, Shard)],
) {
    let mut covered_end = 0;
    for (span, shard) in spans_and_shards {
        let KeyRange { start, end } = shard.range;
        if start > covered_end {
            let message = format!("no shard holds the keys {covered_end}..{start}");
            report.add(
                span,
                message,
                format!("use start = {covered_end} or add a shard"),
            );
        }
        if start < covered_end {
            let overlap_end = covered_end.min(end);
            let message = format!("two shards hold the keys {start}..{overlap_end}");
            report.add(span, message, format!("use start = {covered_end}"));
        }
        covered_end = covered_end.max(end);
    }
    if covered_end < KEY_SPACE_END {
        let message = format!("no shard holds the keys {covered_end}..{KEY_SPACE_END}");
        let help = "the shards of a service cover every key";
        report.add(
            spans_and_shards
                .last()
                .map_or(service_span, |(span, _)| span),
            message,
            help,
        );
    }
}

/// Parses the targets of a shard; reports a shard without any.
fn parse_targets<'a>(
    report: &mut Report,
    shard_fields: &Fields<'a, '_>,
    zones: &[Zone],
    unique_targets: &mut UniqueTargets<'a>,
) -> Vec<Target> {
    let known_fields = ["name", "addr", "zone", "state"];
    let target_tables = shard_fields.tables(report, "target", &known_fields);
    if target_tables.is_empty() {
        let help = "add a [[service.shard.target]]";
        report.add(&shard_fields.span, "the shard has no target", help);
    }
    let mut targets = Vec::with_capacity(target_tables.len());
    for fields in target_tables {
        let name = fields.name(report);
        let target_name = name.as_ref().map_or("", |name| name.text);
        let addr = parse_addr(report, &fields);
        let zone = fields.text(report, "zone", "the name of a zone");
        let state = fields.choice(report, "state", &TARGET_STATES, Some(TargetState::Live));
        if let Some(zone) = &zone
            && !zones.iter().any(|known| &*known.name == zone.text)
        {
            let zone_names = zones.iter().map(|zone| &*zone.name);
            report.add_unknown(&zone.span, "zone", zone.text, zone_names);
        }
        if let Some(name) = &name {
            unique_targets
                .names
                .insert(report, &name.span, name.text, name.text, target_name);
        }
        if let Some(addr) = addr {
            let span = fields.span_of("addr");
            unique_targets
                .addrs
                .insert(report, &span, addr, addr, target_name);
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

/// Parses the address of a target, a unicast IP address and a port.
fn parse_addr(report: &mut Report, fields: &Fields<'_, '_>) -> Option<SocketAddr> {
    let expected = "an IP address and a port, \"10.0.0.1:8080\"";
    let addr_text = fields.text(report, "addr", expected)?;
    let addr = addr_text.text.parse::<SocketAddr>().ok().filter(|addr| {
        let ip = addr.ip();
        addr.port() != 0 && !ip.is_unspecified() && !ip.is_multicast()
    });
    if addr.is_none() {
        let message = format!("{:?} is not the address of a target", addr_text.text);
        report.add(&addr_text.span, message, format!("use {expected}"));
    }
    addr
}
