//! A modelled claims node: cores, a queue, a cold start that can be pushed over.

use crate::Micros;
use std::collections::VecDeque;

/// A request at a node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub gateway: usize,
    pub call_id: u64,
    pub attempt: u32,
    /// The sending gateway had been told of this node's start.
    pub knew: bool,
}

/// How a node is made.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Make {
    pub cores: usize,
    pub queue: usize,
    pub work_ms: f64,
    pub cold: (Micros, f64),
    pub fall_multiple: f64,
    pub fall: Micros,
}

/// What a node does with a request that comes.
pub(crate) enum Taken {
    /// It runs now.
    Runs,
    /// It waits.
    Waits,
    /// It is turned away, with the proof.
    Full,
    /// Nobody is there.
    Dead,
    /// It pushed the node over: whatever it held is lost with it.
    Fell(Vec<Job>),
}

#[derive(Debug)]
pub(crate) struct Node {
    pub zone: u32,
    pub make: Make,
    pub alive: bool,
    /// Its start; 0: warm since long ago.
    pub started: Micros,
    /// It takes this many times as long.
    pub slow: f64,
    /// Raised at each start, so that ends of an earlier incarnation are known.
    pub incarnation: u32,
    pub running: Vec<Job>,
    pub waiting: VecDeque<Job>,
    window: VecDeque<(Micros, bool)>,
    /// It fell over, and stays down.
    pub fell: bool,
    /// Most of what pushed it over was sent by those who knew of its start.
    pub knew: bool,
}

impl Node {
    pub fn new(zone: u32, make: Make) -> Node {
        Node {
            zone,
            make,
            alive: true,
            started: 0,
            slow: 1.0,
            incarnation: 0,
            running: vec![],
            waiting: VecDeque::new(),
            window: VecDeque::new(),
            fell: false,
            knew: false,
        }
    }

    /// Share of its capacity that is there.
    pub fn ramp(&self, now: Micros) -> f64 {
        if self.started == 0 {
            return 1.0;
        }
        let up = now.saturating_sub(self.started) as f64 / self.make.cold.0.max(1) as f64;
        (self.make.cold.1 + (1.0 - self.make.cold.1) * up).min(1.0)
    }

    /// It dies; what it held is lost.
    pub fn die(&mut self) -> Vec<Job> {
        self.alive = false;
        self.incarnation += 1;
        let mut held = std::mem::take(&mut self.running);
        held.extend(self.waiting.drain(..));
        held
    }

    /// It starts, cold.
    pub fn start(&mut self, now: Micros) {
        self.alive = true;
        self.started = now;
        self.incarnation += 1;
        self.window.clear();
    }

    pub fn take(&mut self, now: Micros, job: Job) -> Taken {
        if !self.alive {
            return Taken::Dead;
        }
        let ramp = self.ramp(now);
        if ramp < 1.0 {
            self.window.push_back((now, job.knew));
            while self.window.front().is_some_and(|w| w.0 + self.make.fall < now) {
                self.window.pop_front();
            }
            let able = self.make.cores as f64 * ramp * self.make.fall as f64 / 1e3 / self.make.work_ms;
            // A little slack for chance, as the rule has it.
            if self.window.len() as f64 > self.make.fall_multiple * able + 3.0 {
                let knew = self.window.iter().filter(|w| w.1).count();
                self.fell = true;
                self.knew = knew * 3 >= self.window.len() * 2;
                return Taken::Fell(self.die());
            }
        }
        if self.running.len() < self.make.cores {
            self.running.push(job);
            return Taken::Runs;
        }
        if self.waiting.len() >= self.make.queue {
            return Taken::Full;
        }
        self.waiting.push_back(job);
        Taken::Waits
    }

    /// A request is done; the next in the queue, if any, runs now.
    pub fn done(&mut self, job: Job) -> Option<Job> {
        self.running.retain(|j| (j.gateway, j.call_id, j.attempt) != (job.gateway, job.call_id, job.attempt));
        let next = self.waiting.pop_front()?;
        self.running.push(next);
        Some(next)
    }
}
