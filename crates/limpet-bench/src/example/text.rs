//! Configuration text of an example.

use std::fmt::Write as _;

use limpet_types::key_range::KEY_SPACE_END;

use crate::example::{
    ExampleService,
    ExampleShape,
    target_ip, //
};

/// Returns the API key of a team of an example.
pub fn example_key(team: &str) -> String {
    format!("example-key-{team}")
}

/// Returns the range of one shard out of `count` equal ones.
pub(crate) fn shard_range(index: usize, count: usize) -> (u64, u64) {
    let bound = |index: usize| index as u64 * KEY_SPACE_END / count as u64;
    (bound(index), bound(index + 1))
}

/// Returns the zone of a replica; the replicas of a shard are in different zones.
pub(crate) fn zone_of(shape: &ExampleShape, shard: usize, replica: usize) -> &'static str {
    shape.zones[(shard + replica) % shape.zones.len()]
}

/// Returns the configuration text.
pub fn render(shape: &ExampleShape, target_port: u16) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    let _ = write_text(&mut out, shape, target_port);
    out
}

fn write_text(out: &mut String, shape: &ExampleShape, target_port: u16) -> std::fmt::Result {
    writeln!(out, "# {}", shape.title)?;
    writeln!(out, "# Written by `limpet-bench example`.")?;
    writeln!(
        out,
        "# The API key of team NAME is `example-key-NAME`: these keys are public examples, never use"
    )?;
    writeln!(
        out,
        "# them in a real fleet. key_digests are the hex BLAKE3 digests of the keys.\n"
    )?;
    writeln!(out, "[fleet]\nvms_max = {}", shape.vms_max)?;
    writeln!(out, "freshness_limit_ms = 4000")?;
    for zone in &shape.zones {
        writeln!(out, "\n[[zone]]\nname = \"{zone}\"\nstate = \"in\"")?;
    }
    for team in &shape.teams {
        writeln!(out, "\n[[team]]\nname = \"{}\"", team.name)?;
        writeln!(
            out,
            "rate_per_s = {}\nburst = {}",
            team.rate_per_s, team.burst
        )?;
        writeln!(out, "weight = {}", team.weight)?;
        let digest = blake3::hash(example_key(team.name).as_bytes()).to_hex();
        writeln!(out, "key_digests = [\"{digest}\"]")?;
    }
    let mut next_target = 0;
    for service in &shape.services {
        write_service(out, shape, service, target_port, &mut next_target)?;
    }
    for lookup in &shape.lookups {
        writeln!(out, "\n[[lookup]]\nname = \"{}\"", lookup.name)?;
        writeln!(
            out,
            "service = \"{}\"\nkind = \"{}\"",
            lookup.service, lookup.kind
        )?;
        if !lookup.depends_on.is_empty() {
            writeln!(out, "depends_on = {:?}", lookup.depends_on)?;
        }
    }
    Ok(())
}

fn write_service(
    out: &mut String,
    shape: &ExampleShape,
    service: &ExampleService,
    target_port: u16,
    next_target: &mut usize,
) -> std::fmt::Result {
    writeln!(out, "\n[[service]]\nname = \"{}\"", service.name)?;
    writeln!(out, "kind = \"{}\"\nopen = {}", service.kind, service.open)?;
    writeln!(out, "snapshot = {}", service.kind == "search")?;
    writeln!(out, "slots = {}", service.slots)?;
    writeln!(
        out,
        "connections_max = {}\ncold_limit = 1",
        service.connections_max
    )?;
    writeln!(
        out,
        "hedge = {}\nmax_attempts = 2",
        service.kind != "accounts"
    )?;
    for (shard, replicas) in service.replicas.iter().enumerate() {
        let (start, end) = shard_range(shard, service.replicas.len());
        writeln!(
            out,
            "\n[[service.shard]]\nname = \"{}-{shard:03}\"",
            service.name
        )?;
        writeln!(out, "start = {start}\nend = {end}")?;
        for replica in 0..*replicas {
            let zone = zone_of(shape, shard, replica);
            let ip = target_ip(*next_target);
            *next_target += 1;
            writeln!(out, "\n[[service.shard.target]]")?;
            writeln!(out, "name = \"{}-{shard:03}-{replica}\"", service.name)?;
            writeln!(out, "addr = \"{ip}:{target_port}\"\nzone = \"{zone}\"")?;
            writeln!(out, "state = \"live\"")?;
        }
    }
    Ok(())
}
