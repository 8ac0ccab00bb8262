//! Events for the decision library, and the commands that its actions become.

use super::calls::Stage;
use super::Core;
use crate::clock::Micros;
use crate::event::{CallId, Command};
use crate::reply::{FailureReason, GatewayAnswer};
use frostgauge::{Action, Event, RejectReason, RequestId, ServerId, Status};

/// Returns a number in [0, 1) that differs between calls, so that rejected clients do not all retry at the same time.
fn jitter(call_id: CallId) -> f64 {
    (call_id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11) as f64 / (1u64 << 53) as f64
}

impl Core {
    /// Hands an event to the decision library and converts its actions into commands.
    pub(super) fn decide(&mut self, now: Micros, event: Event, out: &mut Vec<Command>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.library.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute_action(action, out);
        }
        self.actions = actions;
    }

    fn execute_action(&mut self, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::Send { id, server, timeout } => self.send(id, server, timeout, out),
            Action::Reject { id, retry_after, reason } => self.reject(id, retry_after, reason, out),
            Action::Fail { id } => self.fail(id, out),
            Action::Cancel { id, attempt } => out.push(Command::Cancel { call_id: id.0, attempt }),
            Action::Timer { at, timer } => self.timers.set(at, timer),
            Action::Probe { server } => out.push(Command::Probe { server }),
            Action::SendToPeer { to, data } => out.push(Command::SendToPeer { to, data }),
            Action::AddToCounter { counter, amount, ttl } => {
                out.push(Command::AddToCounter { counter, amount, ttl });
            }
            // The host hands in every list of servers unasked, so there is nothing to subscribe to.
            Action::SubscribeToServers => {}
            Action::Log { text } => out.push(Command::Log(text)),
        }
    }

    /// Starts the next attempt of a call.
    fn send(&mut self, id: RequestId, server: ServerId, timeout: Micros, out: &mut Vec<Command>) {
        let Some(call) = self.calls.get_mut(&id.0) else { return };
        let Stage::Submitted(grant) = &call.stage else { return };
        let (attempt, grant) = (call.attempts, grant.clone());
        call.attempts += 1;
        out.push(Command::Send { call_id: id.0, attempt, server, timeout, grant });
    }

    fn reject(&mut self, id: RequestId, retry_after: Micros, why: RejectReason, out: &mut Vec<Command>) {
        let zones = self.library.gate.zones.as_ref().filter(|_| why == RejectReason::ZoneClosed);
        let retry_after = zones.map_or(retry_after, |zones| zones.retry_after(jitter(id.0)));
        self.answer(id.0, GatewayAnswer::Rejected { why, retry_after }, out);
    }

    fn fail(&mut self, id: RequestId, out: &mut Vec<Command>) {
        let last_status = self.calls.get(&id.0).and_then(|call| call.last_status);
        let reason = match last_status {
            Some(Status::Error) => FailureReason::ServerError,
            Some(Status::Reset) => FailureReason::ConnectionBroken,
            _ => FailureReason::Timeout,
        };
        self.answer(id.0, GatewayAnswer::Failed(reason), out);
    }
}
