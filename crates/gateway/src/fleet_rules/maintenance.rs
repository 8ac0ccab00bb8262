//! The task beside the engine: notifies it when the rules change, probes servers, and reports the canary verdict.

use super::FleetRules;
use crate::oauth::{Handle, HostEvent, Message};
use crate::upstream::{self, BudgetedPath, BudgetedPool, NOT_RUN_FIELD};
use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::Timer;
use frostgauge_consensus::RuleSource;
use frostgauge_fleet_agent::task::Command;
use frostgauge_fleet_agent::CanaryVerdict;
use frostgauge_proto::http::Limits;
use futures_lite::future;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Servers probed at once for their own report.
const MAX_PROBES_IN_FLIGHT: usize = 64;
/// Longest body of a response to a probe.
const MAX_PROBE_BODY_BYTES: u64 = 64 << 10;

/// The task's state.
pub(super) struct Maintenance {
    rules: FleetRules,
    handle: Handle,
    changes: Receiver<()>,
    executor: Arc<Executor<'static>>,
    held: Arc<BudgetedPool>,
    announced: Option<BTreeSet<SocketAddr>>,
    reported: Option<CanaryVerdict>,
}

impl Maintenance {
    pub(super) fn new(
        rules: FleetRules,
        handle: Handle,
        changes: Receiver<()>,
        executor: Arc<Executor<'static>>,
        held: Arc<BudgetedPool>,
    ) -> Maintenance {
        Maintenance { rules, handle, changes, executor, held, announced: None, reported: None }
    }

    pub(super) async fn run(mut self) {
        let every = Duration::from_micros(self.rules.timing.confirmation_interval);
        let (ask, answered) = async_channel::bounded(MAX_PROBES_IN_FLIGHT);
        loop {
            let timer = async {
                Timer::after(every).await;
                true
            };
            let change = async { self.changes.recv().await.is_ok() };
            let answer = async { answered.recv().await.is_ok() };
            if !future::or(change, future::or(answer, timer)).await {
                return;
            }
            self.held.close_excess();
            self.confirm(&ask);
            let (open, _) = self.rules.eligible_nodes();
            if self.announced.as_ref() != Some(&open)
                && self.handle.try_send(Message::Host(HostEvent::FleetRulesChanged))
            {
                self.announced = Some(open);
            }
            self.report();
        }
    }

    /// Probes some servers, where only their own reports count.
    fn confirm(&self, answered: &Sender<()>) {
        let (rules, loaded) = (&self.rules, self.handle.loaded());
        let Some(a) = &loaded.file.consensus else { return };
        let now = rules.clock.now();
        let mut guard = rules.task.guard();
        let due = guard.servers_to_probe(now, rules.timing.confirmation_lead, rules.self_id, a.confirm_nodes);
        for node in due {
            let address = node.to_string();
            guard.record_probe(&address, now);
            metrics::counter!("frostgauge_confirmations").increment(1);
            let (rules, answered, held) = (rules.clone(), answered.clone(), self.held.clone());
            let (path, loaded) = (a.confirm_path.clone(), loaded.clone());
            let work = async move {
                let l = &loaded.file.limits;
                let limits = Limits {
                    line: l.line_bytes,
                    fields: l.fields,
                    head: l.head_bytes,
                    body: MAX_PROBE_BODY_BYTES,
                };
                let timeout = Duration::from_millis(l.connect_ms);
                let path_to_node = BudgetedPath::probe(&held, node);
                let ended = upstream::probe(&path_to_node, node, &path, &limits, timeout).await;
                if let Some(response) = ended.response {
                    let ready = response.head.one(NOT_RUN_FIELD) != Some("draining");
                    rules.task.guard().record_report(&address, now, ready);
                    let _ = answered.try_send(());
                }
            };
            self.executor.spawn(work).detach();
        }
    }

    fn report(&mut self) {
        let now = self.rules.clock.now();
        let alone = {
            let guard = self.rules.task.guard();
            match guard.view().at(now).0 {
                RuleSource::Lease(set, _) if set.len() == 1 => set.first().copied(),
                _ => None,
            }
        };
        let mut verdict = None;
        self.rules.canary(|t| {
            t.set_version(now, alone);
            verdict = t.verdict(now);
        });
        if let Some(new) = verdict.filter(|v| self.reported != Some(*v)) {
            if self.rules.task.send(Command::ReportCanary(new)) {
                self.reported = verdict;
            }
        }
    }
}
