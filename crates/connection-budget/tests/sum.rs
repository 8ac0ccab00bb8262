//! Simulates gateways, servers and the ledger, one millisecond a step, and checks at every step that no server and no
//! tenant has more connections open than its capacity. A seed determines which gateways are cut off, pause, crash or
//! restart, which messages are lost, late or overtaken, and when servers close idle connections. A second test checks
//! that each of several injected bugs is detected.

use frostgauge_connection_budget::{
    plan, BudgetScope, ConnectionPermit, Epoch, GatewayId, GatewayPermits, GatewayReport, PermitGrant,
    PermitLedger, PermitList, PermitTarget, ReceivedGrants, TenantClass,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Duration of a lease, milliseconds.
const LEASE: u64 = 300;
/// Longest duration of a request, milliseconds.
const ATTEMPT: u64 = 200;
/// Idle limit of the servers, milliseconds.
const IDLE: u64 = 500;
const SERVERS: usize = 3;
const CONNECTIONS_PER_SERVER: u32 = 4;
/// Capacity of each tenant over all servers together, connections.
const CONNECTIONS_PER_TENANT: u32 = 5;
const TENANTS: u64 = 3;

/// A bug that the simulation injects, to check that it is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedBug {
    /// Permits are freed once the lease has expired, before the longest attempt and the server's idle limit have
    /// passed.
    FreedBeforeIdleLimit,
    /// A lease counts from the receipt of the grant, and not from the sending of the report that the grant answers.
    LeaseCountsFromGrant,
    /// A connection that the gateway has closed counts as closed at the server too.
    LocalCloseFreesPermit,
    /// A restarted process counts as the only one because it claims so, while the one before may be paused.
    SoleProcessAssumed,
    /// Permits of an ended process are freed at once, although the server may not have learned of its end.
    EndedProcessFreedAtOnce,
    /// An acknowledgement counts even if it is of an older epoch than the newest.
    LateAcknowledgementCounts,
}

/// A connection as its gateway and its server see it; all times in milliseconds.
struct Connection {
    gateway: GatewayId,
    /// Incarnation of the process that opened it.
    incarnation: u64,
    server: usize,
    permit: ConnectionPermit,
    /// Time from which it is open at the server.
    open_from: u64,
    /// Time at which the request on it is answered.
    busy_until: u64,
    /// Time at which the server last received something on it.
    last_received: u64,
    /// The gateway has closed it, and the server sees that at this time.
    close_arrives: Option<u64>,
    /// The server has closed it, and the gateway learns of that at this time.
    closed: Option<u64>,
}

enum Message {
    Report { from: GatewayId, incarnation: u64, sent: u64, report: GatewayReport },
    Grant { to: GatewayId, incarnation: u64, report_sent: u64, epoch: Epoch, permits: PermitList },
}

struct Process {
    incarnation: u64,
    grants: ReceivedGrants,
    permits: GatewayPermits,
    paused: bool,
    /// Whether it is the newest process of its gateway; earlier ones may be paused and not yet killed.
    current: bool,
}

struct Sim {
    /// Milliseconds.
    now: u64,
    rng: ChaCha8Rng,
    bug: Option<InjectedBug>,
    ledger: PermitLedger,
    processes: BTreeMap<GatewayId, Vec<Process>>,
    connections: Vec<Connection>,
    /// Messages in flight, each with the time of its arrival.
    in_flight: Vec<(u64, Message)>,
    /// Time at which each gateway was last sent a grant.
    last_grant: BTreeMap<GatewayId, u64>,
    /// Incarnation of each gateway's process that is known to be the only one, and the time since when it is.
    sole_since: BTreeMap<GatewayId, (u64, u64)>,
    /// Permits that each gateway should have at the servers together.
    server_targets: BTreeMap<GatewayId, PermitTarget>,
    /// Permits that each gateway should have of each tenant.
    tenant_targets: BTreeMap<u64, BTreeMap<GatewayId, PermitTarget>>,
    /// Time until which each gateway is cut off from the ledger.
    cut_off_until: BTreeMap<GatewayId, u64>,
    /// Number of connections opened.
    opened: u64,
    /// Largest number of connections beyond a capacity at any step.
    max_excess: u32,
    next_incarnation: u64,
}

