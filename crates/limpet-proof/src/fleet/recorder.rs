//! The history while it is written.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use limpet_types::BootClock;
use tokio::sync::watch;

use crate::{
    fleet::FleetError,
    history::Record, //
};

/// Collects records and tells waiting tests of each.
#[derive(Clone, Debug)]
pub struct Recorder {
    records: Arc<Mutex<Vec<Record>>>,
    added: Arc<watch::Sender<u64>>,
}

impl Recorder {
    pub(super) fn new() -> Self {
        Self {
            records: Arc::default(),
            added: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Returns the time in the unit of the records.
    pub fn now_us() -> u64 {
        BootClock::new().now().as_micros() as u64
    }

    /// Adds a record.
    pub fn add(&self, record: Record) {
        self.lock().push(record);
        self.added.send_modify(|count| *count += 1);
    }

    /// Returns the records so far.
    pub fn lock(&self) -> MutexGuard<'_, Vec<Record>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until `wanted` more records of one sort have come.
    ///
    /// # Errors
    ///
    /// Fails when they do not come within the limit.
    pub async fn until(
        &self,
        what: &str,
        wanted: usize,
        limit: Duration,
        is_counted: impl Fn(&Record) -> bool,
    ) -> Result<(), FleetError> {
        let mut added = self.added.subscribe();
        let first = self.lock().len();
        let reached = async {
            while self.lock()[first..]
                .iter()
                .filter(|r| is_counted(r))
                .count()
                < wanted
            {
                if added.changed().await.is_err() {
                    return;
                }
            }
        };
        tokio::time::timeout(limit, reached)
            .await
            .map_err(|_| FleetError::Late {
                what: what.into(),
                limit_s: limit.as_secs(),
            })
    }
}
