//! What gateways of a fleet in memory do: requests as far as they may, and probes.

use crate::config::IDLE_LIMIT;
use crate::connections::{ConnectionEvent, ServerConnections};
use crate::event_queue::Event;
use crate::injected_bug::InjectedBug;
use crate::invariants::ServedRequest;
use crate::simulation::{Simulation, SECOND, WORKLOAD_INTERVAL};
use frostgauge_connection_budget::ConnectionPermit;
use frostgauge_consensus::{GatewayId, Micros, RuleSource};
use frostgauge_fleet_agent::AttemptGuard;
use frostgauge_fleet_agent::{Authorization, CanaryVerdict, Process};
use rand::RngExt;

/// A request looks so often again for a free slot, a beat apart.
const TRIES: u8 = 8;

/// Without a stride: what is picked by it does not go by what else is picked.
fn mixed(n: u64) -> usize {
    (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize
}

/// A tenant, this gateway's part of its sum, and its classes with what a request counts for.
type TenantWork = (String, u64, Vec<(String, u64)>);

impl Simulation {
    /// A gateway looks for work: as much as it may do, at once, evenly over tenants.
    pub(crate) fn generate_requests(&mut self, gateway: GatewayId, now: Micros) {
        let next = self.now + WORKLOAD_INTERVAL;
        self.events.schedule(next, Event::GenerateRequests { gateway });
        let Some(host) = self.hosts.get_mut(&gateway) else { return };
        let gone = self.now - std::mem::replace(&mut host.requests_generated_at, self.now);
        let (incarnation, send_delay) = (host.incarnation, host.send_delay);
        self.close_excess(gateway, incarnation, now);
        let Some(host) = self.hosts.get_mut(&gateway) else { return };
        let Some(p) = &mut host.process else { return };
        let (under, rules) = p.refresh_guard(now);
        let allowance = &rules.effective;
        let parts: Vec<TenantWork> = allowance
            .tenants
            .iter()
            .map(|(name, part)| {
                let class = |c: &String| allowance.classes.get(c).map(|class| (c.clone(), class.cost_milli));
                (name.clone(), part.ceiling_milli, part.classes.iter().filter_map(class).collect())
            })
            .collect();
        let servers: Vec<String> = allowance.servers.keys().cloned().collect();
        let newest = match &under {
            RuleSource::Lease(set, _) => set.last().copied(),
            RuleSource::Fallback(number) => *number,
        };
        let newest = newest.unwrap_or(0);
        self.invariants.check_quota_shares(
            self.now,
            gateway,
            newest,
            parts.iter().map(|(name, sum, _)| (name.as_str(), *sum)),
        );
        if let RuleSource::Lease(set, _) = &under {
            if let Some(version) = set.last().filter(|_| set.len() == 1) {
                let well = host.fails_under_version != Some(*version);
                p.set_canary_verdict(CanaryVerdict { version: *version, healthy: well });
            }
        }
        let mut permits = vec![];
        let only = host.only_tenants.clone();
        let comes = |name: &String| only.as_ref().is_none_or(|o| o.contains(name));
        for (name, sum, classes) in parts.iter().filter(|(name, _, _)| comes(name)) {
            let credit = host.credit.entry(name.clone()).or_default();
            // Thousandths of a unit, in millionths of a second; no more than a second's worth is saved up.
            *credit = (*credit + sum * gone.min(SECOND)).min(sum * SECOND);
            host.choice_counter = host.choice_counter.wrapping_add(1);
            let pick = mixed(host.choice_counter);
            let Some((class, cost)) = classes.get(pick % classes.len().max(1)) else { continue };
            if *credit >= cost * SECOND {
                *credit -= cost * SECOND;
                permits.extend(p.authorize(now, name, class, pick / 64));
            }
        }
        // A probe to one server a beat: what it says of itself.
        host.choice_counter = host.choice_counter.wrapping_add(1);
        let probe = servers.get(mixed(host.choice_counter) % servers.len().max(1)).cloned();
        if let Some(server) = probe {
            self.probe_server(gateway, incarnation, server, now);
        }
        for permit in permits {
            if send_delay == 0 {
                self.send(gateway, now, &permit, 0);
            } else {
                self.events
                    .schedule(self.now + send_delay, Event::Send { gateway, incarnation, permit, tries: 0 });
            }
        }
    }

    /// A server that was asked now answers, if it is there.
    pub(crate) fn probe_server(
        &mut self,
        gateway: GatewayId,
        incarnation: u64,
        server: String,
        asked: Micros,
    ) {
        if let Some(real) = self.servers.get(&server).filter(|r| r.up) {
            let at = self.now + self.network.rng.random_range(1_000..=10_000);
            let ready = real.ready;
            self.events.schedule(at, Event::ServerReport { gateway, incarnation, server, asked, ready });
        }
    }

    pub(crate) fn connections_at_servers(&self) -> &ServerConnections {
        &self.connections
    }

    pub(crate) fn connections_at_servers_mut(&mut self) -> &mut ServerConnections {
        &mut self.connections
    }

    pub(crate) fn injected_bug(&self) -> Option<InjectedBug> {
        self.config.injected_bug
    }

    pub(crate) fn has_budgets(&self) -> bool {
        self.config.connections.is_some()
    }

    pub(crate) fn draw_between(&mut self, from: Micros, to: Micros) -> Micros {
        self.rng.random_range(from..=to)
    }

    pub(crate) fn guard_of(&mut self, gateway: GatewayId) -> Option<&mut AttemptGuard> {
        self.hosts.get_mut(&gateway)?.process.as_mut().map(Process::guard)
    }

    /// What servers go by, whatever the rules say.
    pub(crate) fn idle_limit(&self) -> Micros {
        IDLE_LIMIT
    }

    /// How long what a lease allowed may last after its question.
    pub(crate) fn lease_outlast(&self) -> Micros {
        self.timing.lease_wait + IDLE_LIMIT + 400_000
    }

    pub(crate) fn schedule_connection_event(&mut self, at: Micros, id: u64, what: ConnectionEvent) {
        self.events.schedule(at, Event::Connection { id, what });
    }

    pub(crate) fn schedule_request_end(
        &mut self,
        at: Micros,
        gateway: GatewayId,
        incarnation: u64,
        permit: ConnectionPermit,
    ) {
        self.events.schedule(at, Event::RequestEnded { gateway, incarnation, permit });
    }

    pub(crate) fn schedule_close_notice(
        &mut self,
        at: Micros,
        gateway: GatewayId,
        incarnation: u64,
        permit: ConnectionPermit,
    ) {
        self.events.schedule(at, Event::ConnectionClosed { gateway, incarnation, permit });
    }

    pub(crate) fn record_over_budget(&mut self, server: &str, over: u32) {
        let at = self.now / 1_000;
        self.invariants
            .record_violation(format!("{server} has {over} connections over its budget at {at} ms"));
    }

    pub(crate) fn send(&mut self, gateway: GatewayId, now: Micros, permit: &Authorization, tries: u8) {
        let second = self.config.injected_bug != Some(InjectedBug::NoRecheck);
        let Some(host) = self.hosts.get_mut(&gateway) else { return };
        let incarnation = host.incarnation;
        let Some(p) = &mut host.process else { return };
        let permit = if second { p.reauthorize(now, permit) } else { Some(permit.clone()) };
        let Some(permit) = permit else { return self.invariants.record_rejected_before_send() };
        if !self.take_connection(gateway, incarnation, now, &permit) {
            if tries >= TRIES {
                return self.invariants.record_rejected_before_send();
            }
            let (at, tries) = (self.now + WORKLOAD_INTERVAL, tries + 1);
            return self.events.schedule(at, Event::Send { gateway, incarnation, permit, tries });
        }
        let Some(p) = self.hosts.get(&gateway).and_then(|host| host.process.as_ref()) else { return };
        let known =
            permit.source.versions().iter().filter_map(|n| p.follower().version(*n)).cloned().collect();
        let act = ServedRequest { at: self.now, gateway, authorization: permit.clone() };
        self.invariants.record_request(act, known);
        self.probe_server(gateway, incarnation, permit.server, now);
    }
}
