//! Public types: the settings, the events that the host hands in and the actions that it gets back.

/// A point in time or a duration, in microseconds on the clock of the host that drives the gateway.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(/** Id of a client request, assigned by the host; below 2^63 and never reused. */ RequestId(u64));
id!(/** Id of a server; every gateway must use the same id for the same server. */ ServerId(u64));
id!(/** Id of a customer; every gateway must use the same id for the same customer. */ CustomerId(u64));
id!(/** Id of a timer, chosen by the gateway; the host hands it back in [`Event::Timer`]. */ TimerId(u64));
id!(/** Key of a value at the shared counter, the same at every gateway. */ CounterId(u64));

/// Whether a class of request may be attempted again once an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Running the request twice does no harm.
    Idempotent,
    /// Servers that share their idempotency keys run a request with the same key once within a time window.
    Deduplicated {
        /// Which servers share their keys.
        scope: DedupScope,
        /// How long they remember a key, µs from the send of the first attempt that may have run.
        window: Micros,
    },
    /// The request must never run twice.
    NonIdempotent,
}

/// Which servers share the idempotency keys by which they deduplicate requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers of the back end.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of request.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency objective, µs. An answer within it keeps the whole priority weight of its request.
    pub latency_objective: Micros,
    /// How long a client waits for an answer in total, over all its retries of a request, µs.
    pub deadline: Micros,
    /// Share of the priority weight that an answer after the latency objective keeps.
    pub late_weight_share: f64,
    /// Priority weight of one request: under overload, requests of low weight are rejected first.
    pub priority_weight: f64,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// Whether answers are streamed; no decision depends on it.
    pub stream: bool,
}

/// A customer plan. Its limits apply to each of its customers separately, over all gateways together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Quota: units per second that refill its token bucket; 0 means no quota.
    pub rate: f64,
    /// Capacity of the quota's token bucket, units.
    pub burst: f64,
    /// Maximum number of a customer's requests in flight; 0 means no limit.
    pub max_in_flight: u32,
    /// Factor on the priority weight of a request's class.
    pub weight_factor: f64,
    /// Share of its priority weight that a request served beyond the quota keeps.
    pub over_quota_weight_share: f64,
    /// Cost of serving a request beyond the quota, as a share of its priority weight. Such requests are
    /// served only in plans where this is below `over_quota_weight_share`.
    pub over_quota_cost_share: f64,
    /// Units per second that refill the token bucket of the hard ceiling; 0 means no ceiling.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket, units.
    pub ceiling_burst: f64,
    /// Units that the ceiling's token bucket holds beyond `ceiling_burst`.
    pub ceiling_slack: f64,
}

/// How the servers' load reports reach the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReports {
    /// With answers and with the results of probes.
    Answers,
    /// With the results of probes only.
    Probe,
    /// Servers report no load.
    #[default]
    None,
}

/// What the deployment allows a gateway to do, and what its messages, probes and counter calls cost.
#[derive(Clone, Debug, Default)]
pub struct Capabilities {
    /// Servers may be probed.
    pub probes: bool,
    /// Messages to other gateways, its peers, are allowed.
    pub peers: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// A request may have two attempts in flight at once; the gateway makes no use of it.
    pub hedged_requests: bool,
    /// Rejections advise the client how long to wait before a retry.
    pub retry_after: bool,
    /// Maximum of that advice, µs.
    pub max_retry_after: Micros,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Messages per second that a gateway accepts from its peers.
    pub peer_messages_per_s: f64,
    /// Cost of one full peer message per request, as a share of the score by which the deployment is rated;
    /// no decision depends on it.
    pub peer_message_cost: f64,
    /// Cost of one probe per request, as the same share; no decision depends on it.
    pub probe_cost: f64,
    /// The shared counter may be called.
    pub shared_counter: bool,
    /// Cost of one counter call per request, as the same share; no decision depends on it.
    pub counter_call_cost: f64,
    /// Timeout of a counter call, µs; 0 means none.
    pub counter_call_timeout: Micros,
    /// Clients mark their retries, see `is_retry` in [`Event::Request`].
    pub clients_mark_retries: bool,
    /// Period covered by the usage reports that come with answers, µs; 0 means that usage is not reported.
    pub usage_period: Micros,
    /// The units of a request are an estimate, corrected by `settled_units` of [`Event::AttemptEnded`].
    pub settles_units: bool,
    /// How the servers' load reports reach the gateway.
    pub load_reports: LoadReports,
    /// The gateway must subscribe to the list of servers when it starts.
    pub must_subscribe: bool,
}

