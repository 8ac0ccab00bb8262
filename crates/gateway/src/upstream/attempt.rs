//! Attempts at servers and probes of them: the bytes of the request, and the outcome that the end of the exchange proves.

use crate::engine::Client;
use crate::fleet_rules::AttemptCheck;
use frostgauge::{Load, Status};
use frostgauge_net::{exchange_by, End, Response, Way};
use frostgauge_proto::http::{write_request, Body, Head, Limits};
use frostgauge_proto::{orca, trace};
use std::borrow::Cow;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

/// The response field by which a server states that it did not run a request: `full` or `draining`, with status 503. A
/// 503 without the field proves nothing, because the request may have run.
pub const NOT_RUN_FIELD: &str = "frostgauge-not-run";

/// A client's request to be forwarded to a server.
#[derive(Clone, Debug)]
pub struct Forward {
    /// The client's request head.
    pub head: Head,
    /// Path and query of the request target.
    pub target: String,
    /// The request's content.
    pub body: Vec<u8>,
    /// The client's address, appended to the `Forwarded` field; `None` leaves the field as it came.
    pub client: Option<IpAddr>,
}

/// Whether the gateway sets a request field itself or withholds it from servers; a client's token above all is not
/// forwarded.
fn is_replaced(name: &str) -> bool {
    name.starts_with("frostgauge-")
        || ["host", "content-length", "authorization", "expect", "forwarded", "traceparent"].contains(&name)
}

impl Forward {
    /// The bytes of the request for a server: `request_number` is unique over the fleet, `attempt` counts the attempts
    /// of the request, and `span_id` identifies this attempt in the trace.
    pub fn bytes(
        &self,
        to: SocketAddr,
        tenant: &str,
        request_number: &str,
        attempt: u32,
        span_id: u64,
    ) -> Vec<u8> {
        let host = to.to_string();
        let attempt = attempt.to_string();
        let traceparent = trace::hop(self.head.one("traceparent"), u128::from(span_id) << 32 | 1, span_id);
        let mut forwarded: String = self.head.all("forwarded").fold(String::new(), |mut list, value| {
            list += &String::from_utf8_lossy(value);
            list += ", ";
            list
        });
        if let Some(client) = self.client {
            forwarded += &trace::forwarded(client);
        } else {
            forwarded.truncate(forwarded.len().saturating_sub(2));
        }
        let mut own_fields: Vec<(&str, &[u8])> = vec![
            ("host", host.as_bytes()),
            ("traceparent", traceparent.as_bytes()),
            ("frostgauge-insurer", tenant.as_bytes()),
            ("frostgauge-request", request_number.as_bytes()),
            ("frostgauge-attempt", attempt.as_bytes()),
        ];
        if !forwarded.is_empty() {
            own_fields.push(("forwarded", forwarded.as_bytes()));
        }
        let client_fields =
            self.head.fields().filter(|(name, _)| !is_replaced(name) && !self.head.hop_by_hop(name));
        let mut out = Vec::with_capacity(512 + self.body.len());
        let without_content = self.body.is_empty() && matches!(self.head.method(), "GET" | "HEAD" | "DELETE");
        let body = if without_content { Body::None } else { Body::Whole(&self.body) };
        write_request(
            &mut out,
            self.head.method(),
            &self.target,
            own_fields.into_iter().chain(client_fields),
            body,
        );
        out
    }
}

/// How an attempt ended, for the core.
#[derive(Debug)]
pub struct AttemptOutcome {
    /// Whether the request succeeded, failed, was rejected or was not sent.
    pub status: Status,
    /// The response; `None` if none was received completely.
    pub response: Option<Box<Response>>,
    /// The tenant's use of its quota, as the server reported it.
    pub quota_use: Option<f64>,
    /// The server's load, as the server reported it.
    pub load: Option<Load>,
}

/// The outcome that the end of an exchange proves. After a broken connection, a malformed response or a 503 without
/// [`NOT_RUN_FIELD`] the request may have run.
fn outcome_of(end: End) -> AttemptOutcome {
    let without_response = |status| AttemptOutcome { status, response: None, quota_use: None, load: None };
    let response = match end {
        End::Answered(response) => response,
        End::NotConnected => return without_response(Status::ConnectFailed),
        End::NotTried => return without_response(Status::NotSent),
        End::Broken => return without_response(Status::Reset),
        End::TimedOut => return without_response(Status::Timeout),
    };
    let proven_not_run = matches!(response.head.one(NOT_RUN_FIELD), Some("full" | "draining"));
    let status = match response.head.status() {
        503 if proven_not_run => Status::Rejected,
        500.. => Status::Error,
        _ => Status::Ok,
    };
    let report = response.head.one(orca::FIELD).map(orca::Report::read);
    let load = report.map(|r| Load {
        inflight: r.inflight,
        queue: r.queue,
        util: r.utilization,
        latency_ms: r.latency_ms,
    });
    let load = load.filter(|l| *l != Load::default());
    AttemptOutcome { status, response: Some(response), quota_use: report.and_then(|r| r.quota_use), load }
}

/// A request to be sent to a server in one attempt.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// The bytes of head and content.
    pub bytes: Vec<u8>,
    /// Whether the method is HEAD, so that the response has no content.
    pub to_head: bool,
    /// The check against the fleet's rules right before the first byte is sent; `None` without such rules.
    pub final_check: Option<AttemptCheck>,
    /// The client; once it has disconnected, the request is not sent.
    pub client: Option<Client>,
}

/// Sends a request to a server once, unless its client has disconnected or the fleet's rules forbid it, and waits for the
/// response until `deadline`; `connect` bounds the time to establish a connection.
pub async fn attempt<W: Way>(
    way: &W,
    mut request: OutgoingRequest,
    limits: &Limits,
    connect: Duration,
    deadline: Instant,
) -> AttemptOutcome {
    let OutgoingRequest { bytes, to_head, final_check, client } = &mut request;
    let checked_bytes = || match final_check {
        // The connection may be established only after the client has disconnected.
        _ if client.as_ref().is_some_and(Client::is_disconnected) => None,
        Some(check) => check.stamp(bytes),
        None => Some(Cow::Borrowed(&bytes[..])),
    };
    let outcome = outcome_of(exchange_by(way, checked_bytes, *to_head, limits, connect, deadline).await);
    if let Some(check) = &request.final_check {
        check.record_end(&outcome);
    }
    outcome
}

/// Probes a server with a GET of `path`. `timeout` bounds both connecting and the whole probe.
pub async fn probe<W: Way>(
    way: &W,
    to: SocketAddr,
    path: &str,
    limits: &Limits,
    timeout: Duration,
) -> AttemptOutcome {
    let mut request = Vec::new();
    let host = to.to_string();
    let fields = [("host", host.as_bytes())];
    write_request(&mut request, "GET", path, fields.into_iter(), Body::None);
    let bytes = || Some(Cow::Borrowed(&request[..]));
    outcome_of(exchange_by(way, bytes, false, limits, timeout, Instant::now() + timeout).await)
}
