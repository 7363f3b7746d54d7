//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Record of a run; all clones write into the same file.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            started_at: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(file))),
        }
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{:9.3} {text}", self.now().as_secs_f64());
    }

    /// Writes one line, also to standard output.
    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.now().as_secs_f64());
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().expect("no writer panics").flush();
    }
}
