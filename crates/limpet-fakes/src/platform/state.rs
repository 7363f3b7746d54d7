//! What the stand-in holds.

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

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FakeVm {
    /// Name.
    pub name: String,
    /// Address.
    pub ip: IpAddr,
    /// Zone.
    pub zone: String,
    /// `live` or `leaving`; sent as it is, so that a test can send anything.
    pub state: String,
}

/// The list of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FakeVms {
    /// VMs.
    pub vms: Vec<FakeVm>,
}

/// One revision; the text is kept as bytes, so that a test can send anything.
#[derive(Clone, Debug)]
pub(super) struct Value {
    pub(super) revision: u64,
    pub(super) text: Arc<[u8]>,
}

/// Answers of both services.
#[derive(Debug)]
pub(super) struct State {
    pub(super) started: Instant,
    pub(super) changed: watch::Sender<u64>,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
pub(super) struct Inner {
    pub(super) history: Vec<Value>,
    pub(super) stale_by: usize,
    pub(super) vms: FakeVms,
    pub(super) calls: CallCounts,
}

impl Inner {
    /// Returns the value shown, which is an old one while the service is stale.
    pub(super) fn shown(&self) -> Option<&Value> {
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

    /// Wakes every waiting watch.
    pub(super) fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    pub(super) fn push(&self, text: &[u8]) -> u64 {
        let revision = {
            let mut inner = self.lock();
            let revision = inner.history.last().map_or(1, |value| value.revision + 1);
            inner.history.push(Value {
                revision,
                text: text.into(),
            });
            revision
        };
        self.notify();
        revision
    }
}
