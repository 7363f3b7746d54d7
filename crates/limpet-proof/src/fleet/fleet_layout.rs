//! Layout of a test fleet: its zones, teams, services and targets.

use std::{
    collections::BTreeSet,
    fmt::Write, //
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
};

use limpet_types::{
    KeyRange,
    key_range::KEY_SPACE_END, //
};

use crate::history::HistoryRecord;

/// Number of VMs of the fleet, each with one entry and one relay.
pub(super) const VM_COUNT: usize = 4;
/// Names of the zones; the VMs and the replicas of each shard alternate between them.
pub(super) const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// Number of shards of each service.
const SHARD_COUNT: u64 = 2;
/// Names and kinds of the services.
const SERVICES: [(&str, &str); 2] = [("stock", "search"), ("accounts", "accounts")];
/// Number of targets of the fleet: each shard has one in each zone.
pub(super) const TARGET_COUNT: usize = SERVICES.len() * SHARD_COUNT as usize * ZONES.len();
/// Names of the teams, with their rates in requests per second and their bursts in requests. The API key of
/// team NAME is `key-NAME`.
const TEAMS: [(&str, f64, f64); 3] = [
    ("probe", 400.0, 400.0),
    ("retail", 120.0, 80.0),
    // The rate is so low that the load of each test exceeds it.
    ("small", 8.0, 8.0),
];

/// A target of the fleet.
#[derive(Clone, Debug)]
pub(super) struct LayoutTarget {
    /// Name of the target.
    pub(super) name: Box<str>,
    /// Name of the service.
    pub(super) service: &'static str,
    /// Name of the shard.
    pub(super) shard: Box<str>,
    /// Key range of the shard.
    pub(super) range: KeyRange,
    /// Name of the zone.
    pub(super) zone: &'static str,
    /// Address on which the target listens.
    pub(super) addr: SocketAddr,
}

/// Targets of a test fleet and the configuration changes made to it.
#[derive(Clone, Debug)]
pub struct FleetLayout {
    pub(super) targets: Vec<LayoutTarget>,
    /// Names of the zones taken out.
    pub(super) zones_out: BTreeSet<Box<str>>,
    /// Names of the targets marked as leaving.
    pub(super) leaving_targets: BTreeSet<Box<str>>,
    /// API keys that were revoked.
    pub(super) revoked_keys: BTreeSet<Box<str>>,
}

impl FleetLayout {
    /// Creates the layout, with a port for each target.
    pub(super) fn new(target_ports: &[u16]) -> Self {
        let mut targets = Vec::with_capacity(TARGET_COUNT);
        for (service, _) in SERVICES {
            for shard_index in 0..SHARD_COUNT {
                for (replica_index, zone) in ZONES.into_iter().enumerate() {
                    let shard_width = KEY_SPACE_END / SHARD_COUNT;
                    let localhost = IpAddr::V4(Ipv4Addr::LOCALHOST);
                    targets.push(LayoutTarget {
                        name: format!("{service}-{shard_index}-{replica_index}").into(),
                        service,
                        shard: format!("{service}-{shard_index}").into(),
                        range: KeyRange::new(
                            shard_index * shard_width,
                            (shard_index + 1) * shard_width,
                        ),
                        zone,
                        addr: SocketAddr::new(localhost, target_ports[targets.len()]),
                    });
                }
            }
        }
        Self {
            targets,
            zones_out: BTreeSet::new(),
            leaving_targets: BTreeSet::new(),
            revoked_keys: BTreeSet::new(),
        }
    }

    /// Returns the API key of a team.
    pub fn api_key(team: &str) -> Box<str> {
        format!("key-{team}").into()
    }

    /// Returns the history records of the teams and targets.
    pub(super) fn records(&self) -> Vec<HistoryRecord> {
        let teams = TEAMS
            .iter()
            .map(|(name, rate_per_s, burst)| HistoryRecord::Team {
                name: (*name).into(),
                rate_per_s: *rate_per_s,
                burst: *burst,
                keys: vec![Self::api_key(name)],
            });
        let targets = self
            .targets
            .iter()
            .map(|target| HistoryRecord::ConfiguredTarget {
                target: target.name.clone(),
                shard: target.shard.clone(),
                start: target.range.start,
                end: target.range.end,
                zone: target.zone.into(),
                cold_requests_max: 1,
            });
        teams.chain(targets).collect()
    }

    /// Returns the configuration text.
    pub(super) fn config_text(&self) -> String {
        // Writing to a `String` cannot fail.
        let mut out = format!("[fleet]\nvms_max = {VM_COUNT}\n");
        for zone in ZONES {
            let state = if self.zones_out.contains(zone) {
                "out"
            } else {
                "in"
            };
            let _ = writeln!(out, "[[zone]]\nname = \"{zone}\"\nstate = \"{state}\"");
        }
        for (name, rate, burst) in TEAMS {
            let key = Self::api_key(name);
            let digest = blake3::hash(key.as_bytes()).to_hex();
            let digests = match self.revoked_keys.contains(&key) {
                true => String::new(),
                false => format!("\"{digest}\""),
            };
            let _ = writeln!(
                out,
                "[[team]]\nname = \"{name}\"\nrate_per_s = {rate}\nburst = {burst}\nkey_digests = [{digests}]"
            );
        }
        for (service, kind) in SERVICES {
            let is_search = kind == "search";
            let _ = writeln!(
                out,
                "[[service]]\nname = \"{service}\"\nkind = \"{kind}\"\nsnapshot = {is_search}\nslots = 2\nconnections_max = 24\nhedge = {is_search}\nmax_attempts = 2"
            );
            let mut previous_shard = None;
            for target in self
                .targets
                .iter()
                .filter(|target| target.service == service)
            {
                if previous_shard != Some(&target.shard) {
                    let range = target.range;
                    let _ = writeln!(
                        out,
                        "[[service.shard]]\nname = \"{}\"\nstart = {}\nend = {}",
                        target.shard, range.start, range.end
                    );
                    previous_shard = Some(&target.shard);
                }
                let is_leaving = self.leaving_targets.contains(&target.name);
                let state = if is_leaving { "leaving" } else { "live" };
                let _ = writeln!(
                    out,
                    "[[service.shard.target]]\nname = \"{}\"\naddr = \"{}\"\nzone = \"{}\"\nstate = \"{state}\"",
                    target.name, target.addr, target.zone
                );
            }
        }
        for (name, service, kind) in [
            ("search", "stock", "search"),
            ("exists", "stock", "exists"),
            ("record", "accounts", "record"),
            ("order", "accounts", "order"),
        ] {
            let _ = writeln!(
                out,
                "[[lookup]]\nname = \"{name}\"\nservice = \"{service}\"\nkind = \"{kind}\""
            );
        }
        out
    }
}
