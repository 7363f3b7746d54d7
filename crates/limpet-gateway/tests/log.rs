//! Log whose output is slower than the lines that it gets.

use std::{
    io::Write,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use limpet_gateway::log::Log;
use tracing_subscriber::EnvFilter;

/// Writer that blocks while the test holds its lock.
#[derive(Clone, Default)]
struct BlockingWriter(Arc<Mutex<Vec<u8>>>);

impl BlockingWriter {
    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.0.lock().unwrap()
    }
}

impl Write for BlockingWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.lock().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against logging that blocks requests, and against dropped lines that are not reported.
#[test]
fn lines_beyond_the_limit_are_dropped_and_counted() {
    const LINES_MAX: usize = 8;
    const LINE_COUNT: usize = 100;
    let output = BlockingWriter::default();
    let log = Log::start(EnvFilter::new("info"), output.clone(), LINES_MAX);
    let mut reporter = log.dropped_lines_reporter();
    {
        let _blocks_writer = output.lock();
        let started = Instant::now();
        for line in 0..LINE_COUNT {
            tracing::info!(line, "busy");
        }
        assert!(
            started.elapsed() < Duration::from_secs(1),
            "logging blocked the test"
        );
    }
    // The buffered lines must be written before the report, or the report is dropped too.
    let deadline = Instant::now() + Duration::from_secs(5);
    while output.lock().iter().filter(|byte| **byte == b'\n').count() < LINES_MAX {
        assert!(
            Instant::now() < deadline,
            "the buffered lines were not written"
        );
    }
    reporter.report();
    reporter.report();
    drop(log);
    let text = String::from_utf8(output.lock().clone()).unwrap();
    let written_count = text.lines().filter(|line| line.contains("busy")).count();
    let reports: Vec<&str> = text
        .lines()
        .filter(|line| line.contains("log lines dropped"))
        .collect();
    assert_eq!(reports.len(), 1, "{text}");
    let dropped_count = LINE_COUNT - written_count;
    assert!(dropped_count > 0);
    assert!(
        reports[0].contains(&format!("\"lines\":{dropped_count},")),
        "{}",
        reports[0]
    );
}
