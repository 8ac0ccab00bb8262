//! What is going to happen, in the order of time.

use crate::connections::ConnectionEvent;
use frostgauge_connection_budget::ConnectionPermit;
use frostgauge_consensus::{GatewayId, Micros};
use frostgauge_fleet_agent::Authorization;
use std::collections::BTreeMap;

/// Something that happens at a time. `incarnation` tells for which start of a process it was meant.
#[derive(Debug)]
pub(crate) enum Event {
    /// A message arrives.
    Message { from: GatewayId, to: GatewayId, bytes: Vec<u8> },
    /// A process wants to run.
    Wake { gateway: GatewayId, incarnation: u64 },
    /// Clients of a gateway send requests.
    GenerateRequests { gateway: GatewayId },
    /// A gateway sends a request to a server.
    Send { gateway: GatewayId, incarnation: u64, permit: Authorization, tries: u8 },
    /// A server's report of its readiness arrives.
    ServerReport { gateway: GatewayId, incarnation: u64, server: String, asked: Micros, ready: bool },
    /// Something happens to a connection at its server.
    Connection { id: u64, what: ConnectionEvent },
    /// A gateway learns that a connection is closed at the server.
    ConnectionClosed { gateway: GatewayId, incarnation: u64, permit: ConnectionPermit },
    /// A request has no more use for its connection.
    RequestEnded { gateway: GatewayId, incarnation: u64, permit: ConnectionPermit },
}

/// Events by time; those at the same time in the order in which they were scheduled.
#[derive(Default)]
pub(crate) struct EventQueue {
    events: BTreeMap<(Micros, u64), Event>,
    scheduled: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    /// Takes the next event, with its time, unless it comes after `end`.
    pub(crate) fn pop_until(&mut self, end: Micros) -> Option<(Micros, Event)> {
        let next = self.events.first_entry().filter(|next| next.key().0 <= end)?;
        let ((at, _), event) = next.remove_entry();
        Some((at, event))
    }
}
