//! Ledgers: one JSON object a line, written at once, so that a killed process leaves all it saw.

use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;

/// What a node notes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum What {
    /// It started.
    Start,
    /// A request came whole.
    Recv,
    /// Its effect took place.
    Ran,
    /// A repeat of a key was dropped.
    Repeat,
    /// It fell over: it was cold and got too much.
    Fell,
    /// A connection was taken; `request` says from where.
    Open,
    /// It is closed from here on.
    Shut,
    /// It is the script's own.
    Control,
}

/// A line of a node's ledger.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Line {
    /// When, microseconds since 1970.
    pub t: u64,
    /// What.
    pub what: What,
    /// The gateway's number for the request: gateway, its start, the request's number.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub request: String,
    /// The attempt.
    #[serde(default)]
    pub attempt: u32,
    /// The insurer, as the gateway named it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub insurer: String,
    /// The class.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub class: String,
    /// The client's name for what it wants done, the same in all its tries.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub op: String,
    /// Units drawn.
    #[serde(default)]
    pub units: f64,
    /// The rules that it went under, as the gateway stamped it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub rules: String,
}

/// Appends to a ledger.
#[derive(Debug)]
pub struct Ledger(Mutex<File>);

impl Ledger {
    /// Opens one, keeping what is there.
    ///
    /// # Errors
    /// The file cannot be opened.
    pub fn open(path: &Path) -> io::Result<Ledger> {
        Ok(Ledger(Mutex::new(OpenOptions::new().create(true).append(true).open(path)?)))
    }

    /// Appends a line in one write.
    pub fn note(&self, line: &impl Serialize) {
        if let (Ok(mut text), Ok(mut file)) = (serde_json::to_vec(line), self.0.lock()) {
            text.push(b'\n');
            let _ = file.write_all(&text);
        }
    }
}

/// Reads a ledger; a last line cut short by a kill is left out.
///
/// # Errors
/// The file cannot be read, or a line before the last is damaged.
pub fn read<T: serde::de::DeserializeOwned>(path: &Path) -> io::Result<Vec<T>> {
    let text = std::fs::read_to_string(path)?;
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    whole.lines().map(|l| serde_json::from_str(l).map_err(io::Error::from)).collect()
}
