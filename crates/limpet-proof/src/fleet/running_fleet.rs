//! A running test fleet.

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
        find_violations, //
    },
    fleet::{
        Caller, FleetError, FleetLayout, HistoryRecorder, Role, RunningLoad,
        fleet_layout::{
            TARGET_COUNT,
            VM_COUNT,
            ZONES, //
        },
        ports::find_free_ports,
        process::DaemonProcess,
        summary::HistorySummary,
    },
    history::{
        ConfigChange,
        HistoryRecord,
        ProcessChange, //
    },
};

/// Timeout of each wait for an answer, a state of the fleet or the exit of a process after SIGTERM.
pub(super) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of concurrent tasks of a load.
const LOAD_TASK_COUNT: usize = 6;
/// Index versions held by the targets of each shard of the service `stock`; a search must use the one that
/// both shards hold.
const INDEX_VERSIONS: [[u64; 2]; 2] = [[6, 7], [7, 8]];

/// A running fleet of 4 VMs in two zones, with 8 fake targets.
///
/// Each VM has one entry and one relay; VMs are identified by their index in the VM list.
#[derive(Debug)]
pub struct Fleet {
    /// Recorder of the history.
    pub recorder: HistoryRecorder,
    /// Fake configuration service and VM list.
    pub platform: FakePlatform,
    /// Fake targets.
    pub targets: Vec<FakeTarget>,
    platform_server: FakePlatformServer,
    layout: FleetLayout,
    /// In this order: port of the fake platform, peer ports of the entries and of the relays, admin ports of
    /// the entries and of the relays, and port that serves callers.
    ports: Vec<u16>,
    processes: BTreeMap<(Role, usize), DaemonProcess>,
    /// Folder of the process logs.
    log_folder: TempDir,
}

impl Fleet {
    /// Starts the fleet and waits until each entry answers a search and a record query completely.
    ///
    /// `adapt_spec` changes the settings of each fake target before it starts.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started or does not become ready.
    pub async fn start(
        adapt_spec: impl Fn(TargetSpec) -> TargetSpec + Send,
    ) -> Result<Self, FleetError> {
        let mut ports = find_free_ports(TARGET_COUNT + 6)?;
        let layout = FleetLayout::new(&ports.split_off(6));
        let mut targets = Vec::with_capacity(TARGET_COUNT);
        for target in &layout.targets {
            let mut spec = TargetSpec::new(&target.name);
            spec.addr = target.addr;
            spec.shard = target.shard.clone();
            spec.range = target.range;
            if target.service == "stock" {
                let shard_index = usize::from(target.range.start > 0);
                spec.versions_held = INDEX_VERSIONS[shard_index].to_vec();
            }
            let target = FakeTarget::start(adapt_spec(spec)).await;
            targets.push(target.map_err(FleetError::io("start a fake target"))?);
        }
        let platform = FakePlatform::new();
        platform.set_config_text(&layout.config_text());
        platform.set_vms((0..VM_COUNT).map(fake_vm).collect());
        let platform_server = platform
            .serve(SocketAddr::from(([127, 0, 0, 1], ports[0])))
            .await;
        let mut fleet = Self {
            recorder: HistoryRecorder::new(),
            platform,
            targets,
            platform_server: platform_server.map_err(FleetError::io("start the fake platform"))?,
            layout,
            ports,
            processes: BTreeMap::new(),
            log_folder: TempDir::new().map_err(FleetError::io("create the log folder"))?,
        };
        for record in fleet.layout.records() {
            fleet.recorder.add(record);
        }
        for vm_index in 0..VM_COUNT {
            fleet.start_process(Role::Relay, vm_index)?;
            fleet.start_process(Role::Entry, vm_index)?;
        }
        for vm_index in 0..VM_COUNT {
            fleet.wait_until_complete(vm_index, "search").await?;
            fleet.wait_until_complete(vm_index, "record").await?;
        }
        Ok(fleet)
    }

