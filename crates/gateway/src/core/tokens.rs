//! Verdicts on tokens, and what becomes of the calls that wait for them.

use super::calls::{OpenCall, Stage};
use super::Core;
use crate::clock::Micros;
use crate::event::{CallId, Command};
use crate::reply::GatewayAnswer;
use frostgauge::{Event, RequestId};
use frostgauge_identity::{Grant, Outcome, Step, TokenHash};
use frostgauge_proto::bearer::Denied;
use std::sync::Arc;

impl Core {
    /// Executes the steps that `identity` returned.
    pub(super) fn execute_steps(&mut self, now: Micros, mut steps: Vec<Step>, out: &mut Vec<Command>) {
        for step in steps.drain(..) {
            match step {
                Step::Introspect { flight, token, timeout } => {
                    out.push(Command::Introspect { flight, token, timeout });
                }
                Step::Release { waiter, outcome } => match outcome {
                    Outcome::Granted(grant) => self.token_granted(now, waiter, grant, out),
                    Outcome::Denied => self.answer(waiter, GatewayAnswer::Denied(Denied::Invalid), out),
                    Outcome::Unavailable { retry_after } => {
                        self.answer(waiter, GatewayAnswer::TokenUnverified { retry_after }, out);
                    }
                },
                Step::Revoked { token } => self.token_revoked(now, token, out),
            }
        }
        self.steps = steps;
    }

    /// Submits a call whose token was found valid, if scope, tenant and admission rules allow it.
    fn token_granted(&mut self, now: Micros, call_id: CallId, grant: Arc<Grant>, out: &mut Vec<Command>) {
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let metadata = &call.metadata;
        if !metadata.scope.is_empty() && !grant.scopes.iter().any(|scope| **scope == *metadata.scope) {
            return self.answer(call_id, GatewayAnswer::Denied(Denied::Scope), out);
        }
        let configured = self.tenants.get(&grant.subject).copied();
        let admitted = match &mut self.admission {
            Some(admission) => admission.admit(now, &grant.subject, metadata.class, configured),
            None => configured.ok_or(GatewayAnswer::UnknownTenant),
        };
        match admitted {
            Ok(tenant) => self.submit(now, call_id, grant, tenant, out),
            Err(answer) => self.answer(call_id, answer, out),
        }
    }

    /// Denies the calls with this token of which no attempt was sent: the library must not hold a request for longer
    /// than its token is valid.
    fn token_revoked(&mut self, now: Micros, token: TokenHash, out: &mut Vec<Command>) {
        let unsent = |call: &OpenCall| {
            call.metadata.token == token && call.attempts == 0 && matches!(call.stage, Stage::Submitted(_))
        };
        let denied: Vec<CallId> =
            self.calls.iter().filter(|(_, call)| unsent(call)).map(|(call_id, _)| *call_id).collect();
        for call_id in denied {
            self.answer(call_id, GatewayAnswer::Denied(Denied::Invalid), out);
            self.decide(now, Event::ClientDisconnected { id: RequestId(call_id) }, out);
        }
    }
}
