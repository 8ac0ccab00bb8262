//! Connections as the simulated servers see them: how many are open at each, against the budgets of the versions in
//! force.

use crate::injected_bug::InjectedBug;
use crate::simulation::{Simulation, SECOND};
use frostgauge_connection_budget::ConnectionPermit;
use frostgauge_consensus::{GatewayId, Micros, StateMachine, VersionNumber};
use std::collections::{BTreeMap, BTreeSet};

/// What happens to a connection at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionEvent {
    /// It established.
    Established,
    /// The gateway's close, or its system's, arrives.
    Closed,
    /// It has been idle for the server's limit, unless something came since.
    IdleLimit,
}

#[derive(Clone, Debug)]
struct Connection {
    gateway: GatewayId,
    incarnation: u64,
    permit: ConnectionPermit,
    established: bool,
    /// When the request on it ends.
    busy_until: Micros,
    /// When something last arrived on it.
    last_used: Micros,
    /// Its gateway is closing it.
    closing: bool,
}

/// The connections at all servers.
#[derive(Default)]
pub(crate) struct ServerConnections {
    connections: BTreeMap<u64, Connection>,
    last_id: u64,
    open: BTreeMap<String, u32>,
    /// By version: when a replica last had it in force, and what each server then holds.
    in_force: BTreeMap<VersionNumber, (Micros, BTreeMap<String, u32>)>,
    worst_over_budget: u32,
    opened: u64,
    reused: u64,
    requests_without_permit: u64,
    gateways_connected: BTreeSet<GatewayId>,
}

impl ServerConnections {
    pub(crate) fn of(&self, gateway: GatewayId, incarnation: u64) -> Vec<u64> {
        let mine =
            self.connections.iter().filter(|(_, c)| c.gateway == gateway && c.incarnation == incarnation);
        mine.map(|(id, _)| *id).collect()
    }

    pub(crate) fn in_force(&mut self, now: Micros, machine: &StateMachine) {
        for number in [machine.fallback_version(), machine.in_force()] {
            if let Some(known) = self.in_force.get_mut(&number) {
                known.0 = now;
            } else if let Some(version) = machine.version(number) {
                let rules = &version.rules;
                let most =
                    rules.servers.keys().filter_map(|s| Some((s.clone(), rules.connection_budget(s)?)));
                self.in_force.insert(number, (now, most.collect()));
            }
        }
    }

    /// What a server holds at most by any version that was in force since; none: it has no bound.
    fn most(&self, since: Micros, server: &str) -> Option<u32> {
        let lately = self.in_force.values().filter(|(at, _)| *at >= since);
        lately.map(|(_, most)| most.get(server).copied()).max_by_key(|n| n.map_or(u32::MAX, |n| n))?
    }
}

impl Simulation {
    /// Connections over a server's budget, at the worst instant.
    pub fn worst_over_budget(&self) -> u32 {
        self.connections_at_servers().worst_over_budget
    }

    /// Connections opened; requests that went by one open already; requests that found no slot.
    pub fn connection_counts(&self) -> (u64, u64, u64) {
        (
            self.connections_at_servers().opened,
            self.connections_at_servers().reused,
            self.connections_at_servers().requests_without_permit,
        )
    }

    /// Connections open at a server now.
    pub fn open_at(&self, server: &str) -> u32 {
        self.connections_at_servers().open.get(server).copied().unwrap_or(0)
    }

    /// Connections that a gateway has open at all servers, for a tenant, or for all.
    pub fn open_from(&self, gateway: GatewayId, tenant: Option<&str>) -> u32 {
        let mine = |c: &&Connection| {
            c.established && c.gateway == gateway && tenant.is_none_or(|t| c.permit.tenant_class.tenant == t)
        };
        self.connections_at_servers().connections.values().filter(mine).count() as u32
    }

    /// Connections that are open for a tenant, at all servers from all gateways.
    pub fn open_for(&self, tenant: &str) -> u32 {
        let its = |c: &&Connection| c.established && c.permit.tenant_class.tenant == tenant;
        self.connections_at_servers().connections.values().filter(its).count() as u32
    }

    /// Gateways that ever had a connection.
    pub fn ever_connected(&self) -> usize {
        self.connections_at_servers().gateways_connected.len()
    }

