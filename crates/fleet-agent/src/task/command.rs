//! Commands to the task of the fleet agent, and the handle that sends them.

use crate::attempt_guard::AttemptGuard;
use crate::canary::CanaryVerdict;
use async_channel::Sender;
use frostgauge_consensus::{Message, Outcome, Proposal, Rules, VersionNumber};
use frostgauge_net::{until, Timed};
use serde_json::Value;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The rules of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedRules {
    /// Number of the version.
    pub number: VersionNumber,
    /// Rules of the version.
    pub rules: Rules,
}

/// A command to the task.
#[derive(Debug)]
pub enum Command {
    /// Report a verdict on a version to the replicas.
    ReportCanary(CanaryVerdict),
    /// Send an editor's proposal to the replicas. The reply is its outcome; none: the outcome is not known after 15 s, or
    /// too many proposals are pending. The proposal may still be accepted later; sending it again with the same id returns
    /// its outcome.
    Propose(Box<Proposal>, Sender<Option<Outcome>>),
    /// Send an operator's message to every replica.
    Broadcast(Message),
    /// Request a lease now instead of at the next interval, because something to report has changed.
    RequestLease,
    /// Reply with the state of the process as JSON.
    Status(Sender<Value>),
    /// Reply with the shares of the connection budgets as JSON; none: this process has no running replica, or the
    /// fallback version has no budgets.
    BudgetShares(Sender<Option<Value>>),
    /// Reply with the rules of a version, or of the latest known version if no number is given; none: the version is not
    /// known here.
    Version(Option<VersionNumber>, Sender<Option<NumberedRules>>),
    /// End the task.
    Stop,
}

/// Sends commands to a running task and gives access to its guard.
#[derive(Clone, Debug)]
pub struct TaskHandle {
    pub(super) commands: Sender<Command>,
    pub(super) guard: Arc<Mutex<AttemptGuard>>,
}

impl TaskHandle {
    /// Locks the guard of the gateway's attempts. The lock must be held only briefly, because every attempt needs it.
    pub fn guard(&self) -> MutexGuard<'_, AttemptGuard> {
        // No code is known to panic while it holds the lock; if one did, the guard's state would still be usable.
        self.guard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a command; false if the task has ended or its queue is full.
    pub fn send(&self, command: Command) -> bool {
        self.commands.try_send(command).is_ok()
    }

    /// Sends a command and waits for the reply. None: the task has ended, or it has not replied within the timeout.
    pub async fn request<T>(
        &self,
        command: impl FnOnce(Sender<T>) -> Command,
        timeout: Duration,
    ) -> Option<T> {
        let (reply, response) = async_channel::bounded(1);
        self.commands.send(command(reply)).await.ok()?;
        match until(Instant::now() + timeout, response.recv()).await {
            Timed::Done(response) => response.ok(),
            Timed::Late => None,
        }
    }
}
