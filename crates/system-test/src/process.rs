//! Child processes: started, watched, signalled by their id, ended with the run.

use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// A child. Dropping it kills it.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// What it is, for messages.
    pub name: String,
}

impl Process {
    /// Starts a program of ours in a role; its standard error goes to a file.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start(program: &Path, name: &str, args: &[&str], log: &Path) -> Result<Process, String> {
        let fail = |e: std::io::Error| format!("{name}: {e}");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).map_err(fail)?;
        let child = Command::new(program)
            .args(args)
            // What gateways are told by the counter is part of what is checked.
            .env("FROSTGAUGE_LOG", "info,frostgauge_counter_calls=debug")
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(fail)?;
        Ok(Process { child, name: name.to_owned() })
    }

    /// The address that a stand-in prints once it listens.
    ///
    /// # Errors
    /// It ended first, or printed something else.
    pub fn address(&mut self) -> Result<SocketAddr, String> {
        self.addresses(1).map(|all| all[0])
    }

    /// The addresses, one a line, that it prints.
    ///
    /// # Errors
    /// It ended first, or printed something else.
    pub fn addresses(&mut self, n: usize) -> Result<Vec<SocketAddr>, String> {
        let out = self.child.stdout.take().ok_or("no standard output")?;
        let mut lines = BufReader::new(out).lines();
        let read = |_| {
            let line = lines.next().and_then(Result::ok).unwrap_or_default();
            line.trim().parse().map_err(|_| format!("{}: did not start ({line:?})", self.name))
        };
        (0..n).map(read).collect()
    }

    /// Its id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Signals it.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Its exit code, once it has ended; -1 if a signal ended it.
    pub fn ended(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
