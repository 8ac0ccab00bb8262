//! Gateways of a run: start, signals, reload, end.

use super::{end_of, Fleet, READY};
use crate::event_log::Span;
use crate::generated_config::write_whole;
use crate::process::Process;
use frostgauge_test_servers::now;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

impl Fleet {
    /// Starts a gateway's process.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start_gateway(&self, k: usize) -> Result<(), String> {
        let config = self.settings_path(k).display().to_string();
        let name = format!("gateway-{k}");
        let log = self.dir.join(format!("{name}.log"));
        let process = Process::start(&self.program, &name, &["daemon", "--config", &config], &log)?;
        self.state().gateways[k].process = Some(process);
        self.note_told(k);
        Ok(())
    }

    /// Waits until a gateway takes clients.
    ///
    /// # Errors
    /// It ended, or is not ready in time.
    pub fn wait_ready(&self, k: usize) -> Result<(), String> {
        let end = Instant::now() + READY;
        loop {
            if std::net::TcpStream::connect_timeout(&self.doors[k], Duration::from_secs(1)).is_ok() {
                return Ok(());
            }
            let ended = self.state().gateways[k].process.as_mut().and_then(Process::ended);
            if let Some(code) = ended {
                let log =
                    std::fs::read_to_string(self.dir.join(format!("gateway-{k}.log"))).unwrap_or_default();
                return Err(format!("gateway-{k} ended with code {code}:\n{log}"));
            }
            if Instant::now() > end {
                return Err(format!("gateway-{k} is not ready"));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Kills a gateway's process.
    pub fn kill_gateway(&self, k: usize) {
        let mut s = self.state();
        let (from, to) = (now(), u64::MAX);
        if let Some(mut process) = s.gateways[k].process.take() {
            s.facts.killed.push(Span { gateway: k, from, to });
            drop(s);
            process.kill();
        }
    }

    /// Starts a gateway that was killed or has ended, and waits until it is ready.
    ///
    /// # Errors
    /// It does not start.
    pub fn revive_gateway(&self, k: usize) -> Result<(), String> {
        self.start_gateway(k)?;
        self.wait_ready(k)?;
        let (t, mut s) = (now(), self.state());
        let facts = &mut s.facts;
        let open = facts.killed.iter_mut().chain(&mut facts.ending);
        open.filter(|span| span.gateway == k && span.to == u64::MAX).for_each(|span| span.to = t);
        Ok(())
    }

    /// Signals a gateway.
    pub fn signal_gateway(&self, k: usize, signal: Signal) {
        if let Some(process) = &self.state().gateways[k].process {
            process.signal(signal);
        }
    }

    /// Ids of the gateways' processes that run.
    pub fn gateway_ids(&self) -> Vec<u32> {
        self.state().gateways.iter().filter_map(|g| g.process.as_ref().map(Process::id)).collect()
    }

    /// Where staff ask a gateway.
    pub fn admin(&self, k: usize) -> SocketAddr {
        self.state().gateways[k].admin
    }

    /// Tells a gateway to end and waits for it; what it had taken must be answered by then.
    pub fn end_gateway(&self, k: usize) {
        let process = {
            let mut s = self.state();
            let (from, to) = (now(), u64::MAX);
            let process = s.gateways[k].process.take();
            if process.is_some() {
                s.facts.ending.push(Span { gateway: k, from, to });
            }
            process
        };
        let Some(mut process) = process else { return };
        process.signal(Signal::TERM);
        let code = end_of(&mut process);
        if code != Some(0) {
            let code = code.map_or("still running".to_owned(), |c| format!("exit code {c}"));
            self.state().facts.unclean.push(format!("gateway-{k}: {code}"));
        }
    }

    /// Gives a gateway settings that are no good, and then its own file back.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn bad_reload(&self, k: usize) -> Result<(), String> {
        let path = self.settings_path(k);
        let good = std::fs::read_to_string(&path).map_err(|e| e.to_string())?;
        write_whole(&path, &good.replace("\"zones\"", "\"zonez\""), false)?;
        self.signal_gateway(k, Signal::HUP);
        // Time to read it: the good file must not be back before.
        std::thread::sleep(Duration::from_millis(300));
        write_whole(&path, &good, false)
    }
}
