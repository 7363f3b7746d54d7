//! The running fleet.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use limpet_fakes::{
    platform::{
        FakeVm,
        Frontend,
        Platform, //
    },
    target::{
        FakeTarget,
        TargetSpec, //
    },
};
use rustix::process::Signal;
use tempfile::TempDir;

use crate::{
    check::{
        Violation,
        violations, //
    },
    fleet::{
        Caller, FleetError, Layout, Load, Recorder, Role,
        layout::{
            TARGETS,
            VMS,
            ZONES, //
        },
        ports::free_ports,
        process::Process,
        summary::Summary,
    },
    history::{
        Change,
        ProcessChange,
        Record, //
    },
};

/// Longest wait for a process to become ready, or for the fleet to answer again.
pub(super) const LIMIT: Duration = Duration::from_secs(30);
/// Callers of a load.
const CALLERS: usize = 6;
/// Index versions by shard: a search must find the one that every shard has.
const VERSIONS: [[u64; 2]; 2] = [[6, 7], [7, 8]];

/// A fleet of 4 VMs in two zones over 8 stand-in targets.
#[derive(Debug)]
pub struct Fleet {
    /// The history.
    pub recorder: Recorder,
    /// Configuration service and VM list.
    pub platform: Platform,
    /// Stand-in targets.
    pub targets: Vec<FakeTarget>,
    frontend: Frontend,
    layout: Layout,
    ports: Vec<u16>,
    processes: BTreeMap<(Role, usize), Process>,
    folder: TempDir,
}

impl Fleet {
    /// Starts everything and waits until each entry answers a search and a record query completely.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started or does not become ready.
    pub async fn start(
        adapt: impl Fn(TargetSpec) -> TargetSpec + Send,
    ) -> Result<Self, FleetError> {
        let mut ports = free_ports(TARGETS + 6)?;
        let layout = Layout::new(&ports.split_off(6));
        let mut targets = Vec::with_capacity(TARGETS);
        for place in &layout.places {
            let mut spec = TargetSpec::new(&place.name);
            spec.addr = place.addr;
            spec.shard = place.shard.clone();
            spec.range = place.range;
            if place.service == "stock" {
                let shard = usize::from(place.range.start > 0);
                spec.versions_held = VERSIONS[shard].to_vec();
            }
            let target = FakeTarget::start(adapt(spec)).await;
            targets.push(target.map_err(FleetError::io("target"))?);
        }
        let platform = Platform::new();
        platform.set_text(&layout.text());
        platform.set_vms((0..VMS).map(vm).collect());
        let frontend = platform
            .serve(SocketAddr::from(([127, 0, 0, 1], ports[0])))
            .await;
        let mut fleet = Self {
            recorder: Recorder::new(),
            platform,
            targets,
            frontend: frontend.map_err(FleetError::io("platform"))?,
            layout,
            ports,
            processes: BTreeMap::new(),
            folder: TempDir::new().map_err(FleetError::io("folder"))?,
        };
        for record in fleet.layout.records() {
            fleet.recorder.add(record);
        }
        for place in 0..VMS {
            fleet.launch(Role::Relay, place)?;
            fleet.launch(Role::Entry, place)?;
        }
        for place in 0..VMS {
            fleet.until_complete(place, "search").await?;
            fleet.until_complete(place, "record").await?;
        }
        Ok(fleet)
    }

    /// Starts one process.
    ///
    /// # Errors
    ///
    /// Fails when the daemon is missing or cannot be started.
    pub fn launch(&mut self, role: Role, place: usize) -> Result<(), FleetError> {
        let (ip, service) = (ip(place), self.frontend.addr());
        let mut args = vec![role.name().to_owned()];
        let mut set = |flag: &str, value: String| args.extend([format!("--{flag}"), value]);
        set("ip", ip.clone());
        set("zone", ZONES[place % ZONES.len()].into());
        set("entry-peer-port", self.ports[1].to_string());
        set("relay-peer-port", self.ports[2].to_string());
        set("config-service", service.to_string());
        set("vm-list", service.to_string());
        set("admin-addr", self.admin(role, place).to_string());
        if role == Role::Entry {
            set("caller-addr", format!("{ip}:{}", self.ports[5]));
        }
        let name = process_name(role, place);
        let process = Process::start(&args, &self.folder.path().join(&name))?;
        self.processes.insert((role, place), process);
        self.note(role, place, ProcessChange::Start);
        Ok(())
    }

    pub(super) fn admin(&self, role: Role, place: usize) -> SocketAddr {
        let port = self.ports[if role == Role::Entry { 3 } else { 4 }];
        SocketAddr::from(([127, 0, 0, 11 + place as u8], port))
    }

    fn note(&self, role: Role, place: usize, change: ProcessChange) {
        self.recorder.add(Record::Process {
            at_us: Recorder::now_us(),
            process: process_name(role, place).into(),
            change,
        });
    }

