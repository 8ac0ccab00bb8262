//! Inputs of the core and the commands that it returns.

use crate::clock::Micros;
use crate::reply::GatewayAnswer;
use frostgauge::{CounterId, Load, ServerId, Status};
use frostgauge_identity::{Grant, TokenHash, Verdict};
use frostgauge_settings::Tenant;
use frostgauge_zones::ZoneChange;
use std::sync::Arc;

/// Number of a call, unique within one process.
pub type CallId = u64;

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Number of the call.
    pub call_id: CallId,
    /// Number of the attempt within the call, from 0.
    pub attempt: u32,
    /// The server that it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub status: Status,
    /// Time since it was sent, µs.
    pub elapsed: Micros,
    /// The tenant's usage, if the response reports it.
    pub usage: Option<f64>,
    /// The server's load, if the response reports it.
    pub load: Option<Load>,
}

/// Properties of a call that the core decides by.
#[derive(Clone, Debug)]
pub struct CallMetadata {
    /// Number of the call; never reused.
    pub call_id: CallId,
    /// Digest of the call's token.
    pub token: TokenHash,
    /// Index of the request's class.
    pub class: usize,
    /// Units charged to the tenant's quota.
    pub units: f64,
    /// The scope that the token must have; empty if none is required.
    pub scope: Arc<str>,
    /// When the request had been read completely, µs.
    pub arrived: Micros,
    /// The client's timeout, counted from `arrived`, µs.
    pub timeout: Micros,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
}

/// An event for the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request has been read completely; its token is to be checked.
    Call(CallMetadata),
    /// A request has been read completely, and its tenant is known: no token is checked.
    AuthenticatedCall {
        /// The request.
        metadata: CallMetadata,
        /// The request's tenant.
        tenant: Tenant,
    },
    /// A call's client closed its connection.
    ClientDisconnected {
        /// Number of the call.
        call_id: CallId,
    },
    /// An introspection request ended.
    Introspected {
        /// Number of the introspection request, from [`Command::Introspect`].
        flight: u64,
        /// The introspection server's answer; `None` if it gave no usable one.
        answer: Option<Verdict>,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A probe ended.
    Probed {
        /// The probed server.
        server: ServerId,
        /// How the probe ended.
        status: Status,
        /// The server's load, if the response reports it.
        load: Option<Load>,
    },
    /// A health check of a server in an unavailable zone ended.
    HealthChecked {
        /// The checked server.
        server: ServerId,
        /// How the check ended.
        status: Status,
        /// Time since it was sent, µs.
        elapsed: Micros,
    },
    /// A call of the shared counter ended.
    CounterReplied {
        /// The counter.
        counter: CounterId,
        /// The counter's total after the addition; `None` if the call failed.
        total: Option<f64>,
        /// Whether a failed call may nevertheless have been added.
        may_have_added: bool,
        /// Time since the call was sent, µs.
        elapsed: Micros,
    },
    /// An administrator drains or restores a zone.
    DrainZone {
        /// Index of the zone.
        zone: u32,
        /// True to drain the zone, false to restore it.
        drained: bool,
    },
    /// A message from another gateway arrived.
    PeerMessage {
        /// Number of the sending gateway.
        from: usize,
        /// The encoded message.
        data: Vec<u8>,
    },
}

/// An action for the host; the host executes commands in the order in which the core returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an introspection request, and hand in [`Input::Introspected`] exactly once.
    Introspect {
        /// Number of the introspection request.
        flight: u64,
        /// Digest of the token.
        token: TokenHash,
        /// Timeout of the request, µs.
        timeout: Micros,
    },
    /// Start an attempt, and hand in [`Input::AttemptEnded`] exactly once.
    Send {
        /// Number of the call.
        call_id: CallId,
        /// Number of the attempt within the call, from 0.
        attempt: u32,
        /// The server to send to.
        server: ServerId,
        /// Timeout of the attempt, µs.
        timeout: Micros,
        /// The caller's verified identity and scopes; empty if no token was checked.
        grant: Arc<Grant>,
    },
    /// Cancel an attempt; its end is still handed in.
    Cancel {
        /// Number of the call.
        call_id: CallId,
        /// Number of the attempt within the call.
        attempt: u32,
    },
    /// Send the client the response of this attempt as the final answer.
    Deliver {
        /// Number of the call.
        call_id: CallId,
        /// Number of the attempt within the call.
        attempt: u32,
    },
    /// Send the client a final answer of the gateway's own.
    Answer {
        /// Number of the call.
        call_id: CallId,
        /// The answer.
        answer: GatewayAnswer,
    },
    /// Probe a server, and hand in [`Input::Probed`].
    Probe {
        /// The server to probe.
        server: ServerId,
    },
    /// Check the health of a server in an unavailable zone, and hand in [`Input::HealthChecked`].
    CheckHealth {
        /// The server to check.
        server: ServerId,
    },
    /// Log that a zone's state changed.
    LogZoneChange(ZoneChange),
    /// Send a message to another gateway.
    SendToPeer {
        /// Number of the receiving gateway.
        to: usize,
        /// The encoded message.
        data: Vec<u8>,
    },
    /// Add to a shared counter, and hand in [`Input::CounterReplied`] exactly once.
    AddToCounter {
        /// The counter.
        counter: CounterId,
        /// Units to add.
        amount: f64,
        /// Lifetime of the counter if the addition creates it, µs.
        ttl: Micros,
    },
    /// Write a line of the decision library to the log.
    Log(String),
}
