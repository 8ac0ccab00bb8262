//! The main loop of the task. It receives commands and messages, has the process handle them, publishes the rules in
//! effect, and only then sends the resulting messages.

use super::command::{Command, NumberedRules, TaskHandle};
use super::proposals::PendingProposals;
use super::status::status;
use super::TaskConfig;
use crate::budget_shares;
use crate::process::{Process, Transport};
use crate::rules_view::RulesView;
use async_channel::Receiver;
use frostgauge_connection_budget::GatewayReport;
use frostgauge_consensus::{GatewayId, Message, Micros, Replica, VersionNumber};
use frostgauge_net::{until, Timed};
use frostgauge_peer_transport::PeerMessage;
use frostgauge_storage::Disk;
use futures_lite::future;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Maximum number of events that are handled before the results are published and sent.
const MAX_BATCH: usize = 256;
/// Maximum time between two checks of what is due.
const MAX_SLEEP: Duration = Duration::from_secs(60);
const SECONDS_PER_MINUTE: u64 = 60;
const MINUTES_PER_DAY: u64 = 24 * 60;

/// Messages that are held back until the rules and permits that they acknowledge are published.
#[derive(Default)]
struct Outbox(Vec<(GatewayId, Vec<u8>)>);

impl Transport for Outbox {
    fn send(&mut self, to: GatewayId, bytes: Vec<u8>) {
        self.0.push((to, bytes));
    }
}

enum Event {
    Command(Command),
    Message(PeerMessage),
    /// A deadline has passed, or the maximum time between two checks.
    Timer,
    /// The queue of commands is closed.
    Disconnected,
}

/// Runs the process of the task, and keeps the state that must survive a restart of the process.
pub(super) struct Worker {
    config: TaskConfig,
    commands: Receiver<Command>,
    handle: TaskHandle,
    /// The view that was last published to the guard.
    published: Arc<RulesView>,
    /// Whether the fallback rules were in effect at the last publication.
    was_on_fallback: bool,
    proposals: PendingProposals,
    restarts: u64,
    /// Whether a connection report since the last restart of the process found no open connection.
    all_closed_since_start: bool,
}

impl Worker {
    pub(super) fn new(config: TaskConfig, commands: Receiver<Command>, handle: TaskHandle) -> Worker {
        Worker {
            config,
            commands,
            handle,
            published: Arc::default(),
            was_on_fallback: true,
            proposals: PendingProposals::default(),
            restarts: 0,
            all_closed_since_start: false,
        }
    }

    pub(super) fn config(&self) -> &TaskConfig {
        &self.config
    }

    pub(super) fn note_restart(&mut self) {
        self.restarts += 1;
        self.all_closed_since_start = false;
        tracing::error!(restarts = self.restarts, "fleet agent failed; restarting it after a delay");
    }

    /// Runs a process until the task is to end.
    pub(super) fn run(&mut self, mut process: Process<Disk>) {
        let mut outbox = Outbox::default();
        loop {
            let event = future::block_on(self.next_event(&process));
            let now = self.config.clock.now();
            if !self.handle_batch(now, event, &mut process, &mut outbox) {
                return;
            }
            self.report_connections(now, &mut process);
            process.wake(now, &mut outbox);
            self.advance_proposals(now, &mut process, &mut outbox);
            // The guard must apply the new rules and permits before a message acknowledges them, because the replicas rely
            // on that message.
            self.publish(&mut process);
            for (to, bytes) in outbox.0.drain(..) {
                self.config.transport.send(to, bytes);
            }
        }
    }

    /// Waits for a command, a message or the next deadline.
    async fn next_event(&self, process: &Process<Disk>) -> Event {
        let lease = self.published.lease.as_ref().filter(|_| !self.was_on_fallback);
        let expiry = lease.map(|lease| lease.expires_at);
        let due = [Some(process.next_wake()), expiry, self.proposals.next_send()];
        let due = due.into_iter().flatten().min().unwrap_or(Micros::MAX);
        let deadline = self.config.clock.instant(due, MAX_SLEEP);
        let command = async { self.commands.recv().await.map_or(Event::Disconnected, Event::Command) };
        let message = async {
            match self.config.inbox.recv().await {
                Ok(message) => Event::Message(message),
                Err(_) => future::pending().await,
            }
        };
        match until(deadline, future::or(command, message)).await {
            Timed::Done(event) => event,
            Timed::Late => Event::Timer,
        }
    }

    /// Handles an event and the events queued after it, up to a batch; false if the task is to end.
    fn handle_batch(
        &mut self,
        now: Micros,
        first: Event,
        process: &mut Process<Disk>,
        outbox: &mut Outbox,
    ) -> bool {
        let mut next = Some(first);
        for _ in 0..MAX_BATCH {
            match next.take() {
                Some(Event::Message(message)) => {
                    process.receive(now, message.sender, &message.payload, outbox);
                }
                Some(Event::Command(Command::Stop) | Event::Disconnected) => return false,
                Some(Event::Command(command)) => self.execute(now, command, process, outbox),
                Some(Event::Timer) => {}
                None => break,
            }
            next = self.queued_event();
        }
        true
    }