fn server_name(index: usize) -> String {
    format!("s{index}")
}

fn tenant_class(tenant: u64) -> TenantClass {
    TenantClass { tenant: format!("t{tenant}"), class: None }
}

fn tenant_scope(tenant: u64) -> BudgetScope {
    BudgetScope::tenant("all", &tenant_class(tenant))
}

fn server_scope(index: usize) -> BudgetScope {
    BudgetScope::server(&server_name(index))
}

fn permit(server: usize, tenant: u64) -> ConnectionPermit {
    ConnectionPermit {
        server: server_name(server),
        group: "all".into(),
        tenant_class: tenant_class(tenant),
        budgeted: true,
    }
}

impl Sim {
    fn new(seed: u64, gateways: u16, bug: Option<InjectedBug>) -> Sim {
        let mut ledger = PermitLedger::default();
        (0..SERVERS).for_each(|server| ledger.set_capacity(&server_scope(server), CONNECTIONS_PER_SERVER));
        (0..TENANTS).for_each(|tenant| ledger.set_capacity(&tenant_scope(tenant), CONNECTIONS_PER_TENANT));
        let mut sim = Sim {
            now: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            bug,
            ledger,
            processes: BTreeMap::new(),
            connections: vec![],
            in_flight: vec![],
            last_grant: BTreeMap::new(),
            sole_since: BTreeMap::new(),
            server_targets: BTreeMap::new(),
            tenant_targets: BTreeMap::new(),
            cut_off_until: BTreeMap::new(),
            opened: 0,
            max_excess: 0,
            next_incarnation: 1,
        };
        (1..=gateways).for_each(|gateway| sim.start_process(gateway));
        sim
    }

    fn start_process(&mut self, gateway: GatewayId) {
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let processes = self.processes.entry(gateway).or_default();
        processes.iter_mut().for_each(|process| process.current = false);
        let mut grants = ReceivedGrants::default();
        grants.set_quorums([(1, ([1].into(), 1))].into());
        let permits = GatewayPermits::default();
        processes.push(Process { incarnation, grants, permits, paused: false, current: true });
    }

    fn processes_of(&mut self, gateway: GatewayId) -> &mut Vec<Process> {
        self.processes.get_mut(&gateway).expect("every gateway should have an entry")
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }

    /// Sends a message, which is lost or arrives late at random.
    fn send(&mut self, message: Message) {
        let gateway = match &message {
            Message::Report { from, .. } => *from,
            Message::Grant { to, .. } => *to,
        };
        if self.cut_off_until.get(&gateway).is_some_and(|until| self.now < *until) || self.chance(50) {
            return;
        }
        let max_delay = [10, 10, 10, 10, 10, 10, 10, 280, 280, 1_500][self.rng.random_range(0..10)];
        let arrives = self.now + self.rng.random_range(1..=max_delay);
        self.in_flight.push((arrives, message));
    }

    fn step(&mut self) {
        self.now += 1;
        self.inject_faults();
        self.deliver();
        self.step_servers();
        for gateway in self.processes.keys().copied().collect::<Vec<_>>() {
            self.step_gateway(gateway);
        }
        if self.now.is_multiple_of(20) {
            self.step_ledger();
        }
        for server in 0..SERVERS {
            let is_open =
                |c: &&Connection| c.server == server && c.open_from <= self.now && c.closed.is_none();
            let open = self.connections.iter().filter(is_open).count() as u32;
            self.max_excess = self.max_excess.max(open.saturating_sub(CONNECTIONS_PER_SERVER));
        }
        for tenant in 0..TENANTS {
            let is_open = |c: &&Connection| {
                c.permit.tenant_class == tenant_class(tenant) && c.open_from <= self.now && c.closed.is_none()
            };
            let open = self.connections.iter().filter(is_open).count() as u32;
            self.max_excess = self.max_excess.max(open.saturating_sub(CONNECTIONS_PER_TENANT));
        }
        assert!(self.ledger.is_consistent());
    }

