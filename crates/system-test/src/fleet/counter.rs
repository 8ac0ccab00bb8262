//! The counter service of a run.

use super::{end_of, Fleet, READY};
use crate::generated_config::{lay, write_whole};
use crate::process::Process;
use rustix::process::Signal;
use serde_json::json;
use std::time::{Duration, Instant};

impl Fleet {
    /// A caller's secret.
    pub fn counter_secret(&self, gateway: u16) -> String {
        format!("counter secret of {gateway} in run {}", self.seed)
    }

    pub(super) fn write_counter(&self) -> Result<(), String> {
        let Some(counter) = &self.scenario.counter else { return Ok(()) };
        let keys = self.dir.join("keys");
        std::fs::create_dir_all(&keys).map_err(|e| format!("{}: {e}", keys.display()))?;
        let gateways = 0..self.doors.len() as u16;
        let adders = (0..counter.adders as u16).map(|k| frostgauge_test_servers::adders::FIRST + k);
        for number in gateways.chain(adders) {
            write_whole(&keys.join(format!("{number}.key")), &self.counter_secret(number), true)?;
        }
        Ok(())
    }

    /// Starts the counter; `anew`: with nothing.
    ///
    /// # Errors
    /// It does not start.
    pub fn start_counter(&self, anew: bool) -> Result<(), String> {
        let Some(counter) = &self.scenario.counter else { return Err("there is no counter".into()) };
        let mut s = self.state();
        if anew {
            let folder = self.dir.join(format!("counter-{}", s.counter_folders.len()));
            s.counter_folders.push(folder);
        }
        let data = s.counter_folders.last().ok_or("no folder")?.display().to_string();
        let mut settings = json!({
            "listen": self.counter[0].to_string(), "admin": self.counter[1].to_string(),
            // The whole log is kept, to be counted anew after the run.
            "data": data, "keys": "keys", "limits": { "keep_log": true },
        });
        lay(&counter.settings, &mut settings);
        let path = self.dir.join("counter.jsonnet");
        write_whole(&path, &format!("{settings:#}"), false)?;
        let log = self.dir.join("counter.log");
        let args = ["counter-daemon", "--config", &path.display().to_string()];
        s.counter = Some(Process::start(&self.program, "counter", &args, &log)?);
        drop(s);
        let end = Instant::now() + READY;
        while std::net::TcpStream::connect_timeout(&self.counter[0], Duration::from_secs(1)).is_err() {
            let ended = self.state().counter.as_mut().and_then(Process::ended);
            if ended.is_some() || Instant::now() > end {
                return Err(format!("counter: {}", std::fs::read_to_string(&log).unwrap_or_default()));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }

    /// Kills the counter.
    pub fn kill_counter(&self) {
        let process = self.state().counter.take();
        if let Some(mut process) = process {
            process.kill();
        }
    }

    /// Signals the counter.
    pub fn signal_counter(&self, signal: Signal) {
        if let Some(process) = &self.state().counter {
            process.signal(signal);
        }
    }

    /// Tells the counter to end, and waits for it.
    pub fn end_counter(&self) {
        let Some(mut process) = self.state().counter.take() else { return };
        process.signal(Signal::CONT);
        process.signal(Signal::TERM);
        let code = end_of(&mut process);
        if code != Some(0) {
            self.state().facts.unclean.push(format!("counter: {code:?}"));
        }
    }
}
