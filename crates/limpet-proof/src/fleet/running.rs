//! Running fleet of `limpetshuntd` processes.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use limpet_fakes::{
    platform::{
        FakePlatform,
        FakePlatformServer,
        FakeVm, //
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

/// Limit of every wait for a process or an answer.
pub(super) const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Number of concurrent tasks of a load.
const LOAD_TASKS: usize = 6;
/// Index versions held by each shard; a search must use the one that all shards hold.
const INDEX_VERSIONS: [[u64; 2]; 2] = [[6, 7], [7, 8]];

/// Fleet of 4 VMs in two zones with 8 fake targets.
#[derive(Debug)]
pub struct Fleet {
    /// Recorder of the history.
    pub recorder: Recorder,
    /// Fake configuration service and VM list.
    pub platform: FakePlatform,
    /// Fake targets.
    pub targets: Vec<FakeTarget>,
    platform_server: FakePlatformServer,
    layout: Layout,
    ports: Vec<u16>,
    processes: BTreeMap<(Role, usize), Process>,
    folder: TempDir,
}

impl Fleet {
    /// Starts the fleet and waits until each entry answers a search and a record query completely.
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
        for target in &layout.targets {
            let mut spec = TargetSpec::new(&target.name);
            spec.addr = target.addr;
            spec.shard = target.shard.clone();
            spec.range = target.range;
            if target.service == "stock" {
                let shard = usize::from(target.range.start > 0);
                spec.versions_held = INDEX_VERSIONS[shard].to_vec();
            }
            let started = FakeTarget::start(adapt(spec)).await;
            targets.push(started.map_err(FleetError::io("start a fake target"))?);
        }
        let platform = FakePlatform::new();
        platform.set_config_text(&layout.config_text());
        platform.set_vms((0..VMS).map(fake_vm).collect());
        let platform_server = platform
            .serve(SocketAddr::from(([127, 0, 0, 1], ports[0])))
            .await;
        let mut fleet = Self {
            recorder: Recorder::new(),
            platform,
            targets,
            platform_server: platform_server.map_err(FleetError::io("start the fake platform"))?,
            layout,
            ports,
            processes: BTreeMap::new(),
            folder: TempDir::new().map_err(FleetError::io("create the log folder"))?,
        };
        for record in fleet.layout.records() {
            fleet.recorder.add(record);
        }
        for vm in 0..VMS {
            fleet.start_process(Role::Relay, vm)?;
            fleet.start_process(Role::Entry, vm)?;
        }
        for vm in 0..VMS {
            fleet.wait_until_complete(vm, "search").await?;
            fleet.wait_until_complete(vm, "record").await?;
        }
        Ok(fleet)
    }

    /// Starts the process of a role on a VM.
    ///
    /// # Errors
    ///
    /// Fails when `limpetshuntd` is missing or cannot be started.
    pub fn start_process(&mut self, role: Role, vm: usize) -> Result<(), FleetError> {
        let (ip, service) = (ip(vm), self.platform_server.addr());
        let mut args = vec![role.name().to_owned()];
        let mut set = |flag: &str, value: String| args.extend([format!("--{flag}"), value]);
        set("ip", ip.clone());
        set("zone", ZONES[vm % ZONES.len()].into());
        set("entry-peer-port", self.ports[1].to_string());
        set("relay-peer-port", self.ports[2].to_string());
        set("config-service", service.to_string());
        set("vm-list", service.to_string());
        set("admin-addr", self.admin_addr(role, vm).to_string());
        if role == Role::Entry {
            set("caller-addr", format!("{ip}:{}", self.ports[5]));
        }
        let name = process_name(role, vm);
        let process = Process::start(&args, &self.folder.path().join(&name))?;
        self.processes.insert((role, vm), process);
        self.record_process_change(role, vm, ProcessChange::Start);
        Ok(())
    }

    pub(super) fn admin_addr(&self, role: Role, vm: usize) -> SocketAddr {
        let port = self.ports[if role == Role::Entry { 3 } else { 4 }];
        SocketAddr::from(([127, 0, 0, 11 + vm as u8], port))
    }

    fn record_process_change(&self, role: Role, vm: usize, change: ProcessChange) {
        self.recorder.add(Record::Process {
            at_us: Recorder::now_us(),
            process: process_name(role, vm).into(),
            change,
        });
    }

    /// Kills a process with SIGKILL and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub async fn kill(&mut self, role: Role, vm: usize) -> Result<(), FleetError> {
        self.record_process_change(role, vm, ProcessChange::Kill);
        if let Some(mut process) = self.processes.remove(&(role, vm)) {
            process.signal(Signal::KILL);
            process.wait().await?;
        }
        Ok(())
    }

    /// Pauses a process with SIGSTOP.
    pub fn pause(&self, role: Role, vm: usize) {
        self.record_process_change(role, vm, ProcessChange::Freeze);
        if let Some(process) = self.processes.get(&(role, vm)) {
            process.signal(Signal::STOP);
        }
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self, role: Role, vm: usize) {
        if let Some(process) = self.processes.get(&(role, vm)) {
            process.signal(Signal::CONT);
        }
        self.record_process_change(role, vm, ProcessChange::Wake);
    }

    /// Stops a process with SIGTERM, waits for its exit and returns the exit code.
    ///
    /// # Errors
    ///
    /// Fails when it does not exit within the limit.
    pub async fn stop(&mut self, role: Role, vm: usize) -> Result<Option<i32>, FleetError> {
        self.record_process_change(role, vm, ProcessChange::Stop);
        let Some(mut process) = self.processes.remove(&(role, vm)) else {
            return Ok(None);
        };
        process.signal(Signal::TERM);
        match tokio::time::timeout(WAIT_LIMIT, process.wait()).await {
            Ok(code) => code,
            Err(_) => Err(timeout_error("the exit of a process")),
        }
    }

    /// Applies a configuration change and records it once the configuration service has accepted it.
    pub fn apply_change(&mut self, change: Change) {
        match &change {
            Change::ZoneOut(zone) => _ = self.layout.zones_out.insert(zone.clone()),
            Change::ZoneIn(zone) => _ = self.layout.zones_out.remove(zone),
            Change::Leaving(target) => _ = self.layout.leaving.insert(target.clone()),
            Change::KeyRevoked(key) => _ = self.layout.revoked_keys.insert(key.clone()),
        }
        self.platform.set_config_text(&self.layout.config_text());
        let at_us = Recorder::now_us();
        self.recorder.add(Record::Operator { at_us, change });
    }

    /// Makes the configuration service and the VM list unreachable, or reachable again.
    pub fn set_platform_down(&self, is_down: bool) {
        self.platform_server.set_down(is_down);
    }

    /// Returns a caller of the entry on a VM, not connected yet.
    pub fn caller(&self, vm: usize) -> Caller {
        let addr = SocketAddr::from(([127, 0, 0, 11 + vm as u8], self.ports[5]));
        let entry = process_name(Role::Entry, vm);
        Caller::new(&entry, addr, self.recorder.clone())
    }

    /// Starts a load on the entries of these VMs.
    pub fn start_load(&self, seed: u64, vms: &[usize]) -> Load {
        let callers = || vms.iter().map(|vm| self.caller(*vm)).collect();
        Load::start(seed, (0..LOAD_TASKS).map(|_| callers()).collect())
    }

    /// Kills all processes, adds the events of the targets to the history and checks it.
    ///
    /// If there are violations, the history and the process logs are kept in a folder.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be waited for or the history cannot be written.
    pub async fn stop_and_check(mut self) -> Result<Vec<Violation>, FleetError> {
        let running: Vec<_> = self.processes.keys().copied().collect();
        for (role, vm) in running {
            self.kill(role, vm).await?;
        }
        for target in &self.targets {
            for seen in target.received_requests() {
                let target = target.name().into();
                self.recorder.add(Record::Target { target, seen });
            }
        }
        let records = self.recorder.lock().clone();
        let violations = violations(&records);
        eprintln!(
            "{}: {} violations",
            Summary::new(&records),
            violations.len()
        );
        if !violations.is_empty() {
            let lines: Result<Vec<String>, _> = records.iter().map(serde_json::to_string).collect();
            let folder = self.folder.keep();
            let text = lines
                .map_err(std::io::Error::from)
                .map(|lines| lines.join("\n"));
            text.and_then(|text| std::fs::write(folder.join("history.jsonl"), text))
                .map_err(FleetError::io("write the history"))?;
            eprintln!("history and logs are kept in {}", folder.display());
        }
        Ok(violations)
    }
}

pub(super) fn timeout_error(awaited: &str) -> FleetError {
    FleetError::Timeout {
        awaited: awaited.into(),
        limit_s: WAIT_LIMIT.as_secs(),
    }
}

pub(super) fn ip(vm: usize) -> String {
    format!("127.0.0.{}", 11 + vm)
}

fn process_name(role: Role, vm: usize) -> String {
    format!("{}-{vm}", role.name())
}

fn fake_vm(vm: usize) -> FakeVm {
    FakeVm {
        name: format!("vm-{vm}"),
        ip: SocketAddr::from(([127, 0, 0, 11 + vm as u8], 0)).ip(),
        zone: ZONES[vm % ZONES.len()].into(),
        state: "live".into(),
    }
}
