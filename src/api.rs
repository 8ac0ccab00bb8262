//! The public interface: settings and events in, actions out. Types only; no decision is made here.

/// A point in time or a duration, in microseconds on the clock of the host that drives the gateway.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(/** A client request, numbered by the gateway's host, below 2^63. Never reused. */ RequestId(u64));
id!(/** A server; every gateway must use the same number for the same server. */ ServerId(u64));
id!(/** A customer; every gateway must use the same number for the same customer. */ CustomerId(u64));
id!(/** A timer, returned to the gateway as it was set. */ TimerId(u64));
id!(/** The name of a number kept by the shared counter, the same at every gateway. */ CounterId(u64));

/// Whether a class of request may be attempted again once an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: running twice does no harm.
    Idempotent,
    /// Servers of one group deduplicate the request by its key for a while.
    Deduplicated {
        /// The servers that share the keys they have seen.
        scope: DedupScope,
        /// How long they remember a key, in µs from the send of the first attempt that may have run.
        window: Micros,
    },
    /// Not idempotent: must never run twice.
    NonIdempotent,
}

/// Which servers share the deduplication keys of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of request.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency objective, µs: an answer within it counts in full.
    pub latency_objective: Micros,
    /// How long a client waits in all, over all its retries, µs.
    pub deadline: Micros,
    /// Share of the priority weight that an answer after the objective keeps.
    pub late_weight_share: f64,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Whether it may run again.
    pub effect: Effect,
    /// Whether answers stream.
    pub stream: bool,
}

/// A plan; its limits hold for each customer, over all gateways together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Quota, units per second; 0 means no quota.
    pub rate: f64,
    /// Capacity of the quota's token bucket, units.
    pub burst: f64,
    /// Maximum number of requests in flight; 0 means no limit.
    pub max_in_flight: u32,
    /// Factor on the class's priority weight.
    pub weight_factor: f64,
    /// Share of its priority weight that a request served beyond the quota keeps.
    pub over_quota_weight_share: f64,
    /// Share of its priority weight that a request served beyond the quota costs.
    pub over_quota_cost_share: f64,
    /// Units per second that refill the hard ceiling; 0 means no ceiling.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket, units.
    pub ceiling_burst: f64,
    /// Units by which the ceiling may be overdrawn.
    pub ceiling_slack: f64,
}

/// How load reports reach the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReports {
    /// With answers and probes.
    Answers,
    /// With probes only.
    Probe,
    /// Not at all.
    #[default]
    None,
}

/// What the deployment lets a gateway do, and the costs that bear on a decision.
#[derive(Clone, Debug, Default)]
pub struct Capabilities {
    /// Servers may be probed.
    pub probes: bool,
    /// Messages to other gateways are allowed.
    pub peers: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// A request may have two attempts in flight at once.
    pub hedged_requests: bool,
    /// Rejected clients are advised how long to wait before a retry.
    pub retry_after: bool,
    /// The longest wait that clients heed, µs.
    pub max_retry_after: Micros,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Messages per second that a gateway accepts from its peers.
    pub peer_messages_per_s: f64,
    /// Share of the score that one full peer message per request costs.
    pub peer_message_cost: f64,
    /// Share of the score that one probe per request costs.
    pub probe_cost: f64,
    /// The shared counter may be called.
    pub shared_counter: bool,
    /// Share of the score that one counter call per request costs.
    pub counter_call_cost: f64,
    /// Timeout of a counter call, µs; 0 means none.
    pub counter_call_timeout: Micros,
    /// Clients mark their retries.
    pub clients_mark_retries: bool,
    /// Period of the customer's usage reported with answers, µs; 0 means that none is reported.
    pub usage_period: Micros,
    /// The units named in a request are estimates, settled by the first good answer.
    pub settles_units: bool,
    /// How load reports arrive.
    pub load_reports: LoadReports,
    /// The gateway must subscribe to the list of servers.
    pub must_subscribe: bool,
}

/// Limits that the back end sets.
#[derive(Clone, Debug, Default)]
pub struct BackendLimits {
    /// A final answer still counts this long after the client's deadline, µs.
    pub answer_slack: Micros,
    /// Share of its capacity that a server has at least when it starts.
    pub slow_start_share: f64,
    /// A server has its full capacity after this time, µs.
    pub slow_start_time: Micros,
    /// A server that is warming up collapses when sent more than this multiple of its capacity...
    pub collapse_multiple: f64,
    /// ...for this long, µs.
    pub collapse_time: Micros,
}

/// Settings of one gateway, fixed for its lifetime.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// This gateway's number, from 0.
    pub gateway_id: usize,
    /// How many gateways there are.
    pub gateways: usize,
    /// The zone this gateway is in.
    pub zone: u32,
    /// Shortest time between two batches of events, µs.
    pub tick: Micros,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// What the gateway may do.
    pub capabilities: Capabilities,
    /// Limits that the back end sets.
    pub backend_limits: BackendLimits,
}

/// A setting that is out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting, as a path of names in the settings that operators write.
    pub field: String,
    /// What is wrong with it.
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
    /// Finishes the requests it holds, accepts no new ones.
    Draining,
    /// Removed.
    #[default]
    Removed,
}

