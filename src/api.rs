//! The interface: settings in, events in, actions out. Types only; nothing is decided here.

/// A time or a span, in microseconds on the clock of whoever drives the gateway.
pub type Micros = u64;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(/** A client's try, as this gateway's host numbers them, below 2^63. Never used twice. */ RequestId(u64));
id!(/** A server; every gateway must use the same number for the same server. */ ServerId(u64));
id!(/** A customer; every gateway must use the same number for the same customer. */ CustomerId(u64));
id!(/** A timer, handed back as it was set. */ TimerId(u64));
id!(/** A number kept by the shared counter; the same number means the same name at every gateway. */ CounterId(u64));

/// What a class of request allows once an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Running twice does no harm.
    Safe,
    /// Servers of one group drop repeats for a while.
    Keyed {
        /// The servers that share what they have seen.
        group: Group,
        /// How long they remember, from the send of the first attempt that may have run.
        window: Micros,
    },
    /// Must never run twice.
    Fragile,
}

/// Which servers drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
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
    /// An answer within this time earns full worth.
    pub aim: Micros,
    /// The client's whole patience, over all its tries.
    pub deadline: Micros,
    /// Share of the worth that a late answer still earns.
    pub late_worth: f64,
    /// Worth of one request.
    pub worth: f64,
    /// Whether it may run again.
    pub effect: Effect,
    /// Whether answers stream.
    pub stream: bool,
}

/// A plan; its figures hold for each customer, over all gateways together.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Units a second; 0 means no such quota.
    pub rate: f64,
    /// Most units the quota's store holds.
    pub burst: f64,
    /// Most attempts out at once; 0 means no such quota.
    pub open: u32,
    /// Multiplier on worth.
    pub price: f64,
    /// Share of its worth that a request sent on beyond the quota earns.
    pub over_worth: f64,
    /// Share of its worth that a request sent on beyond the quota costs.
    pub over_cost: f64,
    /// Units a second that refill the hard ceiling; 0 means no ceiling.
    pub ceiling_rate: f64,
    /// Most units the ceiling holds.
    pub ceiling_burst: f64,
    /// Units by which the ceiling may be overdrawn.
    pub ceiling_slack: f64,
}

/// How load reports reach the gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reports {
    /// With answers and probes.
    Answers,
    /// With probes only.
    Probe,
    /// Not at all.
    #[default]
    None,
}

/// What the site lets a gateway do, and the prices that bear on a decision.
#[derive(Clone, Debug, Default)]
pub struct Allow {
    /// Servers may be probed.
    pub probes: bool,
    /// Messages to other gateways are allowed.
    pub peers: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// A request may have two attempts out at once.
    pub second_copies: bool,
    /// Clients are told how long to stay away.
    pub retry_after: bool,
    /// The longest time clients heed.
    pub max_retry_after: Micros,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Messages a second that a gateway takes in.
    pub peer_in_per_s: f64,
    /// Part of the result that one whole message a request costs.
    pub peer_price: f64,
    /// Part of the result that one probe a request costs.
    pub probe_price: f64,
    /// The shared counter may be called.
    pub counter: bool,
    /// Part of the result that one call a request costs.
    pub count_fee: f64,
    /// A call still unanswered by then ends.
    pub count_limit: Micros,
    /// Clients mark their repeats.
    pub marks_repeats: bool,
    /// Period of the use told in answers; 0 means none is told.
    pub meter: Micros,
    /// Units named in requests are guesses, settled by the first good answer.
    pub settles: bool,
    /// How load reports arrive.
    pub reports: Reports,
    /// The list of servers must be asked for.
    pub must_ask: bool,
}

/// The figures of the rules.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// A final answer still counts this long after the client's deadline.
    pub answer_slack: Micros,
    /// Share of its capacity at which a server starts, at least.
    pub cold_from: f64,
    /// A server is warm within this time.
    pub cold: Micros,
    /// A cold server falls when sent more than this multiple of its capacity...
    pub fall_multiple: f64,
    /// ...for this long.
    pub fall: Micros,
}

/// Everything a gateway is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// This gateway's number.
    pub me: usize,
    /// How many gateways there are.
    pub gateways: usize,
    /// The zone this gateway is in.
    pub zone: u32,
    /// The shortest time between two batches of events.
    pub tick: Micros,
    /// Classes of request.
    pub classes: Vec<Class>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// What is allowed.
    pub allow: Allow,
    /// The rules' figures.
    pub rules: Rules,
}

/// Why settings were refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field, as a path from [`Settings`].
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

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Removed.
    #[default]
    Gone,
}

/// One entry of the list of servers.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// Which server.
    pub server: ServerId,
    /// Its state.
    pub state: State,
    /// When it last started; 0 means long past.
    pub ready_at: Micros,
    /// A figure to compare with other servers'.
    pub size: f64,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
}