/// Limits that the back end sets.
#[derive(Clone, Debug, Default)]
pub struct BackendLimits {
    /// How long after the client's deadline a final answer still counts, µs; no decision depends on it.
    pub answer_slack: Micros,
    /// Minimum capacity of a server that has just become ready, as a share of its full capacity.
    pub slow_start_share: f64,
    /// Time from becoming ready until a server has its full capacity, µs; 0 means that it has it at once.
    pub slow_start_time: Micros,
    /// A server that is warming up collapses when it is sent more than this multiple of its present capacity
    /// for `collapse_time`.
    pub collapse_multiple: f64,
    /// How long such an overload lasts until the server collapses, µs.
    pub collapse_time: Micros,
}

/// Settings of one gateway, fixed for its lifetime.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Index of this gateway, from 0 to `gateways` - 1.
    pub gateway_id: usize,
    /// Number of gateways.
    pub gateways: usize,
    /// Index of the zone that this gateway is in.
    pub zone: u32,
    /// Shortest time between two batches of events that the host hands in, µs.
    pub tick: Micros,
    /// Request classes, which requests name by index.
    pub classes: Vec<Class>,
    /// Customer plans, which requests name by index; 256 at most.
    pub plans: Vec<Plan>,
    /// What the deployment allows the gateway to do.
    pub capabilities: Capabilities,
    /// Limits that the back end sets.
    pub backend_limits: BackendLimits,
}

/// A setting that is out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the setting in the settings that operators write, such as `plans[0].rate`.
    pub field: String,
    /// How its value breaks the allowed range; completes a sentence that begins with the path.
    pub reason: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings: {} {}", self.field, self.reason)
    }
}

impl std::error::Error for SettingsError {}

/// State of a server in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Finishes its requests in flight and accepts no new ones.
    Draining,
    /// No longer in the list.
    #[default]
    Removed,
}

/// One entry of the list of servers.
#[derive(Clone, Debug, Default)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Whether it accepts requests.
    pub state: ServerState,
    /// When it last became ready, µs; 0 means long ago.
    pub ready_at: Micros,
    /// Its size relative to other servers; no decision depends on it.
    pub size: f64,
    /// Index of its zone.
    pub zone: u32,
    /// Index of its cell, see [`DedupScope::Cell`].
    pub cell: u32,
}

/// Kind of a server list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The complete list.
    Full,
    /// The complete list as last known; it may be outdated.
    Cached,
    /// Only the entries that changed.
    Delta,
    /// The list could not be fetched: the gateway keeps the list it has and subscribes again.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The server served the request.
    Ok,
    /// The server answered with an error.
    Error,
    /// The server is full and rejected the request without running it.
    Rejected,
    /// There was no answer within the attempt's timeout.
    Timeout,
    /// No connection was established in time.
    ConnectFailed,
    /// The connection broke before the whole request was written, so the request did not run.
    WriteFailed,
    /// The connection broke after the request was written.
    Reset,
    /// This gateway cancelled the attempt.
    Cancelled,
    /// The host did not send the attempt.
    NotSent,
}

impl Status {
    /// Whether an attempt that ended with this status may have run.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Status::Rejected | Status::ConnectFailed | Status::WriteFailed | Status::NotSent)
    }
}

/// A server's load report; `None` for a figure that the server does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in flight at the server, from all gateways.
    pub inflight: Option<f64>,
    /// Requests queued at the server, from all gateways.
    pub queue: Option<f64>,
    /// CPU utilization, 0 to 1.
    pub util: Option<f64>,
    /// Recent service time, ms.
    pub latency_ms: Option<f64>,
}

