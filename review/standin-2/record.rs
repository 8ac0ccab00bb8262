//! The record of a run: one line for each thing that was sent, answered or run, with the time since the start in ms.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// How a case ended.
pub enum Verdict {
    /// The rule held.
    Kept(String),
    /// The rule was broken.
    Broken(String),
    /// The case could not run.
    NotRun(String),
}

/// A record that all stand-ins of a case write to.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("the record cannot be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) }
    }

    /// Time since the start, ms.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    /// Writes a line for what happens now.
    pub fn note(&self, text: &str) {
        self.note_at(self.now(), text);
    }

    /// Writes a line for what happened at a time, ms.
    pub fn note_at(&self, at: f64, text: &str) {
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{at:10.1} {text}");
        let _ = file.flush();
    }
}