    /// Cuts off, pauses, kills or restarts a gateway, at random.
    fn inject_faults(&mut self) {
        let gateways = self.processes.len() as u16;
        let gateway = self.rng.random_range(1..=gateways);
        if self.chance(4) {
            let until = self.now + self.rng.random_range(50..2_000);
            self.cut_off_until.insert(gateway, until);
        }
        let (pauses, resumes) = (self.chance(4), self.chance(12));
        self.processes_of(gateway)
            .iter_mut()
            .filter(|process| process.current && if process.paused { resumes } else { pauses })
            .for_each(|process| process.paused = !process.paused);
        if self.now.is_multiple_of(3) && self.chance(1) {
            // A new process starts after the others were killed, or beside them while they are paused.
            let killed = self.chance(500);
            if killed {
                self.kill(gateway, |_| true);
            } else {
                self.processes_of(gateway).iter_mut().for_each(|process| process.paused = true);
            }
            self.start_process(gateway);
        }
        // Earlier processes are killed at some time.
        if self.chance(2) {
            self.kill(gateway, |process| !process.current);
        }
        // Until then, they are resumed and paused again now and then.
        if self.chance(5) {
            let earlier = self.processes_of(gateway).iter_mut().filter(|process| !process.current);
            earlier.for_each(|process| process.paused = !process.paused);
        }
    }

    /// Kills those processes of a gateway for which `selected` is true.
    fn kill(&mut self, gateway: GatewayId, selected: impl Fn(&Process) -> bool) {
        let now = self.now;
        // The server learns that the connections have ended, or closes them by its idle limit.
        let server_learns = self.chance(700);
        let processes = self.processes_of(gateway);
        let killed: Vec<u64> = (processes.iter())
            .filter(|process| selected(process))
            .map(|process| process.incarnation)
            .collect();
        processes.retain(|process| !killed.contains(&process.incarnation));
        let connections = self.connections.iter_mut().filter(|c| killed.contains(&c.incarnation));
        connections.filter(|_| server_learns).for_each(|c| c.closed = c.closed.or(Some(now)));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.in_flight.drain(..).partition(|(arrives, _)| *arrives <= now);
        self.in_flight = later;
        for (_, message) in due {
            match message {
                Message::Report { from, incarnation, sent, report } => {
                    self.receive_report(from, incarnation, sent, report);
                }
                Message::Grant { to, incarnation, report_sent, epoch, permits } => {
                    let bug = self.bug;
                    let receivers = self.processes_of(to).iter_mut();
                    for process in receivers.filter(|p| p.incarnation == incarnation && !p.paused) {
                        let lease_begins =
                            if bug == Some(InjectedBug::LeaseCountsFromGrant) { now } else { report_sent };
                        let grant = PermitGrant::Current(epoch, permits.clone());
                        process.grants.receive(1, 1, grant, lease_begins + LEASE);
                        process.permits.set_grants(Arc::new(process.grants.clone()));
                    }
                }
            }
        }
    }

    /// Applies a gateway's report to the ledger and answers it with a grant.
    fn receive_report(&mut self, from: GatewayId, incarnation: u64, sent: u64, report: GatewayReport) {
        // Only the newest process counts as the gateway. Whether it is the only one is decided by a lock in reality,
        // and read from the simulation here.
        if self.processes[&from].last().is_none_or(|process| process.incarnation != incarnation) {
            return;
        }
        let is_sole = self.processes[&from].len() == 1 || self.bug == Some(InjectedBug::SoleProcessAssumed);
        self.ledger.begin_incarnation(from, incarnation);
        if self.sole_since.get(&from).is_none_or(|(known, _)| *known != incarnation) {
            self.sole_since.remove(&from);
            if is_sole {
                self.sole_since.insert(from, (incarnation, self.now));
            }
        }
        let accepts_late = self.bug == Some(InjectedBug::LateAcknowledgementCounts);
        if accepts_late || report.seen_epoch >= self.ledger.epoch(from) {
            for (scope, open) in report.open_counts {
                self.ledger.acknowledge(from, incarnation, Epoch::MAX, &scope, open);
            }
        }
        self.last_grant.insert(from, self.now);
        if let Some((epoch, permits)) = self.ledger.granted(from, incarnation) {
            self.send(Message::Grant { to: from, incarnation, report_sent: sent, epoch, permits });
        }
    }

