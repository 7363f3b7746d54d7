//! Configuration text of an example fleet.

use std::fmt::Write as _;

use limpet_types::key_range::KEY_SPACE_END;

use crate::example::{
    ExampleFleet,
    ExampleService,
    target_ip, //
};

/// Returns the API key of a team of an example fleet.
pub fn example_api_key(team: &str) -> String {
    format!("example-key-{team}")
}

/// Returns the start and end of the key range of one of `shard_count` equal shards.
pub(crate) fn shard_range(shard_index: usize, shard_count: usize) -> (u64, u64) {
    let boundary = |index: usize| index as u64 * KEY_SPACE_END / shard_count as u64;
    (boundary(shard_index), boundary(shard_index + 1))
}

/// Returns the zone of a replica. Consecutive replicas of a shard are in different zones.
pub(crate) fn replica_zone(
    fleet: &ExampleFleet,
    shard_index: usize,
    replica_index: usize,
) -> &'static str {
    fleet.zones[(shard_index + replica_index) % fleet.zones.len()]
}

/// Returns the configuration text of an example fleet.
pub fn render_config(fleet: &ExampleFleet, target_port: u16) -> String {
    let mut out = String::new();
    // Writing to a `String` cannot fail.
    let _ = write_config(&mut out, fleet, target_port);
    out
}

fn write_config(out: &mut String, fleet: &ExampleFleet, target_port: u16) -> std::fmt::Result {
    writeln!(out, "# {}", fleet.title)?;
    writeln!(out, "# Written by `limpet-bench example`.")?;
    writeln!(
        out,
        "# The API key of team NAME is `example-key-NAME`. These keys are public: never use them in a real"
    )?;
    writeln!(
        out,
        "# fleet. key_digests are the hex BLAKE3 digests of the keys.\n"
    )?;
    writeln!(out, "[fleet]\nvms_max = {}", fleet.vms_max)?;
    writeln!(out, "freshness_limit_ms = 4000")?;
    for zone in &fleet.zones {
        writeln!(out, "\n[[zone]]\nname = \"{zone}\"\nstate = \"in\"")?;
    }
    for team in &fleet.teams {
        writeln!(out, "\n[[team]]\nname = \"{}\"", team.name)?;
        writeln!(
            out,
            "rate_per_s = {}\nburst = {}",
            team.rate_per_s, team.burst
        )?;
        writeln!(out, "weight = {}", team.weight)?;
        let digest = blake3::hash(example_api_key(team.name).as_bytes()).to_hex();
        writeln!(out, "key_digests = [\"{digest}\"]")?;
    }
    let mut target_index = 0;
    for service in &fleet.services {
        write_service(out, fleet, service, target_port, &mut target_index)?;
    }
    for lookup in &fleet.lookups {
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

/// Writes a service; `target_index` is the index of the next target in the text, counted over all services.
fn write_service(
    out: &mut String,
    fleet: &ExampleFleet,
    service: &ExampleService,
    target_port: u16,
    target_index: &mut usize,
) -> std::fmt::Result {
    writeln!(out, "\n[[service]]\nname = \"{}\"", service.name)?;
    writeln!(
        out,
        "kind = \"{}\"\nopen = {}",
        service.kind, service.is_open
    )?;
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
    for (shard_index, replica_count) in service.replica_counts.iter().enumerate() {
        let (start, end) = shard_range(shard_index, service.replica_counts.len());
        writeln!(
            out,
            "\n[[service.shard]]\nname = \"{}-{shard_index:03}\"",
            service.name
        )?;
        writeln!(out, "start = {start}\nend = {end}")?;
        for replica_index in 0..*replica_count {
            let zone = replica_zone(fleet, shard_index, replica_index);
            let ip = target_ip(*target_index);
            *target_index += 1;
            writeln!(out, "\n[[service.shard.target]]")?;
            writeln!(
                out,
                "name = \"{}-{shard_index:03}-{replica_index}\"",
                service.name
            )?;
            writeln!(out, "addr = \"{ip}:{target_port}\"\nzone = \"{zone}\"")?;
            writeln!(out, "state = \"live\"")?;
        }
    }
    Ok(())
}
