//! A task that notifies the engine when the fleet rules change, probes servers, and reports the canary verdict.

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

/// Capacity of the channel by which probes report that they have ended; further reports are dropped.
const MAX_QUEUED_PROBE_ENDS: usize = 64;
/// Maximum length of the body of a response to a probe.
const MAX_PROBE_BODY_BYTES: u64 = 64 << 10;

/// State of the task.
pub(super) struct Maintenance {
    rules: FleetRules,
    handle: Handle,
    /// Notifications that the rules in effect or the permits have changed.
    changes: Receiver<()>,
    executor: Arc<Executor<'static>>,
    pool: Arc<BudgetedPool>,
    /// The eligible servers of which the engine was last notified.
    announced: Option<BTreeSet<SocketAddr>>,
    /// The canary verdict reported last.
    reported: Option<CanaryVerdict>,
}

impl Maintenance {
    pub(super) fn new(
        rules: FleetRules,
        handle: Handle,
        changes: Receiver<()>,
        executor: Arc<Executor<'static>>,
        pool: Arc<BudgetedPool>,
    ) -> Maintenance {
        Maintenance { rules, handle, changes, executor, pool, announced: None, reported: None }
    }

    pub(super) async fn run(mut self) {
        let interval = Duration::from_micros(self.rules.timing.confirmation_interval);
        let (probe_ended, probe_ends) = async_channel::bounded(MAX_QUEUED_PROBE_ENDS);
        loop {
            let timer = async {
                Timer::after(interval).await;
                true
            };
            let change = async { self.changes.recv().await.is_ok() };
            let probe_end = async { probe_ends.recv().await.is_ok() };
            if !future::or(change, future::or(probe_end, timer)).await {
                return;
            }
            self.pool.close_excess();
            self.probe_servers(&probe_ended);
            let (eligible, _) = self.rules.eligible_servers();
            if self.announced.as_ref() != Some(&eligible)
                && self.handle.try_send(Message::Host(HostEvent::FleetRulesChanged))
            {
                self.announced = Some(eligible);
            }
            self.report_canary();
        }
    }

    /// Probes servers if the gateway has no lease or its lease ends soon: without one, a server may get new work only by
    /// its own recent report. Each response is signalled on `probe_ended`.
    fn probe_servers(&self, probe_ended: &Sender<()>) {
        let (rules, loaded) = (&self.rules, self.handle.loaded());
        let Some(settings) = &loaded.file.consensus else { return };
        let now = rules.clock.now();
        let mut guard = rules.task.guard();
        let due = guard.servers_to_probe(
            now,
            rules.timing.confirmation_lead,
            rules.self_id,
            settings.confirm_nodes,
        );
        for server in due {
            let address = server.to_string();
            guard.record_probe(&address, now);
            metrics::counter!("frostgauge_confirmations").increment(1);
            let (rules, probe_ended, pool) = (rules.clone(), probe_ended.clone(), self.pool.clone());
            let (path, loaded) = (settings.confirm_path.clone(), loaded.clone());
            let probe = async move {
                let settings = &loaded.file.limits;
                let limits = Limits {
                    line: settings.line_bytes,
                    fields: settings.fields,
                    head: settings.head_bytes,
                    body: MAX_PROBE_BODY_BYTES,
                };
                let timeout = Duration::from_millis(settings.connect_ms);
                let connection_path = BudgetedPath::probe(&pool, server);
                let ended = upstream::probe(&connection_path, server, &path, &limits, timeout).await;
                if let Some(response) = ended.response {
                    let ready = response.head.one(NOT_RUN_FIELD) != Some("draining");
                    rules.task.guard().record_report(&address, now, ready);
                    let _ = probe_ended.try_send(());
                }
            };
            self.executor.spawn(probe).detach();
        }
    }

    /// Reports the canary verdict to the replicas if it has changed.
    fn report_canary(&mut self) {
        let now = self.rules.clock.now();
        // Attempts count for the canary only while the lease is on a single version.
        let single_version = {
            let guard = self.rules.task.guard();
            match guard.view().at(now).0 {
                RuleSource::Lease(versions, _) if versions.len() == 1 => versions.first().copied(),
                _ => None,
            }
        };
        let mut verdict = None;
        self.rules.with_canary(|canary| {
            canary.set_version(now, single_version);
            verdict = canary.verdict(now);
        });
        if let Some(changed) = verdict.filter(|verdict| self.reported != Some(*verdict)) {
            if self.rules.task.send(Command::ReportCanary(changed)) {
                self.reported = verdict;
            }
        }
    }
}
