//! Child processes of a fleet.

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
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Relay => "relay",
        }
    }
}

/// Returns the path of `limpetshuntd` in the parent of the folder of the test executable.
fn daemon_path() -> Result<PathBuf, FleetError> {
    let test = std::env::current_exe().map_err(FleetError::io("path of the test executable"))?;
    let folder = test.parent().and_then(Path::parent);
    let path = folder.unwrap_or(Path::new(".")).join("limpetshuntd");
    match path.exists() {
        true => Ok(path),
        false => Err(FleetError::NotBuilt { path }),
    }
}

/// A running process; it is killed when this value is dropped.
#[derive(Debug)]
pub(super) struct Process {
    child: Child,
}

impl Process {
    pub(super) fn start(args: &[String], log_path: &Path) -> Result<Self, FleetError> {
        let program = daemon_path()?;
        let open = || File::options().create(true).append(true).open(log_path);
        let out = open().map_err(FleetError::io("open the process log"))?;
        let err = open().map_err(FleetError::io("open the process log"))?;
        let mut command = Command::new(program);
        command
            .args(args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err);
        let _ports = lock_ports();
        let child = command
            .kill_on_drop(true)
            .spawn()
            .map_err(FleetError::io("start limpetshuntd"))?;
        Ok(Self { child })
    }

    pub(super) fn signal(&self, signal: Signal) {
        let pid = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        if let Some(pid) = pid {
            // The process may have exited already; the history shows that.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits for the exit and returns the exit code, `None` if a signal ended the process.
    pub(super) async fn wait(&mut self) -> Result<Option<i32>, FleetError> {
        let status = self.child.wait().await;
        Ok(status.map_err(FleetError::io("wait for a process"))?.code())
    }
}
