//! Recorder of a history.

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

/// Collects the records of a history and notifies waiting tests of each.
#[derive(Clone, Debug)]
pub struct Recorder {
    records: Arc<Mutex<Vec<Record>>>,
    record_count: Arc<watch::Sender<u64>>,
}

impl Recorder {
    pub(super) fn new() -> Self {
        Self {
            records: Arc::default(),
            record_count: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Returns the current time in microseconds of `CLOCK_BOOTTIME`, as in the records.
    pub fn now_us() -> u64 {
        BootClock::new().now().as_micros() as u64
    }

    /// Adds a record.
    pub fn add(&self, record: Record) {
        self.lock().push(record);
        self.record_count.send_modify(|count| *count += 1);
    }

    /// Locks and returns the records so far.
    pub fn lock(&self) -> MutexGuard<'_, Vec<Record>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until `count` more records match.
    ///
    /// # Errors
    ///
    /// Fails when fewer match within the limit.
    pub async fn wait_for(
        &self,
        awaited: &str,
        count: usize,
        limit: Duration,
        is_match: impl Fn(&Record) -> bool,
    ) -> Result<(), FleetError> {
        let mut record_count = self.record_count.subscribe();
        let first = self.lock().len();
        let reached = async {
            while self.lock()[first..].iter().filter(|r| is_match(r)).count() < count {
                if record_count.changed().await.is_err() {
                    return;
                }
            }
        };
        tokio::time::timeout(limit, reached)
            .await
            .map_err(|_| FleetError::Timeout {
                awaited: awaited.into(),
                limit_s: limit.as_secs(),
            })
    }
}