    /// Frees permits that can no longer be in use, and applies planned changes.
    fn step_ledger(&mut self) {
        // The targets of all gateways change at once, again and again, so that many permits move.
        if self.now.is_multiple_of(400) || self.server_targets.is_empty() {
            // They add up to the servers' capacity and to at most each tenant's. A gateway gets one fallback permit of
            // each tenant that it has permits of.
            let gateways: Vec<GatewayId> = self.processes.keys().copied().collect();
            (self.server_targets, self.tenant_targets) = (BTreeMap::new(), BTreeMap::new());
            let mut left = CONNECTIONS_PER_SERVER * SERVERS as u32;
            let mut left_of_tenant = [CONNECTIONS_PER_TENANT; TENANTS as usize];
            while left > 0 {
                let gateway = gateways[self.rng.random_range(0..gateways.len())];
                let tenant = self.rng.random_range(0..TENANTS);
                let count = self.rng.random_range(1..=3.min(left));
                let of_tenant = count.min(left_of_tenant[tenant as usize]);
                let fallback = u32::from(of_tenant > 0);
                let target = self.tenant_targets.entry(tenant).or_default().entry(gateway).or_default();
                (target.count, target.fallback) = (target.count + of_tenant, fallback);
                let target = self.server_targets.entry(gateway).or_default();
                (target.count, target.fallback) =
                    (target.count + count, (target.fallback + fallback).min(target.count + count));
                left_of_tenant[tenant as usize] -= of_tenant;
                left -= count;
            }
        }
        // A gateway that was sent no grant for so long can have no connection open under its lease.
        let linger = if self.bug == Some(InjectedBug::FreedBeforeIdleLimit) { 0 } else { ATTEMPT + IDLE };
        for gateway in self.processes.keys().copied().collect::<Vec<_>>() {
            // A grant is valid for a lease from the sending of the report that it answers, so at most until a lease
            // after the grant was sent.
            let last = self.last_grant.get(&gateway).copied().unwrap_or(0);
            if self.now > last + LEASE + linger + 20 {
                self.ledger.expire_lease(gateway);
            }
            // Earlier processes had ended before the current one was known to be the only one.
            let now = self.now;
            let sole_for =
                |wait: u64| self.sole_since.get(&gateway).is_some_and(|(_, since)| now > since + wait + 20);
            let frees_at_once = self.bug == Some(InjectedBug::EndedProcessFreedAtOnce);
            if sole_for(if frees_at_once { 0 } else { ATTEMPT + linger }) {
                self.ledger.earlier_processes_ended(gateway);
            }
        }
        let servers: Vec<BudgetScope> = (0..SERVERS).map(server_scope).collect();
        let mut changes = plan(&self.ledger, &servers, &self.server_targets, 8);
        for (tenant, targets) in &self.tenant_targets {
            changes.extend(plan(&self.ledger, &[tenant_scope(*tenant)], targets, 8));
        }
        for change in changes {
            let _ = change.apply(&mut self.ledger);
        }
    }

    fn step_servers(&mut self) {
        let now = self.now;
        for c in self.connections.iter_mut().filter(|c| c.closed.is_none()) {
            // A request in progress keeps the connection open; an idle connection is closed at the idle limit.
            let is_over_idle_limit = now > c.last_received.max(c.busy_until) + IDLE;
            if c.close_arrives.is_some_and(|arrives| arrives <= now) || is_over_idle_limit {
                c.closed = Some(now + 2);
            }
        }
    }