    /// Starts the process of a role on a VM.
    ///
    /// # Errors
    ///
    /// Fails when `limpetshuntd` is missing or cannot be started.
    pub fn start_process(&mut self, role: Role, vm_index: usize) -> Result<(), FleetError> {
        let (ip, platform_addr) = (vm_ip(vm_index), self.platform_server.addr());
        let mut args = vec![role.name().to_owned()];
        let mut add_flag = |flag: &str, value: String| args.extend([format!("--{flag}"), value]);
        add_flag("ip", ip.clone());
        add_flag("zone", ZONES[vm_index % ZONES.len()].into());
        add_flag("entry-peer-port", self.ports[1].to_string());
        add_flag("relay-peer-port", self.ports[2].to_string());
        add_flag("config-service", platform_addr.to_string());
        add_flag("vm-list", platform_addr.to_string());
        add_flag("admin-addr", self.admin_addr(role, vm_index).to_string());
        if role == Role::Entry {
            add_flag("caller-addr", format!("{ip}:{}", self.ports[5]));
        }
        let log_name = process_name(role, vm_index);
        let process = DaemonProcess::start(&args, &self.log_folder.path().join(&log_name))?;
        self.processes.insert((role, vm_index), process);
        self.record_process_change(role, vm_index, ProcessChange::Start);
        Ok(())
    }

    /// Returns the admin address of a process.
    pub(super) fn admin_addr(&self, role: Role, vm_index: usize) -> SocketAddr {
        let port = self.ports[if role == Role::Entry { 3 } else { 4 }];
        SocketAddr::from(([127, 0, 0, 11 + vm_index as u8], port))
    }

    fn record_process_change(&self, role: Role, vm_index: usize, change: ProcessChange) {
        self.recorder.add(HistoryRecord::Process {
            at_us: HistoryRecorder::now_us(),
            process: process_name(role, vm_index).into(),
            change,
        });
    }

    /// Kills a process with SIGKILL and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be waited for.
    pub async fn kill(&mut self, role: Role, vm_index: usize) -> Result<(), FleetError> {
        self.record_process_change(role, vm_index, ProcessChange::Kill);
        if let Some(mut process) = self.processes.remove(&(role, vm_index)) {
            process.send_signal(Signal::KILL);
            process.wait_for_exit().await?;
        }
        Ok(())
    }

    /// Pauses a process with SIGSTOP.
    pub fn pause(&self, role: Role, vm_index: usize) {
        self.record_process_change(role, vm_index, ProcessChange::Freeze);
        if let Some(process) = self.processes.get(&(role, vm_index)) {
            process.send_signal(Signal::STOP);
        }
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self, role: Role, vm_index: usize) {
        if let Some(process) = self.processes.get(&(role, vm_index)) {
            process.send_signal(Signal::CONT);
        }
        self.record_process_change(role, vm_index, ProcessChange::Wake);
    }

    /// Stops a process with SIGTERM, waits for its exit and returns the exit code.
    ///
    /// Returns `None` if a signal ended the process or it was not running.
    ///
    /// # Errors
    ///
    /// Fails when the process does not exit within the timeout.
    pub async fn stop(&mut self, role: Role, vm_index: usize) -> Result<Option<i32>, FleetError> {
        self.record_process_change(role, vm_index, ProcessChange::Stop);
        let Some(mut process) = self.processes.remove(&(role, vm_index)) else {
            return Ok(None);
        };
        process.send_signal(Signal::TERM);
        match tokio::time::timeout(WAIT_TIMEOUT, process.wait_for_exit()).await {
            Ok(code) => code,
            Err(_) => Err(timeout_error("the exit of a process")),
        }
    }

