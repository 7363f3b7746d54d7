//! Recorder of the history of a fleet.

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
    history::HistoryRecord, //
};

/// Collects the records of a history, and lets tests wait for new ones.
#[derive(Clone, Debug)]
pub struct HistoryRecorder {
    records: Arc<Mutex<Vec<HistoryRecord>>>,
    record_count: Arc<watch::Sender<u64>>,
}

impl HistoryRecorder {
    pub(super) fn new() -> Self {
        Self {
            records: Arc::default(),
            record_count: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Returns the current time in microseconds since boot, as the records contain it.
    pub fn now_us() -> u64 {
        BootClock::new().now().as_micros() as u64
    }

    /// Adds a record.
    pub fn add(&self, record: HistoryRecord) {
        self.lock().push(record);
        self.record_count.send_modify(|count| *count += 1);
    }

    /// Locks the records and returns those so far.
    pub fn lock(&self) -> MutexGuard<'_, Vec<HistoryRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until `count` new records match; `awaited` describes these records in the error.
    ///
    /// # Errors
    ///
    /// Fails when fewer match within the timeout.
    pub async fn wait_for(
        &self,
        awaited: &str,
        count: usize,
        timeout: Duration,
        is_match: impl Fn(&HistoryRecord) -> bool,
    ) -> Result<(), FleetError> {
        let mut record_count = self.record_count.subscribe();
        let first_new_index = self.lock().len();
        let matched = async {
            while self.lock()[first_new_index..]
                .iter()
                .filter(|record| is_match(record))
                .count()
                < count
            {
                if record_count.changed().await.is_err() {
                    return;
                }
            }
        };
        tokio::time::timeout(timeout, matched)
            .await
            .map_err(|_| FleetError::Timeout {
                awaited: awaited.into(),
                limit_s: timeout.as_secs(),
            })
    }
}
