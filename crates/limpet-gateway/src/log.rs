//! Non-blocking log of the process in JSON lines.

use std::{
    io::Write,
    sync::mpsc,
    thread,
    time::Duration, //
};

use tokio::time::interval;
use tracing_appender::non_blocking::{
    ErrorCounter,
    NonBlockingBuilder,
    WorkerGuard, //
};
use tracing_subscriber::EnvFilter;

/// Maximum number of buffered log lines: about one second of logging under full load. Further lines are
/// dropped and counted.
pub const BUFFERED_LINES_MAX: usize = 4096;
/// Interval between two reports of dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Handle of the running log. [`Log::flush_within`] ends it; dropping it also writes the buffered lines, but waits for the
/// output.
#[derive(Debug)]
pub struct Log {
    drop_counter: ErrorCounter,
    /// Flushes the buffered lines on drop.
    _flush_guard: WorkerGuard,
}

impl Log {
    /// Starts the log of the process with a buffer of at most `lines_max` lines.
    ///
    /// # Panics
    ///
    /// Panics if the process already has a global subscriber.
    pub fn start(filter: EnvFilter, output: impl Write + Send + 'static, lines_max: usize) -> Self {
        let builder = NonBlockingBuilder::default().lossy(true);
        let (writer, flush_guard) = builder.buffered_lines_limit(lines_max).finish(output);
        let drop_counter = writer.error_counter();
        tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_env_filter(filter)
            .with_writer(writer)
            .init();
        Self {
            drop_counter,
            _flush_guard: flush_guard,
        }
    }

    /// Writes the buffered lines and ends the log; lines that are not written within `limit` are lost.
    ///
    /// Dropping the log instead waits for a second if the output blocks, and without end if the buffer is full as well.
    pub fn flush_within(self, limit: Duration) {
        let (done_sender, done_receiver) = mpsc::channel();
        // Not joined: it may be blocked by the output until the process ends.
        let spawned = thread::Builder::new().spawn(move || {
            drop(self);
            // Sending fails only if the limit is over.
            let _ = done_sender.send(());
        });
        if spawned.is_ok() {
            // An error means that the limit is over.
            let _ = done_receiver.recv_timeout(limit);
        }
    }

    /// Returns a reporter of the lines that this log drops.
    pub fn dropped_lines_reporter(&self) -> DroppedLinesReporter {
        DroppedLinesReporter {
            drop_counter: self.drop_counter.clone(),
            reported_total: 0,
        }
    }
}

/// Reports how many lines the log dropped because its buffer was full.
#[derive(Debug)]
pub struct DroppedLinesReporter {
    drop_counter: ErrorCounter,
    /// Number of dropped lines up to the last report.
    reported_total: usize,
}

impl DroppedLinesReporter {
    /// Reports dropped lines at a fixed interval until the future is dropped.
    pub async fn run(mut self) {
        let mut ticks = interval(REPORT_INTERVAL);
        loop {
            ticks.tick().await;
            self.report();
        }
    }

    /// Logs and counts the lines that were dropped since the last report.
    ///
    /// The report itself may be dropped too; the total of a later report then includes its lines.
    pub fn report(&mut self) {
        let total = self.drop_counter.dropped_lines();
        let lines = total - self.reported_total;
        if lines == 0 {
            return;
        }
        self.reported_total = total;
        metrics::counter!("limpet_log_lines_dropped_total").increment(lines as u64);
        tracing::warn!(lines, total, "log lines dropped");
    }
}