/// One entry of the list of servers.
#[derive(Clone, Debug, Default)]
pub struct ServerEntry {
    /// The server.
    pub server: ServerId,
    /// Its state.
    pub state: ServerState,
    /// When it last became ready, µs; 0 means long ago.
    pub ready_at: Micros,
    /// Its size relative to other servers'.
    pub size: f64,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
}

/// Kind of a server list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The complete list.
    Full,
    /// The complete list as last known, perhaps outdated.
    Cached,
    /// Changed entries only.
    Delta,
    /// The call failed; the known list stays valid.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The server answered with an error.
    Error,
    /// The server rejected the request without running it: it is full.
    Rejected,
    /// No answer in time.
    Timeout,
    /// No connection in time.
    ConnectFailed,
    /// The connection broke before the whole request was written: it never ran.
    WriteFailed,
    /// The connection broke after the request was written.
    Reset,
    /// Cancelled by this gateway.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Status {
    /// Whether an attempt that ended with this status may have run.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Status::Rejected | Status::ConnectFailed | Status::WriteFailed | Status::NotSent)
    }
}

/// A server's load report; what it does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in flight there.
    pub inflight: Option<f64>,
    /// Requests queued there.
    pub queue: Option<f64>,
    /// CPU utilization, 0 to 1.
    pub util: Option<f64>,
    /// Recent service time, ms.
    pub latency_ms: Option<f64>,
}

/// Input of the gateway: something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the server list.
    Servers {
        /// Kind of update.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A client's request came in.
    Request {
        /// Its id.
        id: RequestId,
        /// Index into [`Settings::classes`].
        class: usize,
        /// Index into [`Settings::plans`].
        plan: usize,
        /// Whose request it is.
        customer: CustomerId,
        /// How long the client waits for the answer to this request, µs.
        timeout: Micros,
        /// Quota units it uses.
        units: f64,
        /// Number of gateways in the customer's subset, which all its requests come through.
        subset_size: usize,
        /// First gateway of that subset.
        subset_start: usize,
        /// The client marked it as a retry.
        is_retry: bool,
    },
    /// A streamed answer has begun.
    AnswerStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0 in the order of sending.
        attempt: u32,
        /// The server it was sent to.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time since it was sent, µs.
        elapsed: Micros,
        /// The request is finished with it.
        request_finished: bool,
        /// The customer's usage over all gateways in the last usage period, as a share of its quota.
        usage: Option<f64>,
        /// The units that the request really used, where they are settled afterwards.
        settled_units: Option<f64>,
        /// The load report sent along.
        load: Option<Load>,
    },
    /// The client disconnected: its request is finished.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The timer.
        timer: TimerId,
    },
    /// The result of a probe.
    ProbeResult {
        /// The server.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// The load report sent along.
        load: Option<Load>,
    },
    /// A message from another gateway.
    PeerMessage {
        /// The number of its sender.
        from: usize,
        /// The message.
        data: Vec<u8>,
    },
    /// The reply to a call of the shared counter.
    CounterReply {
        /// The number that was added to.
        counter: CounterId,
        /// The total after the call, or `None` if it was rejected or not answered.
        total: Option<f64>,
        /// The call was not answered; the amount may have been added.
        may_have_added: bool,
        /// Time since the call, µs.
        elapsed: Micros,
    },
}

/// An attempt that is about to be made, as a gate sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingAttempt {
    /// The request.
    pub id: RequestId,
    /// It may run twice without harm.
    pub idempotent: bool,
    /// Its priority weight.
    pub priority_weight: f64,
}

/// Restricts the zones that an attempt may go to, before a server is chosen. [`OpenGate`] restricts none.
pub trait Gate {
    /// The zones that are open to an attempt, one bit each; zones from 64 on are always open.
    fn open_zones(&mut self, now: Micros, attempt: &PendingAttempt) -> u64;
    /// An attempt is sent to a server of this zone.
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
    /// The back end has no capacity for it from this gateway, or would answer too late.
    Overloaded,
    /// No server may be sent it now.
    NoServer,
    /// The zones that have servers for it are closed to it.
    ZoneClosed,
    /// Its attempts did not serve it, and no retry is allowed.
    NotServed,
    /// Its deadline has passed.
    DeadlineExceeded,
    /// It names an unknown class or plan, or units out of range.
    InvalidRequest,
}

/// Output of the gateway: something for the host to do, in the order given.
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
        /// How long to wait before a retry, µs; 0 gives no advice.
        retry_after: Micros,
        /// The reason, for the client and the operators.
        reason: RejectReason,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Set a timer.
    Timer {
        /// When it expires, µs.
        at: Micros,
        /// Returned to the gateway then.
        timer: TimerId,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Send a message to another gateway.
    SendToPeer {
        /// The number of the receiver.
        to: usize,
        /// At most 256 bytes.
        data: Vec<u8>,
    },
    /// Subscribe to the list of servers.
    SubscribeToServers,
    /// Add to a number of the shared counter.
    AddToCounter {
        /// The number.
        counter: CounterId,
        /// The amount to add.
        amount: f64,
        /// How long a new number lives, µs.
        ttl: Micros,
    },
    /// A line for the operators' log.
    Log {
        /// The text.
        text: String,
    },
}
