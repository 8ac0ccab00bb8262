//! Gossip: usage updates that gateways send each other.
//!
//! Among few gateways, updates contain every unit that customers use. Among more, these would exceed the rate
//! of messages that gateways accept: only the demand of customers beyond their quota is sent, and the number
//! of updates is limited by that of the requests at this gateway.

use crate::api::{Action, CustomerId, Gate, Micros, Settings};
use crate::customer::{Customer, Customers};
use crate::gateway::Gateway;
use crate::peer_message::{decode, encode, UsageUpdate, MAX_UPDATES, TOTAL_MASK, TOTAL_PER_UNIT};
use crate::quota::{UsageSource, MAX_DEMAND};
use std::collections::{BTreeMap, BTreeSet};

/// A peer without a message for this long may be down or unreachable, µs.
const PEER_TIMEOUT: Micros = 1_500_000;
/// A message is delayed by no more than this, µs.
const MAX_MESSAGE_DELAY: Micros = 10_000_000;
/// Longest time between two messages to peers where every unit is sent, µs.
const HEARTBEAT_INTERVAL: Micros = 500_000;
/// Share that all peers together use of the message rate that a gateway accepts.
const ACCEPTED_RATE_SHARE: f64 = 0.8;
/// Updates to peers that each request at this gateway allows, where only demand is sent.
const UPDATES_PER_REQUEST: f64 = 6.0;
/// Maximum number of allowed updates that are saved up.
const MAX_SAVED_UPDATES: f64 = 400.0;

/// A customer's usage as exchanged with peers.
#[derive(Default)]
pub(crate) struct PeerUsage {
    /// Running total of the units used at this gateway.
    own_units: f64,
    /// Incarnation and running total in the last update of each peer.
    received: BTreeMap<usize, (u32, u32)>,
}

impl PeerUsage {
    /// Counts units used at this gateway.
    pub fn record(&mut self, units: f64) {
        self.own_units += units;
    }

    /// Whether the customer has used more than one unit at this gateway, which makes it worth a message.
    pub fn is_significant(&self) -> bool {
        self.own_units > 1.0
    }

    /// Records the running total of a peer's update; returns the units used there since its last update, or
    /// all of the total if the peer has restarted.
    fn record_update(&mut self, from: usize, incarnation: u32, total: u32) -> f64 {
        let previous = self.received.insert(from, (incarnation, total));
        let increase = match previous {
            Some((known, previous)) if known == incarnation => total.wrapping_sub(previous) & TOTAL_MASK,
            _ => total,
        };
        f64::from(increase) / TOTAL_PER_UNIT
    }
}

/// The last two runs of a peer that sent messages, by their incarnations.
#[derive(Clone, Default)]
struct PeerRuns {
    current: Option<u32>,
    previous: Option<u32>,
    /// When the first message of the current run was received, µs.
    current_since: Micros,
}

impl PeerRuns {
    /// Records that a message of a run was received; false if it is a late one, of the run before.
    fn observe(&mut self, now: Micros, incarnation: u32) -> bool {
        if self.current == Some(incarnation) {
            return true;
        }
        if self.previous == Some(incarnation) && now < self.current_since + MAX_MESSAGE_DELAY {
            return false;
        }
        self.previous = self.current.replace(incarnation);
        self.current_since = now;
        true
    }
}

/// The exchange of usage updates with the other gateways.
pub(crate) struct Gossip {
    enabled: bool,
    self_id: usize,
    /// Identifies the present run of this gateway, 24 bits.
    incarnation: u32,
    /// Shortest time between two rounds of messages to all peers at which no gateway receives more messages
    /// than it accepts, µs.
    send_interval: Micros,
    /// Whether gateways are few enough to be sent every unit rather than the demand.
    sends_every_unit: bool,
    /// Updates that may be sent now, where only demand is sent.
    saved_updates: f64,
    last_sent_at: Micros,
    /// When a message of each gateway was last received; 0 if never.
    last_received_at: Vec<Micros>,
    /// The runs of each gateway, as far as its messages tell.
    runs: Vec<PeerRuns>,
    /// Customers whose update is still to be sent, for each gateway.
    outbox: Vec<BTreeSet<CustomerId>>,
}

impl Gossip {
    pub fn new(settings: &Settings, seed: u64) -> Gossip {
        let gateways = settings.gateways;
        let peer_message_rate = (ACCEPTED_RATE_SHARE * settings.capabilities.peer_messages_per_s).max(0.1);
        let send_interval = ((gateways - 1) as f64 * 1e6 / peer_message_rate) as Micros;
        Gossip {
            enabled: settings.capabilities.peers,
            self_id: settings.gateway_id,
            incarnation: (seed ^ (seed >> 32)) as u32 & TOTAL_MASK,
            send_interval,
            sends_every_unit: settings.capabilities.peers && send_interval <= HEARTBEAT_INTERVAL,
            saved_updates: MAX_SAVED_UPDATES / 2.0,
            last_sent_at: 0,
            last_received_at: vec![0; gateways],
            runs: vec![PeerRuns::default(); gateways],
            outbox: vec![BTreeSet::new(); gateways],
        }
    }