    fn queued_event(&self) -> Option<Event> {
        let command = self.commands.try_recv().ok().map(Event::Command);
        command.or_else(|| self.config.inbox.try_recv().ok().map(Event::Message))
    }

    /// Sets the report on connections for the lease request if one is due. The report is made under the view that was
    /// published last.
    fn report_connections(&mut self, now: Micros, process: &mut Process<Disk>) {
        if !process.lease_request_due(now) {
            return;
        }
        let pending = process.pending_budgets();
        let mut guard = self.handle.guard();
        let within_permits = if guard.within_permits(now, &pending) { pending } else { BTreeMap::new() };
        self.all_closed_since_start |= guard.all_connections_closed();
        // Connections opened while an earlier process of this task ran may still be open after a restart.
        let sole_process = self.restarts == 0 || self.all_closed_since_start;
        let report = GatewayReport { sole_process, ..guard.connection_report(now) };
        drop(guard);
        process.set_connection_report(report, within_permits);
        process.set_minute_of_day(minute_of_day());
    }

    /// Publishes the rules and permits now in effect to the guard, and reports changes of them.
    fn publish(&mut self, process: &mut Process<Disk>) {
        let now = self.config.clock.now();
        let view = process.view(now);
        let on_fallback = view.on_fallback(now);
        let rules_changed = on_fallback != self.was_on_fallback || !same_versions(&view, &self.published);
        let permits_changed = view.permits.state_key() != self.published.permits.state_key();
        if *view != *self.published {
            self.handle.guard().set_view(view.clone());
            self.published = view;
        }
        if rules_changed {
            self.was_on_fallback = on_fallback;
            let (source, _) = self.published.at(now);
            metrics::counter!("frostgauge_rules_changes").increment(1);
            metrics::gauge!("frostgauge_on_ground").set(f64::from(u8::from(on_fallback)));
            tracing::info!(?source, "rules in effect changed");
        }
        if rules_changed || permits_changed {
            (self.config.on_change)();
        }
    }

    fn execute(&mut self, now: Micros, command: Command, process: &mut Process<Disk>, outbox: &mut Outbox) {
        match command {
            Command::RequestLease => process.request_lease_now(now),
            Command::ReportCanary(verdict) => process.set_canary_verdict(verdict),
            Command::Propose(proposal, reply) => self.proposals.add(now, proposal, reply),
            Command::Broadcast(message) => send_to_replicas(now, &message, process, outbox),
            Command::Status(reply) => {
                let transport = &self.config.transport;
                let _ = reply.try_send(status(now, &self.published, process, transport, self.restarts));
            }
            Command::BudgetShares(reply) => {
                let machine = process.replica().and_then(Replica::state_machine);
                let _ = reply.try_send(machine.and_then(budget_shares::report));
            }
            Command::Version(number, reply) => {
                let _ = reply.try_send(rules_of_version(number, process));
            }
            Command::Stop => {}
        }
    }

    /// Sends the proposals that are due, and replies to those whose outcome is known or that are given up.
    fn advance_proposals(&mut self, now: Micros, process: &mut Process<Disk>, outbox: &mut Outbox) {
        for message in self.proposals.take_due(now) {
            send_to_replicas(now, &message, process, outbox);
        }
        for outcome in process.take_outcomes() {
            self.proposals.resolve(outcome);
        }
        self.proposals.drop_expired(now);
    }
}

fn send_to_replicas(now: Micros, message: &Message, process: &mut Process<Disk>, outbox: &mut Outbox) {
    for replica in process.follower().voters() {
        process.send_to_replica(now, replica, message.clone(), outbox);
    }
}

/// The rules of a version, or of the latest version known to the replica or the follower if no number is given.
fn rules_of_version(number: Option<VersionNumber>, process: &Process<Disk>) -> Option<NumberedRules> {
    let machine = process.replica().and_then(Replica::state_machine);
    let latest = || machine.map(|machine| machine.latest()).max(process.follower().newest_known());
    let number = number.or_else(latest)?;
    let known = machine.and_then(|machine| machine.version(number));
    let version = known.or_else(|| process.follower().version(number))?;
    Some(NumberedRules { number: version.number, rules: version.rules.clone() })
}

/// Whether two views come from the same versions.
fn same_versions(a: &RulesView, b: &RulesView) -> bool {
    let leased = |view: &RulesView| view.lease.as_ref().map(|lease| lease.versions.clone());
    a.fallback_version == b.fallback_version && leased(a) == leased(b)
}

/// Minutes since midnight, UTC.
fn minute_of_day() -> u16 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
    u16::try_from(since_epoch / SECONDS_PER_MINUTE % MINUTES_PER_DAY).unwrap_or(0)
}
