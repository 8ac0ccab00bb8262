//! Calls from their registration to their final answer.

use super::Core;
use crate::clock::Micros;
use crate::event::{AttemptEnd, CallId, CallMetadata, Command};
use crate::reply::GatewayAnswer;
use frostgauge::{Event, RejectReason, RequestId, Status};
use frostgauge_identity::Grant;
use frostgauge_settings::Tenant;
use std::sync::Arc;

/// How far a call without its final answer has come.
#[derive(Debug)]
pub(super) enum Stage {
    /// The call waits for the verdict on its token.
    AwaitingVerdict,
    /// The decision library has the request; the grant is sent along with each attempt.
    Submitted(Arc<Grant>),
}

/// State of a call without its final answer.
#[derive(Debug)]
pub(super) struct OpenCall {
    pub(super) metadata: CallMetadata,
    pub(super) stage: Stage,
    /// Number of attempts sent so far.
    pub(super) attempts: u32,
    /// Status of the attempt that ended last.
    pub(super) last_status: Option<Status>,
}

/// Numbers of calls by outcome, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallStats {
    /// Calls handed in, whatever their outcome.
    pub accepted: u64,
    /// Calls answered with a server's response.
    pub served: u64,
    /// Calls rejected: no attempt has run, so a retry is safe.
    pub rejected: u64,
    /// Calls that failed: an attempt may have run.
    pub failed: u64,
    /// Calls denied because of their token or tenant (401 or 403).
    pub denied: u64,
    /// Calls whose client closed its connection before the final answer.
    pub abandoned: u64,
}

impl Core {
    /// Registers a call and has its token checked.
    pub(super) fn call(&mut self, now: Micros, metadata: CallMetadata, out: &mut Vec<Command>) {
        let (call_id, token) = (metadata.call_id, metadata.token);
        let Some(timeout) = self.accept(now, metadata, out) else { return };
        let mut steps = std::mem::take(&mut self.steps);
        self.identity.check(now, call_id, token, timeout, &mut steps);
        self.execute_steps(now, steps, out);
    }

    /// Submits a call whose tenant is already known; it needs no verdict.
    pub(super) fn authenticated_call(
        &mut self,
        now: Micros,
        metadata: CallMetadata,
        tenant: Tenant,
        out: &mut Vec<Command>,
    ) {
        let call_id = metadata.call_id;
        if self.accept(now, metadata, out).is_some() {
            self.submit(now, call_id, self.empty_grant.clone(), tenant, out);
        }
    }

    /// Registers a call. Returns what is left of its timeout, µs, or `None` if the call was rejected at once.
    fn accept(&mut self, now: Micros, metadata: CallMetadata, out: &mut Vec<Command>) -> Option<Micros> {
        self.stats.accepted += 1;
        let call_id = metadata.call_id;
        // The time that the call was queued and the margin for sending the answer count against its timeout.
        let elapsed = now.saturating_sub(metadata.arrived) + self.answer_margin;
        let timeout = metadata.timeout.saturating_sub(elapsed);
        let full = self.calls.len() >= self.max_open_calls;
        self.calls.insert(
            call_id,
            OpenCall { metadata, stage: Stage::AwaitingVerdict, attempts: 0, last_status: None },
        );
        if timeout == 0 || full {
            let why = if full { RejectReason::Overloaded } else { RejectReason::DeadlineExceeded };
            self.answer(call_id, GatewayAnswer::Rejected { why, retry_after: 0 }, out);
            return None;
        }
        Some(timeout)
    }

    /// Ends a call whose client has closed its connection.
    pub(super) fn client_disconnected(&mut self, now: Micros, call_id: CallId, out: &mut Vec<Command>) {
        let Some(call) = self.calls.remove(&call_id) else { return };
        self.stats.abandoned += 1;
        match call.stage {
            Stage::AwaitingVerdict => self.identity.client_left(call_id),
            Stage::Submitted(_) => {
                self.decide(now, Event::ClientDisconnected { id: RequestId(call_id) }, out)
            }
        }
    }

    /// Answers a call, unless it has been answered.
    pub(super) fn answer(&mut self, call_id: CallId, answer: GatewayAnswer, out: &mut Vec<Command>) {
        if self.calls.remove(&call_id).is_none() {
            return;
        }
        match answer {
            GatewayAnswer::Denied(_) | GatewayAnswer::UnknownTenant | GatewayAnswer::NotAllowed => {
                self.stats.denied += 1
            }
            GatewayAnswer::TokenUnverified { .. }
            | GatewayAnswer::FallbackRulesOnly { .. }
            | GatewayAnswer::Rejected { .. } => {
                self.stats.rejected += 1;
            }
            GatewayAnswer::Failed(_) => self.stats.failed += 1,
        }
        out.push(Command::Answer { call_id, answer });
    }

    /// Hands a call whose tenant is known to the decision library.
    pub(super) fn submit(
        &mut self,
        now: Micros,
        call_id: CallId,
        grant: Arc<Grant>,
        tenant: Tenant,
        out: &mut Vec<Command>,
    ) {
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let metadata = &call.metadata;
        let elapsed = now.saturating_sub(metadata.arrived) + self.answer_margin;
        let event = Event::Request {
            id: RequestId(call_id),
            class: metadata.class,
            plan: tenant.plan,
            customer: tenant.id,
            timeout: metadata.timeout.saturating_sub(elapsed),
            units: metadata.units,
            subset_size: tenant.subset_size,
            subset_start: tenant.subset_start,
            is_retry: metadata.is_retry,
        };
        call.stage = Stage::Submitted(grant);
        self.decide(now, event, out);
    }

    /// Delivers the response of an attempt that served its call, and hands the end to the decision library.
    pub(super) fn attempt_ended(&mut self, now: Micros, end: AttemptEnd, out: &mut Vec<Command>) {
        let AttemptEnd { call_id, attempt, server, status, elapsed, usage, load } = end;
        let is_served = status == Status::Ok;
        let call = self.calls.get_mut(&call_id);
        let request_finished = call.is_none() || is_served;
        if let Some(call) = call {
            call.last_status = Some(status);
            if is_served {
                self.calls.remove(&call_id);
                self.stats.served += 1;
                out.push(Command::Deliver { call_id, attempt });
            }
        }
        self.library.gate.record_end(now, server, status, elapsed, load);
        self.report_zone_changes(out);
        let event = Event::AttemptEnded {
            id: RequestId(call_id),
            attempt,
            server,
            status,
            elapsed,
            request_finished,
            usage,
            settled_units: None,
            load,
        };
        self.decide(now, event, out);
    }
}
