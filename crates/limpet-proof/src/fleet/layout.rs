//! The operators' text of a test fleet.

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

use crate::history::Record;

/// VMs of the fleet, each with one entry and one relay.
pub(super) const VMS: usize = 4;
/// Zones; the VMs and the replicas of each shard alternate between them.
pub(super) const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// Shards of each service.
const SHARDS: u64 = 2;
/// Services: name, kind.
const SERVICES: [(&str, &str); 2] = [("stock", "search"), ("accounts", "accounts")];
/// Targets of the fleet: each shard has one in each zone.
pub(super) const TARGETS: usize = SERVICES.len() * SHARDS as usize * ZONES.len();
/// Teams: name, rate a second, burst. The API key of team NAME is `key-NAME`.
const TEAMS: [(&str, f64, f64); 3] = [
    ("probe", 400.0, 400.0),
    ("retail", 120.0, 80.0),
    // So small that the load of a test is always over it.
    ("small", 8.0, 8.0),
];

/// One target.
#[derive(Clone, Debug)]
pub(super) struct Place {
    /// Name.
    pub(super) name: Box<str>,
    /// Service.
    pub(super) service: &'static str,
    /// Shard.
    pub(super) shard: Box<str>,
    /// Keys.
    pub(super) range: KeyRange,
    /// Zone.
    pub(super) zone: &'static str,
    /// Address.
    pub(super) addr: SocketAddr,
}

/// What the operators have set.
#[derive(Clone, Debug)]
pub struct Layout {
    pub(super) places: Vec<Place>,
    pub(super) zones_out: BTreeSet<Box<str>>,
    pub(super) leaving: BTreeSet<Box<str>>,
    pub(super) revoked: BTreeSet<Box<str>>,
}

impl Layout {
    pub(super) fn new(ports: &[u16]) -> Self {
        let mut places = Vec::with_capacity(TARGETS);
        for (service, _) in SERVICES {
            for shard in 0..SHARDS {
                for (replica, zone) in ZONES.into_iter().enumerate() {
                    let width = KEY_SPACE_END / SHARDS;
                    let localhost = IpAddr::V4(Ipv4Addr::LOCALHOST);
                    places.push(Place {
                        name: format!("{service}-{shard}-{replica}").into(),
                        service,
                        shard: format!("{service}-{shard}").into(),
                        range: KeyRange::new(shard * width, (shard + 1) * width),
                        zone,
                        addr: SocketAddr::new(localhost, ports[places.len()]),
                    });
                }
            }
        }
        Self {
            places,
            zones_out: BTreeSet::new(),
            leaving: BTreeSet::new(),
            revoked: BTreeSet::new(),
        }
    }

    /// Returns the API key of a team.
    pub fn key(team: &str) -> Box<str> {
        format!("key-{team}").into()
    }

    /// Returns the teams and targets as records of a history.
    pub(super) fn records(&self) -> Vec<Record> {
        let teams = TEAMS.iter().map(|(name, rate_per_s, burst)| Record::Team {
            name: (*name).into(),
            rate_per_s: *rate_per_s,
            burst: *burst,
            keys: vec![Self::key(name)],
        });
        let sites = self.places.iter().map(|place| Record::Site {
            target: place.name.clone(),
            shard: place.shard.clone(),
            start: place.range.start,
            end: place.range.end,
            zone: place.zone.into(),
            cold_bears: 1,
        });
        teams.chain(sites).collect()
    }

    /// Returns the text; writing to a string does not fail.
    pub(super) fn text(&self) -> String {
        let mut out = format!("[fleet]\nvms_max = {VMS}\n");
        for zone in ZONES {
            let state = if self.zones_out.contains(zone) {
                "out"
            } else {
                "in"
            };
            let _ = writeln!(out, "[[zone]]\nname = \"{zone}\"\nstate = \"{state}\"");
        }
        for (name, rate, burst) in TEAMS {
            let key = Self::key(name);
            let digest = blake3::hash(key.as_bytes()).to_hex();
            let digests = match self.revoked.contains(&key) {
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
            let mut last = None;
            for place in self.places.iter().filter(|place| place.service == service) {
                if last != Some(&place.shard) {
                    let range = place.range;
                    let _ = writeln!(
                        out,
                        "[[service.shard]]\nname = \"{}\"\nstart = {}\nend = {}",
                        place.shard, range.start, range.end
                    );
                    last = Some(&place.shard);
                }
                let is_leaving = self.leaving.contains(&place.name);
                let state = if is_leaving { "leaving" } else { "live" };
                let _ = writeln!(
                    out,
                    "[[service.shard.target]]\nname = \"{}\"\naddr = \"{}\"\nzone = \"{}\"\nstate = \"{state}\"",
                    place.name, place.addr, place.zone
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
