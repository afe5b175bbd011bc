//! What was sent, answered and run, in the order in which it happened.

use std::{
    fs,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.start.elapsed().as_secs_f64(), text.as_ref());
        self.lines.lock().expect("no holder fails").push(line);
    }

    /// Seconds from the start of the case to a moment.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.duration_since(self.start).as_secs_f64()
    }

    pub fn write(&self, path: &str) {
        let text = self.lines.lock().expect("no holder fails").join("\n") + "\n";
        if let Err(error) = fs::write(path, text) {
            eprintln!("writing {path}: {error}");
        }
    }
}