/// What kind of list an event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The complete list.
    Full,
    /// The complete list as last held, perhaps outdated.
    Cached,
    /// Changed entries only.
    Delta,
    /// A call failed; the list held stays valid.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The server answered with an error.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time.
    Timeout,
    /// No connection in time.
    ConnectFailed,
    /// The connection broke before the whole request was written: it never ran.
    Broken,
    /// The connection broke.
    Reset,
    /// Called off by this gateway.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Status {
    /// Whether a request whose attempt ended so may have run.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Status::Full | Status::ConnectFailed | Status::Broken | Status::Moot)
    }
}

/// A server's report of its load; what it does not tell is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests it holds.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Busy share of its cores.
    pub util: Option<f64>,
    /// Recent service time, milliseconds.
    pub latency_ms: Option<f64>,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list of servers.
    Servers {
        /// Full, cached, delta or failed.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A client's request came in.
    Request {
        /// Its id.
        id: RequestId,
        /// Index into [`Settings::classes`].
        class: usize,
        /// Index into [`Settings::plans`].
        plan: usize,
        /// Whose it is.
        customer: CustomerId,
        /// How long the client waits for this try.
        patience: Micros,
        /// Units it draws.
        units: f64,
        /// How many gateways the customer comes through.
        spread: usize,
        /// The first of them.
        first: usize,
        /// The client marked it as a repeat of an earlier try.
        repeat: bool,
    },
    /// A streamed answer has begun.
    Started {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    Outcome {
        /// The request.
        id: RequestId,
        /// Attempts count from 0 in the order of their sends.
        attempt: u32,
        /// Where it went.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// Time since the send.
        took: Micros,
        /// The request is over.
        closed: bool,
        /// The customer's use of its rate by all gateways in the meter's last period, as a share.
        used: Option<f64>,
        /// The true units, where they are settled afterwards.
        settled: Option<f64>,
        /// The load report that came along.
        load: Option<Load>,
    },
    /// The request is over: the client left.
    Gone {
        /// The request.
        id: RequestId,
    },
    /// A timer fell due.
    Timer {
        /// Which.
        timer: TimerId,
    },
    /// What a probe found.
    Probed {
        /// The server.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// The load report that came along.
        load: Option<Load>,
    },
    /// A message from another gateway.
    Peer {
        /// Its number.
        from: usize,
        /// The message.
        data: Vec<u8>,
    },
    /// What a call of the counter gave.
    Counted {
        /// The number's name.
        counter: CounterId,
        /// `Some` of the total, or `None` if the call was refused.
        total: Option<f64>,
        /// The call had no answer; the amount may have been added.
        unsure: bool,
        /// Time since the call.
        took: Micros,
    },
}

/// What a gate is asked about before an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempting {
    /// The request.
    pub id: RequestId,
    /// It may run twice without harm.
    pub safe: bool,
    /// What it earns when served in time.
    pub worth: f64,
}

/// Decides which zones an attempt may go to, beside the choice of a server. [`Open`] lets all be.
pub trait Gate {
    /// The zones that may be sent to now, a bit each; zones from 64 on are always open.
    fn open(&mut self, now: Micros, attempting: &Attempting) -> u64;
    /// An attempt goes out to a server of this zone.
    fn sent(&mut self, now: Micros, id: RequestId, zone: u32);
}

/// No gate: every zone is open.
#[derive(Clone, Copy, Debug, Default)]
pub struct Open;

impl Gate for Open {
    fn open(&mut self, _: Micros, _: &Attempting) -> u64 {
        u64::MAX
    }
    fn sent(&mut self, _: Micros, _: RequestId, _: u32) {}
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// The customer's quota has no units for it.
    Quota,
    /// The customer's hard ceiling has no units for it here.
    Ceiling,
    /// The back end takes no more from here, or not in time to be of use.
    Pressed,
    /// No server may be sent it now.
    NoServer,
    /// The zones that have servers for it are closed to it.
    Zone,
    /// Its attempts did not serve it, and no further one may go.
    Tried,
    /// Its client's time is over.
    Late,
    /// It names no known class or plan, or units that make no sense.
    Unsound,
}

/// Something for the host to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// Its time-out.
        timeout: Micros,
    },
    /// Final answer: refused, trying again does no harm.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long to stay away; 0 gives no advice.
        retry_after: Micros,
        /// The reason, for the client and the operators.
        why: Why,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Wake this gateway.
    Timer {
        /// When.
        at: Micros,
        /// Handed back then.
        timer: TimerId,
    },
    /// Look at a server.
    Probe {
        /// Which.
        server: ServerId,
    },
    /// Send a message to another gateway.
    Tell {
        /// Its number.
        to: usize,
        /// At most 256 bytes.
        data: Vec<u8>,
    },
    /// Subscribe to the list of servers.
    Watch,
    /// Add to a number of the shared counter.
    Count {
        /// Its name.
        counter: CounterId,
        /// What to add.
        amount: f64,
        /// How long a new name lives.
        ttl: Micros,
    },
    /// A line for the operators' log.
    Log {
        /// The text.
        text: String,
    },
}