/// Input of the gateway: an event, handed in by the host.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the server list.
    Servers {
        /// Kind of update.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A client's request arrived.
    Request {
        /// Its id.
        id: RequestId,
        /// Index into [`Settings::classes`].
        class: usize,
        /// Index into [`Settings::plans`].
        plan: usize,
        /// The customer that sent it.
        customer: CustomerId,
        /// How long the client waits for the answer to this request, µs.
        timeout: Micros,
        /// Units of the customer's quota that it uses.
        units: f64,
        /// Number of gateways in the customer's subset: only these receive the customer's requests.
        subset_size: usize,
        /// Index of the first gateway of that subset; the others follow in order, after the last one from 0.
        subset_start: usize,
        /// The client marked the request as a retry of an earlier one.
        is_retry: bool,
    },
    /// A streamed answer has begun: the request can no longer be retried, nor answered by the gateway.
    AnswerStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Index of the attempt among those of the request, in the order of sending.
        attempt: u32,
        /// The server it was sent to.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time since it was sent, µs.
        elapsed: Micros,
        /// The request is finished: the gateway neither retries nor answers it.
        request_finished: bool,
        /// The customer's usage over all gateways in the last usage period, as a share of its quota.
        usage: Option<f64>,
        /// The units that the request used in fact, where those of [`Event::Request`] are an estimate.
        settled_units: Option<f64>,
        /// The server's load report, if one came with the answer.
        load: Option<Load>,
    },
    /// The client disconnected before the final answer, which finishes its request.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The id from [`Action::Timer`].
        timer: TimerId,
    },
    /// The result of a probe.
    ProbeResult {
        /// The server.
        server: ServerId,
        /// How the probe ended.
        status: Status,
        /// The server's load report, if one came with the result.
        load: Option<Load>,
    },
    /// A message from another gateway.
    PeerMessage {
        /// Index of the gateway that sent it.
        from: usize,
        /// The encoded message, as in [`Action::SendToPeer`].
        data: Vec<u8>,
    },
    /// The reply to a call of the shared counter.
    CounterReply {
        /// Key of the value that was added to.
        counter: CounterId,
        /// The value after the call, or `None` if the call was rejected or not answered.
        total: Option<f64>,
        /// The call was not answered, so the amount may have been added.
        may_have_added: bool,
        /// Time from the call to the reply, µs.
        elapsed: Micros,
    },
}

/// An attempt for which a server is about to be chosen, as passed to a [`Gate`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingAttempt {
    /// The request.
    pub id: RequestId,
    /// The effect of the request's class is [`Effect::Idempotent`].
    pub idempotent: bool,
    /// Priority weight of the request: its class's, times the factor of its plan.
    pub priority_weight: f64,
}

/// Restricts the zones that an attempt may go to, before a server is chosen. [`OpenGate`] restricts none.
pub trait Gate {
    /// The zones that an attempt may go to, as a bit set by zone index; zones from 64 on are always open.
    fn open_zones(&mut self, now: Micros, attempt: &PendingAttempt) -> u64;
    /// Records that an attempt of a request is sent to a server of `zone`.
    fn record_send(&mut self, now: Micros, id: RequestId, zone: u32);
}

/// A gate that leaves every zone open.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenGate;

impl Gate for OpenGate {
    fn open_zones(&mut self, _: Micros, _: &PendingAttempt) -> u64 {
        u64::MAX
    }
    fn record_send(&mut self, _: Micros, _: RequestId, _: u32) {}
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// The customer's quota is used up.
    Quota,
    /// This gateway's share of the customer's hard ceiling is used up.
    Ceiling,
    /// The back end has no capacity left for a request of this weight from this gateway, or it would answer
    /// too late.
    Overloaded,
    /// No server is ready and eligible for it now.
    NoServer,
    /// No server is eligible for it in the zones that the [`Gate`] leaves open.
    ZoneClosed,
    /// No attempt has served it, and no further attempt is allowed.
    NotServed,
    /// Its deadline has passed.
    DeadlineExceeded,
    /// It names an unknown class or plan, or units out of range.
    InvalidRequest,
}

/// Output of the gateway: an action for the host to carry out, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Timeout of the attempt, µs.
        timeout: Micros,
    },
    /// Final answer: rejected; a retry does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client is advised to wait before a retry, µs; 0 gives no advice.
        retry_after: Micros,
        /// The reason, for the client and the operators.
        reason: RejectReason,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt: its answer is no longer needed.
    Cancel {
        /// The request.
        id: RequestId,
        /// Index of the attempt among those of the request.
        attempt: u32,
    },
    /// Set a timer.
    Timer {
        /// When it expires, µs on the host's clock.
        at: Micros,
        /// The id to hand back in [`Event::Timer`] then.
        timer: TimerId,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Send a message to another gateway.
    SendToPeer {
        /// Index of the gateway to send it to.
        to: usize,
        /// The encoded message, at most 256 bytes.
        data: Vec<u8>,
    },
    /// Subscribe to the list of servers, which arrives in [`Event::Servers`].
    SubscribeToServers,
    /// Add to a value at the shared counter.
    AddToCounter {
        /// Key of the value.
        counter: CounterId,
        /// The amount to add, negative to subtract.
        amount: f64,
        /// How long the counter keeps a value that this call creates, µs.
        ttl: Micros,
    },
    /// A line for the operators' log.
    Log {
        /// The text.
        text: String,
    },
}
