//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            started: Instant::now(),
            file,
        })
    }

    /// Adds a line with the time since the start of the case.
    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} s  {text}\n", self.started.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Adds a line, and shows it.
    pub fn show(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
