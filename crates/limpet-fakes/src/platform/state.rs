//! State of the fake platform.

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

use crate::platform::CallCounts;

/// A VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FakeVm {
    /// Name.
    pub name: String,
    /// Address.
    pub ip: IpAddr,
    /// Zone.
    pub zone: String,
    /// `live` or `leaving`; not checked, so that a test can send any value.
    pub state: String,
}

/// The list of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FakeVmList {
    /// VMs.
    pub vms: Vec<FakeVm>,
}

/// A revision of the configuration text; kept as bytes, so that a test can send invalid UTF-8.
#[derive(Clone, Debug)]
pub(super) struct Revision {
    pub(super) number: u64,
    pub(super) text: Arc<[u8]>,
}

/// State of the configuration service and the VM list.
#[derive(Debug)]
pub(super) struct State {
    pub(super) started: Instant,
    /// Incremented at each change of the configuration service.
    pub(super) changed: watch::Sender<u64>,
    inner: Mutex<Inner>,
}

/// The part of the state behind the lock.
#[derive(Debug, Default)]
pub(super) struct Inner {
    /// Revisions, oldest first.
    pub(super) history: Vec<Revision>,
    /// Number of revisions by which the served one is older than the newest.
    pub(super) stale_by: usize,
    pub(super) vms: FakeVmList,
    pub(super) calls: CallCounts,
}

impl Inner {
    /// Returns the revision that is served: an old one while the service is stale.
    pub(super) fn served(&self) -> Option<&Revision> {
        let newest = self.history.len().checked_sub(1)?;
        self.history.get(newest.saturating_sub(self.stale_by))
    }
}

impl State {
    pub(super) fn new() -> Self {
        Self {
            started: Instant::now(),
            changed: watch::Sender::new(0),
            inner: Mutex::default(),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes every waiting long poll.
    pub(super) fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Adds a revision and returns its number.
    pub(super) fn add_revision(&self, text: &[u8]) -> u64 {
        let number = {
            let mut inner = self.lock();
            let number = inner.history.last().map_or(1, |newest| newest.number + 1);
            inner.history.push(Revision {
                number,
                text: text.into(),
            });
            number
        };
        self.notify();
        number
    }
}
