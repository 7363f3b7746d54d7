//! Settings of the fake targets of an example.

use std::net::SocketAddr;

use limpet_fakes::target::TargetSpec;
use limpet_types::KeyRange;

use crate::example::{
    ExampleFleet,
    config_text::shard_range,
    target_ip, //
};

/// Index version that every target of a search service holds.
const INDEX_VERSION: u64 = 1;
/// Service time of a target, except for stragglers.
const SERVICE_TIME_US: u64 = 3_000;

/// Returns the settings of the fake targets, in the order of the configuration text.
pub fn target_specs(fleet: &ExampleFleet, target_port: u16) -> Vec<TargetSpec> {
    let mut specs = Vec::with_capacity(fleet.target_count());
    for service in &fleet.services {
        for (shard_index, replica_count) in service.replica_counts.iter().enumerate() {
            let (start, end) = shard_range(shard_index, service.replica_counts.len());
            for replica_index in 0..*replica_count {
                let target_index = specs.len();
                let name = format!("{}-{shard_index:03}-{replica_index}", service.name);
                let mut spec = TargetSpec::new(&name)
                    .with_slots(service.slots)
                    .with_service_time_us(SERVICE_TIME_US);
                if service.kind == "search" {
                    spec = spec.with_versions_held(&[INDEX_VERSION]);
                }
                spec.addr = SocketAddr::from((target_ip(target_index), target_port));
                spec.shard = format!("{}-{shard_index:03}", service.name).into();
                spec.range = KeyRange::new(start, end);
                spec.connections_max = service.connections_max;
                spec.connect_delay_ms = service.connect_delay_ms;
                spec.seed = target_index as u64 + 1;
                specs.push(spec);
            }
        }
    }
    specs
}