    /// Kills a process and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub async fn kill(&mut self, role: Role, place: usize) -> Result<(), FleetError> {
        self.note(role, place, ProcessChange::Kill);
        if let Some(mut process) = self.processes.remove(&(role, place)) {
            process.signal(Signal::KILL);
            process.ended().await?;
        }
        Ok(())
    }

    /// Freezes a process.
    pub fn freeze(&self, role: Role, place: usize) {
        self.note(role, place, ProcessChange::Freeze);
        if let Some(process) = self.processes.get(&(role, place)) {
            process.signal(Signal::STOP);
        }
    }

    /// Wakes a frozen process.
    pub fn wake(&self, role: Role, place: usize) {
        if let Some(process) = self.processes.get(&(role, place)) {
            process.signal(Signal::CONT);
        }
        self.note(role, place, ProcessChange::Wake);
    }

    /// Asks a process to stop, waits for its end and returns its exit code.
    ///
    /// # Errors
    ///
    /// Fails when it does not end within the limit.
    pub async fn stop(&mut self, role: Role, place: usize) -> Result<Option<i32>, FleetError> {
        self.note(role, place, ProcessChange::Stop);
        let Some(mut process) = self.processes.remove(&(role, place)) else {
            return Ok(None);
        };
        process.signal(Signal::TERM);
        match tokio::time::timeout(LIMIT, process.ended()).await {
            Ok(code) => code,
            Err(_) => Err(late("the end of a process")),
        }
    }

    /// Puts a change of the operators into force and records it once it is accepted.
    pub fn change(&mut self, change: Change) {
        match &change {
            Change::ZoneOut(zone) => _ = self.layout.zones_out.insert(zone.clone()),
            Change::ZoneIn(zone) => _ = self.layout.zones_out.remove(zone),
            Change::Leaving(target) => _ = self.layout.leaving.insert(target.clone()),
            Change::KeyRevoked(key) => _ = self.layout.revoked.insert(key.clone()),
        }
        self.platform.set_text(&self.layout.text());
        let at_us = Recorder::now_us();
        self.recorder.add(Record::Operator { at_us, change });
    }

    /// Makes the configuration service and the VM list unreachable, or reachable again.
    pub fn set_platform_down(&self, down: bool) {
        self.frontend.set_down(down);
    }

    /// Returns a caller of one entry, without a connection yet.
    pub fn caller(&self, place: usize) -> Caller {
        let addr = SocketAddr::from(([127, 0, 0, 11 + place as u8], self.ports[5]));
        let entry = process_name(Role::Entry, place);
        Caller::new(&entry, addr, self.recorder.clone())
    }

    /// Starts a load on these entries.
    pub fn load(&self, seed: u64, entries: &[usize]) -> Load {
        let list = || entries.iter().map(|place| self.caller(*place)).collect();
        Load::start(seed, (0..CALLERS).map(|_| list()).collect())
    }

    /// Ends every process, adds what the targets saw and returns what contradicts a property.
    ///
    /// The history and the logs are kept in a folder if anything does.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be waited for or the history cannot be written.
    pub async fn verdict(mut self) -> Result<Vec<Violation>, FleetError> {
        let places: Vec<_> = self.processes.keys().copied().collect();
        for (role, place) in places {
            self.kill(role, place).await?;
        }
        for target in &self.targets {
            for seen in target.events() {
                let target = target.name().into();
                self.recorder.add(Record::Target { target, seen });
            }
        }
        let records = self.recorder.lock().clone();
        let found = violations(&records);
        eprintln!("{}: {} contradictions", Summary::new(&records), found.len());
        if !found.is_empty() {
            let lines: Result<Vec<String>, _> = records.iter().map(serde_json::to_string).collect();
            let folder = self.folder.keep();
            let text = lines
                .map_err(std::io::Error::from)
                .map(|lines| lines.join("\n"));
            text.and_then(|text| std::fs::write(folder.join("history.jsonl"), text))
                .map_err(FleetError::io("history"))?;
            eprintln!("history and logs are in {}", folder.display());
        }
        Ok(found)
    }
}

pub(super) fn late(what: &str) -> FleetError {
    FleetError::Late {
        what: what.into(),
        limit_s: LIMIT.as_secs(),
    }
}

pub(super) fn ip(place: usize) -> String {
    format!("127.0.0.{}", 11 + place)
}

fn process_name(role: Role, place: usize) -> String {
    format!("{}-{place}", role.name())
}

fn vm(place: usize) -> FakeVm {
    FakeVm {
        name: format!("vm-{place}"),
        ip: SocketAddr::from(([127, 0, 0, 11 + place as u8], 0)).ip(),
        zone: ZONES[place % ZONES.len()].into(),
        state: "live".into(),
    }
}
