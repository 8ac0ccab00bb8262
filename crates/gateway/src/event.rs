//! What comes into the core, and what it wants done.

use crate::clock::Micros;
use crate::reply::GatewayAnswer;
use frostgauge::{CounterId, Load, ServerId, Status};
use frostgauge_identity::{Answer, Grant, TokenName};
use frostgauge_settings::Tenant;
use frostgauge_zones::ZoneChange;
use std::sync::Arc;

/// Number of a call, unique within one process.
pub type CallId = u64;

/// What the core has to know about a call.
#[derive(Clone, Debug)]
pub struct CallMetadata {
    /// Its number; never used twice.
    pub call_id: CallId,
    /// Digest of its token.
    pub token: TokenName,
    /// Index of its class.
    pub class: usize,
    /// Units it takes from the quota.
    pub units: f64,
    /// The scope that its token must have, or empty.
    pub scope: Arc<str>,
    /// When the request was complete, µs.
    pub arrived: Micros,
    /// Its client's timeout, counted from then, µs.
    pub timeout: Micros,
    /// Its client marked it as a retry.
    pub is_retry: bool,
}

/// An event for the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request is complete.
    Call(CallMetadata),
    /// A request is complete, and its tenant is known: no token is checked.
    AuthenticatedCall {
        /// The request.
        metadata: CallMetadata,
        /// Its tenant.
        tenant: Tenant,
    },
    /// A call's client closed its connection.
    ClientGone {
        /// Which.
        call_id: CallId,
    },
    /// An introspection request ended.
    Introspected {
        /// Which.
        flight: u64,
        /// The answer.
        answer: Option<Answer>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        call_id: CallId,
        /// Its attempt, from 0.
        attempt: u32,
        /// Where it went.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time since it was sent, µs.
        took: Micros,
        /// The tenant's usage as the answer reports it.
        used: Option<f64>,
        /// The load that the answer reports.
        load: Option<Load>,
    },
    /// Result of a probe.
    Probed {
        /// The node.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// The load that it reports.
        load: Option<Load>,
    },
    /// Result of a health check of a server in an unavailable zone.
    Checked {
        /// The node.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time since it was sent, µs.
        took: Micros,
    },
    /// A call of the shared counter ended.
    CounterReplied {
        /// The number's name.
        counter: CounterId,
        /// The total, or none.
        total: Option<f64>,
        /// It may have been added.
        unsure: bool,
        /// Time since the call.
        took: Micros,
    },
    /// An administrator drains or restores a zone.
    DrainZone {
        /// Its index.
        zone: u32,
        /// Out of use.
        drained: bool,
    },
    /// A message of another gateway.
    Peer {
        /// Its number.
        from: usize,
        /// The message.
        data: Vec<u8>,
    },
}

/// Something for the host to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// CallMetadata the introspection server, and hand in `Introspected` exactly once.
    Introspect {
        /// The question's number.
        flight: u64,
        /// The token's name.
        token: TokenName,
        /// How long to wait.
        timeout: Micros,
    },
    /// Start an attempt, and hand in `AttemptEnded` exactly once.
    Send {
        /// The request.
        call_id: CallId,
        /// Its attempt.
        attempt: u32,
        /// Where to.
        server: ServerId,
        /// Its time-out.
        timeout: Micros,
        /// Whose request it is.
        grant: Arc<Grant>,
    },
    /// Cancel an attempt; its end is still handed in.
    Cancel {
        /// The request.
        call_id: CallId,
        /// Its attempt.
        attempt: u32,
    },
    /// GatewayAnswer answer: what this attempt brought.
    Deliver {
        /// The request.
        call_id: CallId,
        /// Its attempt.
        attempt: u32,
    },
    /// GatewayAnswer answer: the gateway's own.
    Answer {
        /// The request.
        call_id: CallId,
        /// What to say.
        answer: GatewayAnswer,
    },
    /// Probe a node.
    Probe {
        /// Which.
        server: ServerId,
    },
    /// Check the health of a server in an unavailable zone, and hand in `Checked`.
    Check {
        /// Which.
        server: ServerId,
    },
    /// A zone changed, for the log.
    Zone(ZoneChange),
    /// Send a message to another gateway.
    SendToPeer {
        /// Its number.
        to: usize,
        /// The message.
        data: Vec<u8>,
    },
    /// Add to a number of the shared counter, and hand in `CounterReplied` exactly once.
    AddToCounter {
        /// Its name.
        counter: CounterId,
        /// Units.
        amount: f64,
        /// Lifetime of a new name, µs.
        ttl: Micros,
    },
    /// A line for the log.
    Log(String),
}
