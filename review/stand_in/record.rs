//! What was sent, answered and run, with the time since the start in milliseconds.

use std::{
    fs::File,
    io::Write,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("a writable folder for the record");
        Record { start: Instant::now(), file: Mutex::new(file) }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:9.1} ms  {}", self.now().as_secs_f64() * 1e3, text.as_ref());
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{line}").expect("a writable record");
    }
}
