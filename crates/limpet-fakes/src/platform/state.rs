//! State of a fake platform, shared by its servers.

use std::{
    net::IpAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

use crate::platform::ConfigCallCounts;

/// A VM in the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FakeVm {
    /// Name of the VM.
    pub name: String,
    /// IP address at which the VM is reached.
    pub ip: IpAddr,
    /// Name of the zone.
    pub zone: String,
    /// `live` or `leaving`; not checked, so that a test can send any value.
    pub state: String,
}

/// The VM list, as `/v1/vms` serves it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FakeVmList {
    /// Entries of the list, in the order in which they are served.
    pub vms: Vec<FakeVm>,
}

/// A revision of the configuration text.
///
/// The text is kept as bytes, so that a test can serve invalid UTF-8.
#[derive(Clone, Debug)]
pub(super) struct Revision {
    pub(super) number: u64,
    pub(super) text: Arc<[u8]>,
}

/// State shared by all servers of a fake platform.
#[derive(Debug)]
pub(super) struct PlatformState {
    pub(super) created_at: Instant,
    /// Incremented when the served revision may have changed; wakes the long polls.
    pub(super) change_count: watch::Sender<u64>,
    contents: Mutex<Contents>,
}

/// What the platform serves and counts, behind the lock of [`PlatformState`].
#[derive(Debug, Default)]
pub(super) struct Contents {
    /// Revisions of the configuration text, oldest first.
    pub(super) revisions: Vec<Revision>,
    /// Number of revisions by which the served one is older than the newest.
    pub(super) stale_by: usize,
    pub(super) vms: FakeVmList,
    pub(super) config_calls: ConfigCallCounts,
}

impl Contents {
    /// Returns the revision to serve, if any: an old one while the service is stale.
    pub(super) fn served_revision(&self) -> Option<&Revision> {
        let newest_index = self.revisions.len().checked_sub(1)?;
        self.revisions
            .get(newest_index.saturating_sub(self.stale_by))
    }
}

impl PlatformState {
    pub(super) fn new() -> Self {
        Self {
            created_at: Instant::now(),
            change_count: watch::Sender::new(0),
            contents: Mutex::default(),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes every waiting long poll.
    pub(super) fn wake_long_polls(&self) {
        self.change_count.send_modify(|count| *count += 1);
    }

    /// Adds a revision and returns its number.
    pub(super) fn add_revision(&self, text: &[u8]) -> u64 {
        let number = {
            let mut contents = self.lock();
            let number = contents
                .revisions
                .last()
                .map_or(1, |newest| newest.number + 1);
            contents.revisions.push(Revision {
                number,
                text: text.into(),
            });
            number
        };
        self.wake_long_polls();
        number
    }
}