    /// Applies a configuration change and records it once the configuration service has accepted it.
    pub fn apply_change(&mut self, change: ConfigChange) {
        match &change {
            ConfigChange::ZoneOut(zone) => _ = self.layout.zones_out.insert(zone.clone()),
            ConfigChange::ZoneIn(zone) => _ = self.layout.zones_out.remove(zone),
            ConfigChange::Leaving(target) => _ = self.layout.leaving_targets.insert(target.clone()),
            ConfigChange::KeyRevoked(key) => _ = self.layout.revoked_keys.insert(key.clone()),
        }
        self.platform.set_config_text(&self.layout.config_text());
        let at_us = HistoryRecorder::now_us();
        self.recorder
            .add(HistoryRecord::ConfigChanged { at_us, change });
    }

    /// Makes the configuration service and the VM list unreachable, or reachable again.
    pub fn set_platform_down(&self, is_down: bool) {
        self.platform_server.set_down(is_down);
    }

    /// Returns a caller of the entry on a VM, not connected yet.
    pub fn caller(&self, vm_index: usize) -> Caller {
        let addr = SocketAddr::from(([127, 0, 0, 11 + vm_index as u8], self.ports[5]));
        let entry = process_name(Role::Entry, vm_index);
        Caller::new(&entry, addr, self.recorder.clone())
    }

    /// Starts a load on the entries of these VMs; `seed` determines the requests.
    pub fn start_load(&self, seed: u64, vm_indexes: &[usize]) -> RunningLoad {
        let callers = || {
            vm_indexes
                .iter()
                .map(|vm_index| self.caller(*vm_index))
                .collect()
        };
        RunningLoad::start(seed, (0..LOAD_TASK_COUNT).map(|_| callers()).collect())
    }

    /// Kills all processes, adds the requests that the targets received to the history and checks it.
    ///
    /// If there are violations, the history and the process logs are kept in a folder.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be waited for or the history cannot be written.
    pub async fn stop_and_check(mut self) -> Result<Vec<Violation>, FleetError> {
        let running_processes: Vec<_> = self.processes.keys().copied().collect();
        for (role, vm_index) in running_processes {
            self.kill(role, vm_index).await?;
        }
        for target in &self.targets {
            for received in target.received_requests() {
                let target = target.name().into();
                self.recorder
                    .add(HistoryRecord::TargetRequest { target, received });
            }
        }
        let records = self.recorder.lock().clone();
        let violations = find_violations(&records);
        eprintln!(
            "{}: {} violations",
            HistorySummary::new(&records),
            violations.len()
        );
        if !violations.is_empty() {
            let lines: Result<Vec<String>, _> = records.iter().map(serde_json::to_string).collect();
            let folder = self.log_folder.keep();
            let history_text = lines
                .map_err(std::io::Error::from)
                .map(|lines| lines.join("\n"));
            history_text
                .and_then(|text| std::fs::write(folder.join("history.jsonl"), text))
                .map_err(FleetError::io("write the history"))?;
            eprintln!("history and logs are kept in {}", folder.display());
        }
        Ok(violations)
    }
}

/// Returns the error for something that did not happen within [`WAIT_TIMEOUT`].
pub(super) fn timeout_error(awaited: &str) -> FleetError {
    FleetError::Timeout {
        awaited: awaited.into(),
        limit_s: WAIT_TIMEOUT.as_secs(),
    }
}

/// Returns the address of a VM.
pub(super) fn vm_ip(vm_index: usize) -> String {
    format!("127.0.0.{}", 11 + vm_index)
}

/// Returns the name of a process in the history, which is also the name of its log file.
fn process_name(role: Role, vm_index: usize) -> String {
    format!("{}-{vm_index}", role.name())
}

/// Returns the entry of a VM in the VM list.
fn fake_vm(vm_index: usize) -> FakeVm {
    FakeVm {
        name: format!("vm-{vm_index}"),
        ip: SocketAddr::from(([127, 0, 0, 11 + vm_index as u8], 0)).ip(),
        zone: ZONES[vm_index % ZONES.len()].into(),
        state: "live".into(),
    }
}
