//! Non-blocking log of the process in JSON lines.

use std::{
    io::Write,
    time::Duration, //
};

use tokio::time::interval;
use tracing_appender::non_blocking::{
    ErrorCounter,
    NonBlockingBuilder,
    WorkerGuard, //
};
use tracing_subscriber::EnvFilter;

/// Maximum number of buffered log lines, about one second of them under full load; further lines are
/// dropped and counted.
pub const BUFFERED_LINES_MAX: usize = 4096;
/// Interval at which dropped lines are reported.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Handle of the running log; dropping it flushes the buffered lines.
#[derive(Debug)]
pub struct Log {
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl Log {
    /// Starts the log of the process with a buffer of at most `lines_max` lines.
    ///
    /// # Panics
    ///
    /// Panics if the process already has a global subscriber.
    pub fn start(filter: EnvFilter, output: impl Write + Send + 'static, lines_max: usize) -> Self {
        let builder = NonBlockingBuilder::default().lossy(true);
        let (writer, guard) = builder.buffered_lines_limit(lines_max).finish(output);
        let dropped = writer.error_counter();
        tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_env_filter(filter)
            .with_writer(writer)
            .init();
        Self {
            dropped,
            _writer: guard,
        }
    }

    /// Returns the counter of dropped lines.
    pub fn dropped(&self) -> DroppedLines {
        DroppedLines {
            counter: self.dropped.clone(),
            reported: 0,
        }
    }
}

/// Reports how many lines were dropped from the log.
#[derive(Debug)]
pub struct DroppedLines {
    counter: ErrorCounter,
    reported: usize,
}

impl DroppedLines {
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
        let total = self.counter.dropped_lines();
        let lines = total - self.reported;
        if lines == 0 {
            return;
        }
        self.reported = total;
        metrics::counter!("limpet_log_lines_dropped_total").increment(lines as u64);
        tracing::warn!(lines, total, "log lines dropped");
    }
}
