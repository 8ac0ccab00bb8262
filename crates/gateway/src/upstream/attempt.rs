//! An attempt at a node, and a probe: what goes out, and what the end says.

use crate::engine::Client;
use crate::fleet_rules::AttemptCheck;
use frostgauge::{Load, Status};
use frostgauge_net::{exchange_by, End, Response, Way};
use frostgauge_proto::http::{write_request, Body, Head, Limits};
use frostgauge_proto::{orca, trace};
use std::borrow::Cow;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

/// The response field by which a node proves that a request never ran: `full` or `draining`, with 503. A 503
/// without it proves nothing.
pub const NOT_RUN_FIELD: &str = "frostgauge-not-run";

/// A client's request, as it is passed on.
#[derive(Clone, Debug)]
pub struct Forward {
    /// Its head.
    pub head: Head,
    /// Path and query.
    pub target: String,
    /// Its content.
    pub body: Vec<u8>,
    /// The client's address.
    pub client: Option<IpAddr>,
}

/// Fields that the gateway sets itself, or that are not a node's business: the token above all.
fn own(name: &str) -> bool {
    name.starts_with("frostgauge-")
        || ["host", "content-length", "authorization", "expect", "forwarded", "traceparent"].contains(&name)
}

impl Forward {
    /// The request's bytes for a node.
    pub fn bytes(&self, to: SocketAddr, insurer: &str, number: &str, attempt: u32, span: u64) -> Vec<u8> {
        let host = to.to_string();
        let attempt = attempt.to_string();
        let hop = trace::hop(self.head.one("traceparent"), u128::from(span) << 32 | 1, span);
        let mut via: String = self.head.all("forwarded").fold(String::new(), |mut all, value| {
            all += &String::from_utf8_lossy(value);
            all += ", ";
            all
        });
        if let Some(client) = self.client {
            via += &trace::forwarded(client);
        } else {
            via.truncate(via.len().saturating_sub(2));
        }
        let mut set: Vec<(&str, &[u8])> = vec![
            ("host", host.as_bytes()),
            ("traceparent", hop.as_bytes()),
            ("frostgauge-insurer", insurer.as_bytes()),
            ("frostgauge-request", number.as_bytes()),
            ("frostgauge-attempt", attempt.as_bytes()),
        ];
        if !via.is_empty() {
            set.push(("forwarded", via.as_bytes()));
        }
        let passed = self.head.fields().filter(|(name, _)| !own(name) && !self.head.hop_by_hop(name));
        let mut out = Vec::with_capacity(512 + self.body.len());
        let none = self.body.is_empty() && matches!(self.head.method(), "GET" | "HEAD" | "DELETE");
        let body = if none { Body::None } else { Body::Whole(&self.body) };
        write_request(&mut out, self.head.method(), &self.target, set.into_iter().chain(passed), body);
        out
    }
}

/// How an attempt ended, as the decisions take it.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// The status.
    pub status: Status,
    /// The response, when there is one.
    pub response: Option<Box<Response>>,
    /// The insurer's use of its rate.
    pub quota_use: Option<f64>,
    /// The node's load.
    pub load: Option<Load>,
}

/// What an end proves. A connection that broke, a bare 503 and a response that makes no sense prove nothing:
/// the request may have run.
fn ended(end: End) -> AttemptOutcome {
    let bare = |status| AttemptOutcome { status, response: None, quota_use: None, load: None };
    let response = match end {
        End::Answered(response) => response,
        End::NotConnected => return bare(Status::ConnectFailed),
        End::NotTried => return bare(Status::NotSent),
        End::Broken => return bare(Status::Reset),
        End::TimedOut => return bare(Status::Timeout),
    };
    let proof = matches!(response.head.one(NOT_RUN_FIELD), Some("full" | "draining"));
    let status = match response.head.status() {
        503 if proof => Status::Rejected,
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

/// A request as it goes to a node.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// It is a HEAD: the response has no content.
    pub to_head: bool,
    /// The last look at the fleet's rules, right before the bytes go.
    pub final_check: Option<AttemptCheck>,
    /// Whose it is; nothing of it goes out once that client has gone.
    pub client: Option<Client>,
}

/// Makes an attempt.
pub async fn attempt<W: Way>(
    way: &W,
    mut request: OutgoingRequest,
    limits: &Limits,
    connect: Duration,
    deadline: Instant,
) -> AttemptOutcome {
    let OutgoingRequest { bytes, to_head, final_check, client } = &mut request;
    let last = || match final_check {
        // Guards against a connection that comes up late, after its client has gone.
        _ if client.as_ref().is_some_and(Client::has_gone) => None,
        Some(check) => check.stamp(bytes),
        None => Some(Cow::Borrowed(&bytes[..])),
    };
    let ended = ended(exchange_by(way, last, *to_head, limits, connect, deadline).await);
    if let Some(check) = &request.final_check {
        check.record_end(&ended);
    }
    ended
}

/// Probes a node: a GET of the settings' path, given up after the time for connecting.
pub async fn probe<W: Way>(
    way: &W,
    to: SocketAddr,
    path: &str,
    limits: &Limits,
    patience: Duration,
) -> AttemptOutcome {
    let mut request = Vec::new();
    let host = to.to_string();
    let fields = [("host", host.as_bytes())];
    write_request(&mut request, "GET", path, fields.into_iter(), Body::None);
    let look = || Some(Cow::Borrowed(&request[..]));
    ended(exchange_by(way, look, false, limits, patience, Instant::now() + patience).await)
}
