//! The `limpetshuntd` processes of a fleet.

use std::{
    fs::File,
    path::{
        Path,
        PathBuf, //
    },
    process::Stdio,
};

use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};
use tokio::process::{
    Child,
    Command, //
};

use crate::fleet::{
    FleetError,
    ports::lock_ports, //
};

/// Role of a `limpetshuntd` process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Serves callers.
    Entry,
    /// Owns targets.
    Relay,
}

impl Role {
    /// Returns the name of the role, which is also the subcommand of `limpetshuntd`.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Relay => "relay",
        }
    }
}

/// Returns the path of `limpetshuntd`, which Cargo builds into the parent of the folder of the test
/// executable.
fn daemon_path() -> Result<PathBuf, FleetError> {
    let test_path =
        std::env::current_exe().map_err(FleetError::io("path of the test executable"))?;
    let folder = test_path.parent().and_then(Path::parent);
    let path = folder.unwrap_or(Path::new(".")).join("limpetshuntd");
    match path.exists() {
        true => Ok(path),
        false => Err(FleetError::NotBuilt { path }),
    }
}

/// A running `limpetshuntd` process; it is killed when this value is dropped.
#[derive(Debug)]
pub(super) struct DaemonProcess {
    child: Child,
}

impl DaemonProcess {
    /// Starts a process whose output is appended to a log file.
    pub(super) fn start(args: &[String], log_path: &Path) -> Result<Self, FleetError> {
        let program = daemon_path()?;
        let open_log = || File::options().create(true).append(true).open(log_path);
        let stdout = open_log().map_err(FleetError::io("open the process log"))?;
        let stderr = open_log().map_err(FleetError::io("open the process log"))?;
        let mut command = Command::new(program);
        command
            .args(args)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(stderr);
        let _ports_lock = lock_ports();
        let child = command
            .kill_on_drop(true)
            .spawn()
            .map_err(FleetError::io("start limpetshuntd"))?;
        Ok(Self { child })
    }

    /// Sends a signal to the process.
    pub(super) fn send_signal(&self, signal: Signal) {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        if let Some(pid) = pid {
            // The process may have exited already; the history shows that.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits for the exit and returns the exit code, or `None` if a signal ended the process.
    pub(super) async fn wait_for_exit(&mut self) -> Result<Option<i32>, FleetError> {
        let status = self.child.wait().await;
        Ok(status.map_err(FleetError::io("wait for a process"))?.code())
    }
}
