//! Links between the gateways: they delay, lose, duplicate and reorder messages.

use crate::event_queue::Event;
use frostgauge_consensus::{GatewayId, Micros};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// How all links behave at present.
#[derive(Clone, Debug)]
pub struct LinkConditions {
    /// Messages lost, of a thousand.
    pub loss: u32,
    /// Messages duplicated, of a thousand.
    pub doubled: u32,
    /// Shortest and longest time that a message takes, microseconds.
    pub delay: (Micros, Micros),
}

impl LinkConditions {
    /// Nothing is lost or duplicated, and messages take up to 5 ms.
    pub fn good() -> LinkConditions {
        LinkConditions { loss: 0, doubled: 0, delay: (500, 5_000) }
    }
}

/// The links, and the messages that were given to them.
pub(crate) struct Network {
    pub(crate) cut_links: BTreeSet<(GatewayId, GatewayId)>,
    pub(crate) conditions: LinkConditions,
    /// When the last message of a link arrives: while none are duplicated, none overtakes another, as on a connection.
    last_arrival: BTreeMap<(GatewayId, GatewayId), Micros>,
    /// Messages to a gateway take so much longer.
    pub(crate) extra_delay: BTreeMap<GatewayId, Micros>,
    pub(crate) rng: ChaCha8Rng,
    /// What the process that runs now has sent.
    pub(crate) outbox: Vec<(GatewayId, Vec<u8>)>,
    pub(crate) bytes_sent: u64,
    pub(crate) messages_sent: u64,
}

impl Network {
    pub(crate) fn new(seed: u64) -> Network {
        Network {
            cut_links: BTreeSet::new(),
            conditions: LinkConditions::good(),
            last_arrival: BTreeMap::new(),
            extra_delay: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            outbox: vec![],
            bytes_sent: 0,
            messages_sent: 0,
        }
    }

    /// Takes what a gateway has sent: the arrivals, with their times.
    pub(crate) fn take_arrivals(&mut self, now: Micros, from: GatewayId) -> Vec<(Micros, Event)> {
        let mut arrivals = vec![];
        for (to, bytes) in std::mem::take(&mut self.outbox) {
            self.messages_sent += 1;
            self.bytes_sent += bytes.len() as u64;
            let is_cut = self.cut_links.contains(&(from, to));
            if is_cut || self.rng.random_range(0..1_000) < self.conditions.loss {
                continue;
            }
            let is_duplicated = self.rng.random_range(0..1_000) < self.conditions.doubled;
            for _ in 0..=usize::from(is_duplicated) {
                let at = self.arrival_time(now, from, to);
                arrivals.push((at, Event::Message { from, to, bytes: bytes.clone() }));
            }
        }
        arrivals
    }

    fn arrival_time(&mut self, now: Micros, from: GatewayId, to: GatewayId) -> Micros {
        let extra = self.extra_delay.get(&to).copied().unwrap_or(0);
        let (min_delay, max_delay) = self.conditions.delay;
        let at = now + extra + self.rng.random_range(min_delay..=max_delay);
        if self.conditions.doubled > 0 {
            return at;
        }
        let last = self.last_arrival.entry((from, to)).or_default();
        *last = at.max(*last);
        *last
    }
}
