//! Faults of a scenario, and what follows from them.

use crate::scenario::Fault;
use crate::simulation::{Event, Simulation, ONE_WAY_DELAY};
use crate::Micros;
use frostgauge::Status;
use rand::RngExt;
use std::rc::Rc;

impl Simulation<'_> {
    /// Every gateway learns the list as it is now, each after a time of its own.
    pub(crate) fn publish(&mut self) {
        self.version += 1;
        let entries = Rc::new(self.entries());
        for k in 0..self.gateways.len() {
            let late = self.script.random_range(0..self.day.lag);
            self.at(self.now + late, Event::List(k, self.version, entries.clone()));
        }
    }

    pub(crate) fn fault(&mut self, fault: Fault) -> Result<(), String> {
        self.note(7);
        match fault {
            Fault::Dark { zone, len } => self.kill(zone, len, 1),
            Fault::Half { zone, len } => self.kill(zone, len, 2),
            Fault::Cut { from, to, len } => {
                self.cuts.push((from, to));
                self.at(self.now + len, Event::Uncut(from, to));
            }
            Fault::Slow { zone, times, len } => {
                self.nodes.iter_mut().filter(|n| n.zone == zone).for_each(|n| n.slow = times);
                self.at(self.now + len, Event::Unslow(zone));
            }
            Fault::CounterDown { silent, len } => {
                self.counter_down(Some(silent));
                self.at(self.now + len, Event::CounterDown(None));
            }
            Fault::Restart { part } => {
                for k in 0..self.gateways.len() {
                    if self.script.random::<f64>() < part {
                        // Its clients are on their own; what is at nodes runs on.
                        let incarnation = self.gateways[k].incarnation + 1;
                        self.gateways[k] = self.gateway(k, incarnation)?;
                        self.settle(k, vec![]);
                    }
                }
            }
            Fault::Skew { part } => {
                let n = self.gateways.len();
                let some = ((n as f64 * part) as usize).max(1);
                self.busy = (0..some).map(|_| self.script.random_range(0..n)).collect();
            }
        }
        Ok(())
    }

    /// Kills every `nth` living node of a zone.
    pub(crate) fn kill(&mut self, zone: u32, len: Micros, nth: usize) {
        let some: Vec<usize> = (0..self.nodes.len())
            .filter(|k| self.nodes[*k].zone == zone && self.nodes[*k].alive)
            .step_by(nth)
            .collect();
        for k in &some {
            for job in self.nodes[*k].die() {
                self.ended(*k, job, Status::Reset, ONE_WAY_DELAY);
            }
        }
        self.publish();
        self.at(self.now + len, Event::Back(some));
    }
}
