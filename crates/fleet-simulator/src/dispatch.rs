//! Runs a simulation: takes events in the order of time and hands them to the processes.

use crate::event_queue::Event;
use crate::host::Outbox;
use crate::simulation::Simulation;
use frostgauge_connection_budget::GatewayReport;
use frostgauge_consensus::{GatewayId, Message, Micros, Replica};
use frostgauge_fleet_agent::{Process, ProposalOutcome};
use frostgauge_storage::sim::SimDisk;
use std::collections::BTreeMap;

impl Simulation {
    /// Lets so much time pass, microseconds.
    pub fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some((at, event)) = self.events.pop_until(end) {
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let gateway = match &event {
            Event::Connection { id, what } => return self.handle_connection_event(*id, *what),
            Event::Message { to, .. } => *to,
            Event::Wake { gateway, .. }
            | Event::GenerateRequests { gateway }
            | Event::Send { gateway, .. }
            | Event::ConnectionClosed { gateway, .. }
            | Event::RequestEnded { gateway, .. }
            | Event::ServerReport { gateway, .. } => *gateway,
        };
        let Some(host) = self.hosts.get_mut(&gateway) else { return };
        if host.paused {
            host.queue(event);
        } else {
            self.handle_at(gateway, event);
        }
    }

    /// Handles an event at a gateway that is not paused.
    fn handle_at(&mut self, gateway: GatewayId, event: Event) {
        let Some(host) = self.hosts.get_mut(&gateway) else { return };
        let now = host.local_time(self.now);
        match event {
            Event::Connection { .. } => {}
            Event::Message { from, bytes, .. } => {
                if let Some(process) = &mut host.process {
                    process.receive(now, from, &bytes, &mut Outbox(&mut self.network.outbox));
                }
                self.flush_process(gateway);
            }
            Event::Wake { incarnation, .. } => self.wake(gateway, incarnation, now),
            Event::GenerateRequests { .. } => self.generate_requests(gateway, now),
            Event::Send { incarnation, permit, tries, .. } => {
                if incarnation == host.incarnation {
                    self.send(gateway, now, &permit, tries);
                }
            }
            Event::ServerReport { incarnation, server, asked, ready, .. } => {
                if let Some(process) = host.process_of(incarnation) {
                    process.record_report(now, &server, asked, ready);
                }
            }
            Event::ConnectionClosed { incarnation, permit, .. } => {
                if let Some(process) = host.process_of(incarnation) {
                    process.guard().record_connection_closed(&permit);
                }
            }
            Event::RequestEnded { incarnation, permit, .. } => {
                if let Some(process) = host.process_of(incarnation) {
                    process.guard().end_demand(now, &permit);
                }
            }
        }
    }

    fn wake(&mut self, gateway: GatewayId, incarnation: u64, now: Micros) {
        let Some(host) = self.hosts.get_mut(&gateway) else { return };
        if incarnation != host.incarnation {
            return;
        }
        host.wake_scheduled_at = Micros::MAX;
        if let Some(process) = &mut host.process {
            process.refresh_guard(now);
            if process.lease_request_due(now) {
                report_connections(process, now);
            }
            process.wake(now, &mut Outbox(&mut self.network.outbox));
        }
        self.flush_process(gateway);
    }

    /// Sends a message as an editor or operator at a gateway would; nothing is sent from one that is paused or down.
    pub(crate) fn send_to_replica(&mut self, by: GatewayId, to: GatewayId, message: Message) {
        if let Some(host) = self.hosts.get_mut(&by).filter(|host| !host.paused) {
            let now = host.local_time(self.now);
            if let Some(process) = &mut host.process {
                process.send_to_replica(now, to, message, &mut Outbox(&mut self.network.outbox));
            }
        }
        self.flush_process(by);
    }

    /// Takes what a process has sent and learnt, and schedules when it wakes.
    pub(crate) fn flush_process(&mut self, gateway: GatewayId) {
        for (at, arrival) in self.network.take_arrivals(self.now, gateway) {
            self.events.schedule(at, arrival);
        }
        let Some(host) = self.hosts.get_mut(&gateway) else { return };
        let Some(process) = &mut host.process else { return };
        for ProposalOutcome { proposal_id, outcome } in process.take_outcomes() {
            self.invariants.record_outcome(proposal_id, outcome, self.proposals.get(&proposal_id));
        }
        self.invariants.record_versions(gateway, process.version_hashes());
        if let Some(machine) = process.replica().and_then(Replica::state_machine) {
            self.connections.in_force(self.now, machine);
        }
        let due = process.next_wake();
        let at = host.true_time(self.now, due);
        if at < host.wake_scheduled_at {
            host.wake_scheduled_at = at;
            let incarnation = host.incarnation;
            self.events.schedule(at, Event::Wake { gateway, incarnation });
        }
    }
}

/// Reports what is open to the process, as a gateway's task does before a lease request.
fn report_connections(process: &mut Process<SimDisk>, now: Micros) {
    let pending = process.pending_budgets();
    let report = GatewayReport { sole_process: true, ..process.guard().connection_report(now) };
    let is_within = process.guard().within_permits(now, &pending);
    process.set_connection_report(report, if is_within { pending } else { BTreeMap::new() });
}
