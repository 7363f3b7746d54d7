//! Recorder that counts the use of metrics.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex, //
    },
};

use metrics::{
    Counter, CounterFn, Gauge, GaugeFn, Histogram, Key, KeyName, Metadata, Recorder, SharedString,
    Unit,
};

/// Counts by the name of the metric.
type Counts = Arc<Mutex<HashMap<String, usize>>>;

/// Counts how often each metric is changed, and how often its handle is looked up.
#[derive(Clone, Default)]
pub(crate) struct CountingRecorder {
    changes: Counts,
    lookups: Counts,
}

/// Handle of one metric.
struct CountedMetric {
    name: String,
    changes: Counts,
}

impl CountedMetric {
    fn add(&self) {
        add(&self.changes, &self.name);
    }
}

impl CounterFn for CountedMetric {
    fn increment(&self, _: u64) {
        self.add();
    }

    fn absolute(&self, _: u64) {
        self.add();
    }
}

impl GaugeFn for CountedMetric {
    fn increment(&self, _: f64) {
        self.add();
    }

    fn decrement(&self, _: f64) {
        self.add();
    }

    fn set(&self, _: f64) {
        self.add();
    }
}

impl CountingRecorder {
    /// Returns the handle of a metric.
    fn metric(&self, key: &Key) -> Arc<CountedMetric> {
        add(&self.lookups, key.name());
        Arc::new(CountedMetric {
            name: key.name().into(),
            changes: Arc::clone(&self.changes),
        })
    }

    /// Returns how often metrics of this name were changed.
    pub(crate) fn changes(&self, name: &str) -> usize {
        count(&self.changes, name)
    }

    /// Returns how often handles of metrics of this name were looked up.
    pub(crate) fn lookups(&self, name: &str) -> usize {
        count(&self.lookups, name)
    }
}

impl Recorder for CountingRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        Counter::from_arc(self.metric(key))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::from_arc(self.metric(key))
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}

fn add(counts: &Counts, name: &str) {
    *counts.lock().unwrap().entry(name.into()).or_default() += 1;
}

fn count(counts: &Counts, name: &str) -> usize {
    let counts = counts.lock().unwrap();
    counts.get(name).copied().unwrap_or_default()
}
