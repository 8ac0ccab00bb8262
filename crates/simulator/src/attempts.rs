//! Attempts: on their way, at servers, and their ends.

use crate::server::{Job, Taken};
use crate::simulation::{Event, Simulation, CONNECT_TIMEOUT, ONE_WAY_DELAY, S, ZONES};
use crate::Micros;
use frostgauge::{ServerId, Status};
use frostgauge_gateway::core::{AttemptEnd, Input};
use rand::RngExt;

impl Simulation<'_> {
    pub(crate) fn send(&mut self, k: usize, call_id: u64, attempt: u32, server: ServerId, timeout: Micros) {
        let (from, node) = (k as u32 % ZONES, self.ids[&server]);
        let to = self.nodes[node].zone;
        self.note(node as u64 + 11);
        if from != to {
            let window = self.spills.entry((from, to)).or_default();
            window.push_back(self.now);
            while window.front().is_some_and(|t| *t + S <= self.now) {
                window.pop_front();
            }
            self.outcome.spill = self.outcome.spill.max(window.len() as f64 / self.day.limit);
        }
        let gateway = &mut self.gateways[k];
        gateway.out.insert((call_id, attempt), (node, self.now));
        let knew = gateway.starts[node] == self.nodes[node].started;
        let incarnation = gateway.incarnation;
        let job = Job { gateway: k, call_id, attempt, knew };
        if self.cuts.contains(&(from, to)) {
            return self.ended(node, job, Status::ConnectFailed, CONNECT_TIMEOUT);
        }
        self.at(self.now + ONE_WAY_DELAY, Event::AtNode(node, job));
        self.at(self.now + timeout, Event::Late(k, incarnation, call_id, attempt));
    }

    pub(crate) fn at_node(&mut self, node: usize, job: Job) {
        match self.nodes[node].take(self.now, job) {
            Taken::Runs => self.begin(node, job),
            Taken::Waits => {}
            Taken::Full => self.ended(node, job, Status::Rejected, ONE_WAY_DELAY),
            Taken::Dead => self.ended(node, job, Status::ConnectFailed, ONE_WAY_DELAY),
            Taken::Fell(held) => {
                let knew = self.nodes[node].knew;
                self.outcome.fell += u32::from(knew);
                self.outcome.fell_unknown += u32::from(!knew);
                self.ended(node, job, Status::Reset, ONE_WAY_DELAY);
                for job in held {
                    self.ended(node, job, Status::Reset, ONE_WAY_DELAY);
                }
                self.publish();
            }
        }
    }

    pub(crate) fn begin(&mut self, node: usize, job: Job) {
        let n = &self.nodes[node];
        let work = n.make.work_ms * (-(1.0 - self.work.random::<f64>()).max(1e-9).ln()).min(5.0);
        let span = work * n.slow / n.ramp(self.now) * 1e3;
        let incarnation = n.incarnation;
        self.at(self.now + span as Micros, Event::Done(node, incarnation, job));
    }

    /// An attempt's end is on its way to its gateway.
    pub(crate) fn ended(&mut self, node: usize, job: Job, status: Status, after: Micros) {
        let Job { gateway, call_id, attempt, .. } = job;
        let Some((_, sent)) = self.gateways[gateway].out.get(&(call_id, attempt)).copied() else { return };
        let server = self.base.nodes[node].entry.server;
        let held = (self.nodes[node].running.len() + self.nodes[node].waiting.len()) as f64;
        let busy = self.nodes[node].running.len() as f64 / self.nodes[node].make.cores as f64;
        let load = frostgauge::Load { inflight: Some(held), util: Some(busy), ..frostgauge::Load::default() };
        let load = Some(load).filter(|_| status == Status::Ok);
        let took = self.now + after - sent;
        let (used, incarnation) = (None, self.gateways[gateway].incarnation);
        let end = AttemptEnd { call_id, attempt, server, status, elapsed: took, usage: used, load };
        self.at(self.now + after, Event::Input(gateway, incarnation, Input::AttemptEnded(end)));
    }

    /// Books the end of an attempt; one that has ended already brings nothing more.
    pub(crate) fn still_out(&mut self, k: usize, input: &Input) -> bool {
        match input {
            Input::AttemptEnded(end) => self.gateways[k].out.remove(&(end.call_id, end.attempt)).is_some(),
            _ => true,
        }
    }

    /// An attempt ends at the gateway itself: by its time-out, or called off.
    pub(crate) fn end(&mut self, k: usize, call_id: u64, attempt: u32, status: Status) {
        let Some((node, sent)) = self.gateways[k].out.remove(&(call_id, attempt)) else { return };
        let server = self.base.nodes[node].entry.server;
        let elapsed = self.now - sent;
        let end = AttemptEnd { call_id, attempt, server, status, elapsed, usage: None, load: None };
        self.input(k, Input::AttemptEnded(end));
    }
}