    /// Whether every unit is sent to peers rather than the demand.
    pub fn sends_every_unit(&self) -> bool {
        self.sends_every_unit
    }

    /// Allows more updates to be sent, since a request has arrived at this gateway.
    pub fn record_request(&mut self) {
        self.saved_updates = (self.saved_updates + UPDATES_PER_REQUEST).min(MAX_SAVED_UPDATES);
    }

    /// Whether all units that peers use of the customer's quota are known: every gateway of its subset sends
    /// them and has sent a message within [`PEER_TIMEOUT`].
    pub fn knows_usage_of(&self, now: Micros, customer: &Customer) -> bool {
        let gateways = self.last_received_at.len();
        let is_fresh = |gateway: usize| {
            let received = self.last_received_at[gateway];
            gateway == self.self_id || now < received.saturating_add(PEER_TIMEOUT) && received > 0
        };
        self.sends_every_unit
            && (0..customer.quota.subset_size).all(|k| is_fresh((customer.subset_start + k) % gateways))
    }

    /// Queues an update on a customer for the gateways of its subset. Does nothing if messages to peers are
    /// not allowed, or too few updates are saved up.
    pub fn publish(&mut self, id: CustomerId, customer: &Customer) {
        let size = customer.quota.subset_size;
        let cost = if self.sends_every_unit { 0.0 } else { size as f64 };
        if !self.enabled || self.saved_updates < cost {
            return;
        }
        self.saved_updates -= cost;
        let gateways = self.outbox.len();
        for k in 0..size {
            self.outbox[(customer.subset_start + k) % gateways].insert(id);
        }
    }

    /// Sends the queued updates, in one message of at most [`MAX_UPDATES`] to each peer. Usage is sent as
    /// running totals, so the next update of a customer makes up for a lost one.
    pub fn send(&mut self, now: Micros, customers: &Customers, out: &mut Vec<Action>) {
        let since_last = now.saturating_sub(self.last_sent_at);
        if self.sends_every_unit && since_last < self.send_interval {
            return;
        }
        let heartbeat_due = self.sends_every_unit && since_last >= HEARTBEAT_INTERVAL;
        for to in (0..self.outbox.len()).filter(|to| *to != self.self_id) {
            if self.outbox[to].is_empty() && !heartbeat_due {
                continue;
            }
            self.last_sent_at = now;
            let batch: Vec<CustomerId> = self.outbox[to].iter().copied().take(MAX_UPDATES).collect();
            self.outbox[to].retain(|id| !batch.contains(id));
            if self.outbox[to].len() > customers.len() {
                // Many have been dropped since their updates were queued.
                self.outbox[to].retain(|id| customers.get(*id).is_some());
            }
            let known = batch.iter().filter_map(|id| Some((*id, customers.get(*id)?)));
            let updates: Vec<UsageUpdate> = known.map(|(id, customer)| usage_update(id, customer)).collect();
            out.push(Action::SendToPeer { to, data: encode(self.incarnation, &updates) });
        }
    }

    /// Decodes a peer's message into its incarnation and updates; `None` if the sender or the format is
    /// unknown, or if the message is a late one of the run before.
    fn receive(&mut self, now: Micros, from: usize, data: &[u8]) -> Option<(u32, Vec<UsageUpdate>)> {
        let known = from < self.last_received_at.len() && from != self.self_id;
        let (incarnation, updates) = decode(data).filter(|_| known)?;
        if !self.runs[from].observe(now, incarnation) {
            return None;
        }
        self.last_received_at[from] = now;
        Some((incarnation, updates))
    }
}

fn usage_update(id: CustomerId, customer: &Customer) -> UsageUpdate {
    UsageUpdate {
        customer: id,
        plan: customer.plan,
        subset_size: customer.quota.subset_size,
        total: (customer.peer_usage.own_units * TOTAL_PER_UNIT) as u64 as u32,
        demand: customer.quota.observed_demand(),
    }
}

impl<G: Gate> Gateway<G> {
    /// Applies the usage updates of a peer's message.
    pub(crate) fn receive_peer_message(&mut self, now: Micros, from: usize, data: &[u8]) {
        let onset_credit = self.random.next();
        let Some((incarnation, updates)) = self.gossip.receive(now, from, data) else { return };
        for update in updates {
            let id = update.customer;
            let start = self.customers.get(id).map_or(from, |known| known.subset_start);
            self.upsert_customer(now, id, update.plan, update.subset_size, start);
            let Some(customer) = self.customers.get_mut(id).filter(|c| c.plan == update.plan) else {
                continue;
            };
            customer.quota.refill(now, 0.0, UsageSource::Exact);
            if self.gossip.sends_every_unit() {
                let units = customer.peer_usage.record_update(from, incarnation, update.total);
                customer.quota.take_peer_usage(units);
            } else {
                customer.quota.observe_demand(now, update.demand.min(MAX_DEMAND), onset_credit);
            }
        }
    }
}