    /// Lets each process of a gateway that is not paused learn of closed connections, close excess ones, send a request
    /// and report.
    fn step_gateway(&mut self, gateway: GatewayId) {
        let now = self.now;
        for index in 0..self.processes[&gateway].len() {
            let process = &self.processes[&gateway][index];
            if process.paused {
                continue;
            }
            let incarnation = process.incarnation;
            // The process learns which connections the server has closed.
            let mut closed_permits = vec![];
            self.connections.retain(|c| {
                let is_known = c.incarnation == incarnation && c.closed.is_some_and(|at| at <= now);
                if is_known {
                    closed_permits.push(c.permit.clone());
                }
                !is_known
            });
            let frees_on_close = self.bug == Some(InjectedBug::LocalCloseFreesPermit);
            let processes = self.processes.get_mut(&gateway).expect("every gateway should have an entry");
            let process = &mut processes[index];
            closed_permits.iter().for_each(|permit| process.permits.release(permit));
            // It closes connections beyond what is allowed: idle ones at once, busy ones when they become idle.
            for (scope, excess) in process.permits.excess(now, |_| true) {
                let is_open = |c: &Connection| {
                    c.incarnation == incarnation && c.closed.is_none() && c.permit.counts_against(&scope)
                };
                let closing =
                    self.connections.iter().filter(|c| is_open(c) && c.close_arrives.is_some()).count();
                let idle = (self.connections.iter_mut())
                    .filter(|c| is_open(c) && c.close_arrives.is_none() && c.busy_until <= now);
                let count =
                    if frees_on_close { excess as usize } else { (excess as usize).saturating_sub(closing) };
                for c in idle.take(count) {
                    c.close_arrives = Some(now.max(c.open_from) + 30);
                    if frees_on_close {
                        process.permits.release(&c.permit);
                    }
                }
            }
            // It sends a request, on an idle connection or a new one.
            if self.chance(300) {
                let (server, tenant) = (self.rng.random_range(0..SERVERS), self.rng.random_range(0..TENANTS));
                let permit = permit(server, tenant);
                let duration = self.rng.random_range(5..ATTEMPT);
                let transit = self.rng.random_range(1..15);
                let may_use = self.processes[&gateway][index].permits.may_use(now, &permit);
                let idle = self.connections.iter_mut().filter(|c| {
                    c.incarnation == incarnation
                        && c.server == server
                        && c.busy_until < now
                        && c.close_arrives.is_none()
                        && c.closed.is_none()
                });
                // A connection of the same tenant is preferred to one of another.
                let idle = idle.min_by_key(|c| c.permit != permit);
                let processes = self.processes.get_mut(&gateway).expect("every gateway should have an entry");
                let process = &mut processes[index];
                match idle {
                    Some(c) if c.permit == permit && may_use => {
                        (c.busy_until, c.last_received) = (now + duration, now);
                    }
                    Some(c) if c.permit != permit && process.permits.transfer(now, &c.permit, &permit) => {
                        (c.permit, c.busy_until, c.last_received) = (permit, now + duration, now);
                    }
                    Some(_) => {}
                    None if process.permits.try_open(now, &permit) => {
                        self.opened += 1;
                        let open_from = now + transit;
                        self.connections.push(Connection {
                            gateway,
                            incarnation,
                            server,
                            permit,
                            open_from,
                            busy_until: now + duration.max(transit),
                            last_received: open_from,
                            close_arrives: None,
                            closed: None,
                        });
                    }
                    None => {}
                }
            }
            let process = &self.processes[&gateway][index];
            if process.current && (now + u64::from(gateway) * 7).is_multiple_of(60) {
                let report = process.permits.report();
                self.send(Message::Report { from: gateway, incarnation, sent: now, report });
            }
        }
        debug_assert!(self.connections.iter().all(|c| c.gateway > 0));
    }
}

/// Runs 15 seconds; returns the largest number of connections beyond a capacity and the number of connections opened.
fn run(seed: u64, bug: Option<InjectedBug>) -> (u32, u64) {
    let mut sim = Sim::new(seed, 4 + (seed % 4) as u16, bug);
    (0..15_000).for_each(|_| sim.step());
    (sim.max_excess, sim.opened)
}

#[test]
fn open_connections_never_exceed_a_capacity() {
    let mut total_opened = 0;
    for seed in 0..60 {
        let (excess, opened) = run(seed, None);
        assert_eq!(excess, 0, "seed {seed}");
        total_opened += opened;
    }
    assert!(
        total_opened > 60 * 50,
        "permits should be used, but only {total_opened} connections were opened"
    );
}

#[test]
fn each_injected_bug_is_detected() {
    for bug in [
        InjectedBug::FreedBeforeIdleLimit,
        InjectedBug::LeaseCountsFromGrant,
        InjectedBug::LocalCloseFreesPermit,
        InjectedBug::SoleProcessAssumed,
        InjectedBug::EndedProcessFreedAtOnce,
        InjectedBug::LateAcknowledgementCounts,
    ] {
        assert!((0..400).any(|seed| run(seed, Some(bug)).0 > 0), "{bug:?} is not detected");
    }
}
