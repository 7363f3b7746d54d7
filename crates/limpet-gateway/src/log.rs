//! Log of the process: JSON lines that never hold up a request.

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

/// Log lines that wait to be written, about a second of them under full load; what comes beyond is
/// dropped and counted.
pub const LINES_MAX: usize = 4096;
/// Time between two looks at the number of dropped lines.
const LOOK_PERIOD: Duration = Duration::from_secs(1);

/// The running log; dropping it writes what waits.
#[derive(Debug)]
pub struct Log {
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl Log {
    /// Starts the log of the whole process, of which at most `lines_max` lines wait to be written.
    ///
    /// # Panics
    ///
    /// The process has a log already.
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

/// Tells how many lines are missing from the log.
#[derive(Debug)]
pub struct DroppedLines {
    counter: ErrorCounter,
    reported: usize,
}

impl DroppedLines {
    /// Reports dropped lines until it is dropped.
    pub async fn run(mut self) {
        let mut looks = interval(LOOK_PERIOD);
        loop {
            looks.tick().await;
            self.report();
        }
    }

    /// Logs and counts the lines that were dropped since the last report.
    ///
    /// That line may be dropped as well; a later one then tells the same in its total.
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
