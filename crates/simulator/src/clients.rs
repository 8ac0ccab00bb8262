//! Clients: their requests, quotas and answers.

use crate::simulation::{Event, Simulation, CLIENT_TIMEOUT, START, TENANTS};
use crate::Micros;
use frostgauge_gateway::core::{CallMetadata, Input};
use rand::{Rng, RngExt};

impl Simulation<'_> {
    pub(crate) fn arrive(&mut self) {
        let over = self.now >= START + self.day.length;
        let per_s = if over { self.day.per_s * 0.1 } else { self.day.per_s };
        let gap = -(1.0 - self.arrivals.random::<f64>()).max(1e-12).ln() / per_s * 1e6;
        self.at(self.now + gap as Micros, Event::Arrive);
        let n = self.gateways.len();
        let k = match self.busy.len() {
            0 => self.arrivals.random_range(0..n),
            m => self.busy[self.arrivals.random_range(0..m)],
        };
        self.next_call_id += 1;
        let draw = self.arrivals.next_u64();
        let ask = CallMetadata {
            call_id: self.next_call_id,
            token: [(draw % TENANTS) as u8; 16],
            class: (draw >> 32) as usize % 2,
            units: 1.0,
            scope: "".into(),
            arrived: self.now,
            timeout: CLIENT_TIMEOUT,
            is_retry: false,
        };
        self.outcome.asked += 1;
        self.asking.insert(ask.call_id, (draw % TENANTS) as usize);
        self.gateways[k].open.insert(ask.call_id, self.now + CLIENT_TIMEOUT);
        self.input(k, Input::Call(ask));
    }

    /// A request goes on for the first time, or is refused for its quota: see [`Outcome::quota`].
    pub(crate) fn draw(&mut self, call_id: u64, went: bool) {
        let Some(tenant) = self.asking.remove(&call_id) else { return };
        let ([rate, burst], stores) = (self.day.quota, &mut self.stores[tenant]);
        let more = (self.now - stores.at) as f64 / 1e6 * rate;
        stores.real = (stores.real + more).min(burst);
        stores.ideal = (stores.ideal + more).min(burst);
        stores.at = self.now;
        let quota = &mut self.outcome.quota;
        if stores.ideal >= 1.0 {
            stores.ideal -= 1.0;
            quota[2] += 1.0;
        }
        if went {
            quota[0] += 1.0;
            if stores.real >= 1.0 {
                stores.real -= 1.0;
                quota[1] += 1.0;
            }
        }
    }

    pub(crate) fn answered(&mut self, k: usize, call_id: u64) {
        self.note(call_id);
        let due = self.gateways[k].open.remove(&call_id);
        self.outcome.answers_wrong += u64::from(due.is_none_or(|due| self.now > due));
    }
}