    /// A connection for a request: one that is open, or a new one.
    pub(crate) fn take_connection(
        &mut self,
        gateway: GatewayId,
        incarnation: u64,
        now: Micros,
        permit: &frostgauge_fleet_agent::Authorization,
    ) -> bool {
        if !self.has_budgets() {
            return true;
        }
        let injected_bug = self.injected_bug();
        let true_now = self.now();
        let took = self.draw_between(5_000, 200_000);
        let way = self.draw_between(200, 8_000);
        let Some(guard) = self.guard_of(gateway) else { return false };
        let rules = guard.view().at(now).1.clone();
        let address = rules.effective.servers.get(&permit.server).and_then(|a| a.parse().ok());
        let Some(permit) = address.and_then(|a| guard.permit(now, &permit.tenant, &permit.class, a)) else {
            return false;
        };
        guard.begin_demand(now, &permit);
        // One of its own that rests, or one that rests for another.
        let rests = |c: &Connection| {
            let mine =
                c.gateway == gateway && c.incarnation == incarnation && c.permit.server == permit.server;
            mine && !c.closing && c.established && c.busy_until < true_now
        };
        let all = self.connections_at_servers().connections.iter().filter(|(_, c)| rests(c));
        let idle =
            all.min_by_key(|(id, c)| (c.permit != permit, **id)).map(|(id, c)| (*id, c.permit.clone()));
        if let Some((id, was)) = idle {
            let Some(guard) = self.guard_of(gateway) else { return false };
            let may =
                if was == permit { guard.may_use(now, &permit) } else { guard.transfer(now, &was, &permit) };
            if !may {
                self.schedule_request_end(true_now, gateway, incarnation, permit);
                self.connections_at_servers_mut().requests_without_permit += 1;
                return false;
            }
            self.schedule_request_end(true_now + took, gateway, incarnation, permit.clone());
            if let Some(c) = self.connections_at_servers_mut().connections.get_mut(&id) {
                (c.permit, c.busy_until, c.last_used) = (permit, true_now + took, true_now);
            }
            self.connections_at_servers_mut().reused += 1;
            return true;
        }
        let Some(guard) = self.guard_of(gateway) else { return false };
        let may = guard.try_open_connection(now, &permit);
        let goes = may || injected_bug == Some(InjectedBug::NoPermits);
        self.schedule_request_end(
            if goes { true_now + way + took } else { true_now },
            gateway,
            incarnation,
            permit.clone(),
        );
        let wire = self.connections_at_servers_mut();
        if !goes {
            wire.requests_without_permit += 1;
            return false;
        }
        wire.opened += 1;
        wire.gateways_connected.insert(gateway);
        wire.last_id += 1;
        let id = wire.last_id;
        let (gateway, established, closing) = (gateway, false, false);
        let busy = true_now + way + took;
        let c = Connection {
            gateway,
            incarnation,
            permit,
            established,
            busy_until: busy,
            last_used: true_now + way,
            closing,
        };
        wire.connections.insert(id, c);
        self.schedule_connection_event(true_now + way, id, ConnectionEvent::Established);
        true
    }

    /// Idle connections over the gateway's slots are closed; busy ones are looked at again.
    pub(crate) fn close_excess(&mut self, gateway: GatewayId, incarnation: u64, now: Micros) {
        if !self.has_budgets() {
            return;
        }
        let true_now = self.now();
        let Some(guard) = self.guard_of(gateway) else { return };
        let excess = guard.excess_connections(now);
        let closed_here = self.injected_bug() == Some(InjectedBug::CountedClosedLocally);
        for (place, n) in excess {
            let wire = self.connections_at_servers_mut();
            let mine = |c: &Connection| {
                c.gateway == gateway && c.incarnation == incarnation && c.permit.counts_against(&place)
            };
            // Those that are being closed already count among what is too much.
            let closing = wire.connections.values().filter(|c| mine(c) && c.closing).count();
            let n = if closed_here { n as usize } else { (n as usize).saturating_sub(closing) };
            let idle = wire
                .connections
                .iter_mut()
                .filter(|(_, c)| mine(c) && !c.closing && c.established && c.busy_until < true_now);
            let mut closed = vec![];
            for (id, c) in idle.take(n) {
                c.closing = true;
                closed.push((*id, c.permit.clone()));
            }
            for (id, permit) in closed {
                let way = self.draw_between(1_000, 30_000);
                self.schedule_connection_event(true_now + way, id, ConnectionEvent::Closed);
                if closed_here {
                    self.guard_of(gateway).into_iter().for_each(|g| g.record_connection_closed(&permit));
                }
            }
        }
    }

    pub(crate) fn handle_connection_event(&mut self, id: u64, what: ConnectionEvent) {
        let now = self.now();
        let idle_limit = self.idle_limit();
        let Some(c) = self.connections_at_servers_mut().connections.get_mut(&id) else { return };
        let rests = c.last_used.max(c.busy_until);
        match what {
            ConnectionEvent::Established => {
                c.established = true;
                let server = c.permit.server.clone();
                let over = self.count_opened(&server);
                let wire = self.connections_at_servers_mut();
                wire.worst_over_budget = wire.worst_over_budget.max(over);
                if over > 0 {
                    self.record_over_budget(&server, over);
                }
                self.schedule_connection_event(rests.max(now) + idle_limit, id, ConnectionEvent::IdleLimit);
            }
            ConnectionEvent::IdleLimit if now < rests + idle_limit => {
                self.schedule_connection_event(rests + idle_limit, id, ConnectionEvent::IdleLimit)
            }
            ConnectionEvent::Closed | ConnectionEvent::IdleLimit => {
                let Some(c) = self.connections_at_servers_mut().connections.remove(&id) else { return };
                if c.established {
                    if let Some(open) = self.connections_at_servers_mut().open.get_mut(&c.permit.server) {
                        *open -= 1;
                    }
                }
                let at = now + self.draw_between(200, 5_000);
                if self.injected_bug() != Some(InjectedBug::CountedClosedLocally)
                    || what == ConnectionEvent::IdleLimit
                {
                    self.schedule_close_notice(at, c.gateway, c.incarnation, c.permit);
                }
            }
        }
    }

    /// Counts one more at a server; how many are over its budget.
    fn count_opened(&mut self, server: &str) -> u32 {
        // What a version that was in force until now allowed may be there until all that went by it is over.
        let since = self.now().saturating_sub(self.lease_outlast() + 2 * SECOND);
        let wire = self.connections_at_servers_mut();
        let open = wire.open.entry(server.to_owned()).or_default();
        *open += 1;
        let open = *open;
        wire.most(since, server).map_or(0, |most| open.saturating_sub(most))
    }
}
