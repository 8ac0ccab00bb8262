//! The one task that owns the core: messages arrive from sockets, commands go out to them. What embeds it,
//! beyond calls and their attempts, is a [`Host`]: with tokens and a settings file ([`crate::oauth`]), or on the
//! platform.

use crate::clock::{Clock, Micros};
use crate::core::{CallId, Command, Core, Input};
use crate::log::Throttle;
use crate::observe::AnswerStats;
use crate::reply::GatewayAnswer;
use crate::upstream::AttemptOutcome;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use frostgauge::{ServerId, Status};
use frostgauge_net::{until, Response, Timed};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Messages queued for the engine; a front that finds the queue full waits, and so do its clients.
const MAX_QUEUED_MESSAGES: usize = 16 << 10;
/// Messages handled in one batch, before timers are checked.
const MAX_BATCH_MESSAGES: usize = 512;

/// What embeds an engine: it knows who the callers are and how requests are forwarded, and has events of its own.
pub trait Host: Sized + Send + 'static {
    /// The caller of a request and what it asks for.
    type Caller: std::fmt::Debug + Send;
    /// What is needed to forward a request.
    type Forward: std::fmt::Debug + Send;
    /// Events beside calls and attempts.
    type Event: std::fmt::Debug + Send;
    /// What fronts share with the engine.
    type Shared: Clone + std::fmt::Debug + Send + Sync;

    /// Registers a call; the input with which it enters the core.
    fn register_call(&mut self, call: &Call<Self>) -> Input;
    /// Handles an event of the host's own.
    fn handle_event(
        &mut self,
        now: Micros,
        news: Self::Event,
        context: EngineContext<'_>,
        out: &mut Vec<Command>,
    );
    /// Starts an attempt; its task hands in [`Message::Ended`] exactly once, and dropping it ends the attempt.
    fn start_attempt(&mut self, attempt: Attempt, call: Option<&Call<Self>>) -> Task<()>;
    /// An attempt ended.
    fn attempt_ended(&mut self, _server: ServerId) {}
    /// Executes any other command; returns an input if the command has ended with it.
    fn execute(&mut self, now: Micros, command: Command) -> Option<Input>;
    /// Called after each batch of messages.
    fn after_batch(&mut self, _now: Micros, _context: EngineContext<'_>) {}
}

/// An attempt to be started.
#[derive(Debug)]
pub struct Attempt {
    /// The request.
    pub call_id: CallId,
    /// Its attempt.
    pub attempt: u32,
    /// Where to.
    pub server: ServerId,
    /// Its time-out.
    pub timeout: Micros,
    /// Whose request it is.
    pub grant: Arc<frostgauge_identity::Grant>,
    /// When the request's first attempt that may have run was sent.
    pub ran: Option<Micros>,
}

/// What a host may see and use of its engine.
pub struct EngineContext<'a> {
    /// The decisions.
    pub core: &'a mut Core,
    /// Answers so far.
    pub observed: &'a AnswerStats,
    /// Attempts in flight.
    pub attempts: usize,
    /// Messages queued.
    pub inbox: usize,
    /// When the engine started.
    pub started: Micros,
    /// Duration of the longest batch so far: how long a message may have waited in the queue.
    pub longest_batch: Micros,
}

/// A request, as a front submits it.
#[derive(Debug)]
pub struct Call<H: Host> {
    /// Its number, from [`Handle::next_call_id`].
    pub call_id: CallId,
    /// Who calls.
    pub caller: H::Caller,
    /// When the request was complete.
    pub arrived: Micros,
    /// Its client's timeout, µs.
    pub timeout: Micros,
    /// Its client marked it as a retry.
    pub is_retry: bool,
    /// What to forward.
    pub forward: H::Forward,
    /// Receives the one reply; has capacity for one.
    pub reply: Sender<Reply>,
}

impl<H: Host> Call<H> {
    /// Whether its client is still there, for an attempt to look at.
    pub fn client(&self) -> Client {
        Client::of(&self.reply)
    }
}

/// The client of a call: it has gone once nobody can take the reply any more.
#[derive(Clone, Debug)]
pub struct Client {
    reply: Sender<Reply>,
}

impl Client {
    /// Whose reply goes here.
    pub fn of(reply: &Sender<Reply>) -> Client {
        Client { reply: reply.clone() }
    }

    /// Whether it has gone.
    pub fn has_gone(&self) -> bool {
        self.reply.is_closed()
    }

    /// Waits until it has gone.
    pub async fn gone(&self) {
        self.reply.closed().await;
    }
}

/// The final answer to a call.
#[derive(Debug)]
pub enum Reply {
    /// A server's response.
    Server(Box<Response>),
    /// An answer that the gateway gives itself.
    Gateway(GatewayAnswer),
}

/// What comes in.
#[derive(Debug)]
pub enum Message<H: Host> {
    /// A call.
    Call(Box<Call<H>>),
    /// A call's client closed its connection.
    ClientGone(CallId),
    /// An attempt ended.
    Ended {
        /// The request.
        call_id: CallId,
        /// Its attempt.
        attempt: u32,
        /// How.
        ended: AttemptOutcome,
    },
    /// A probe ended.
    Probed {
        /// The node.
        server: ServerId,
        /// How.
        ended: AttemptOutcome,
    },
    /// A message of another gateway.
    Peer {
        /// Its number.
        from: usize,
        /// The message.
        data: Vec<u8>,
    },
    /// An event of the host's own.
    Host(H::Event),
    /// The engine ends.
    Stop,
}

/// What a front needs of the engine.
#[derive(Debug)]
pub struct Handle<H: Host> {
    inbox: Sender<Message<H>>,
    next_call: Arc<AtomicU64>,
    /// What the host shares with fronts.
    pub shared: H::Shared,
    /// The clock that the engine goes by.
    pub clock: Clock,
}

impl<H: Host> Clone for Handle<H> {
    fn clone(&self) -> Self {
        Handle {
            inbox: self.inbox.clone(),
            next_call: self.next_call.clone(),
            shared: self.shared.clone(),
            clock: self.clock,
        }
    }
}

impl<H: Host> Handle<H> {
    /// A handle, and what an engine takes messages from.
    pub fn new(clock: Clock, shared: H::Shared) -> (Handle<H>, Receiver<Message<H>>) {
        let (inbox, messages) = async_channel::bounded(MAX_QUEUED_MESSAGES);
        // Call ids of earlier incarnations are distinguished by the start time.
        (Handle { inbox, next_call: Arc::new(AtomicU64::new(1)), shared, clock }, messages)
    }

    /// A number for the next call.
    pub fn next_call_id(&self) -> CallId {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    /// Where messages go, for tasks that send many.
    pub fn inbox(&self) -> Sender<Message<H>> {
        self.inbox.clone()
    }

    /// Hands in a message; false once the engine has ended.
    pub async fn send(&self, message: Message<H>) -> bool {
        self.inbox.send(message).await.is_ok()
    }

    /// Hands in a message without waiting; false if there is no room.
    pub fn try_send(&self, message: Message<H>) -> bool {
        self.inbox.try_send(message).is_ok()
    }
}

/// A call without its final answer.
struct OpenCall<H: Host> {
    call: Box<Call<H>>,
    /// When its first attempt that may have run was sent.
    ran: Option<Micros>,
}

struct RunningAttempt {
    sent: Micros,
    server: ServerId,
    task: Task<()>,
}

/// The engine.
pub struct Engine<H: Host> {
    core: Core,
    clock: Clock,
    inbox: Receiver<Message<H>>,
    host: H,
    calls: BTreeMap<CallId, OpenCall<H>>,
    running: BTreeMap<(CallId, u32), RunningAttempt>,
    started: Micros,
    throttle: Throttle,
    observed: AnswerStats,
    longest_batch: Micros,
}

impl<H: Host> Engine<H> {
    /// An engine that starts now.
    pub fn new(core: Core, host: H, clock: Clock, inbox: Receiver<Message<H>>) -> Engine<H> {
        Engine {
            core,
            clock,
            inbox,
            host,
            calls: BTreeMap::new(),
            running: BTreeMap::new(),
            started: clock.now(),
            throttle: Throttle::default(),
            observed: AnswerStats::default(),
            longest_batch: 0,
        }
    }

    /// Runs until [`Message::Stop`].
    pub async fn run(mut self) {
        let mut commands = Vec::new();
        let mut first = true;
        loop {
            let message = match self.core.next_wake().filter(|_| !first) {
                Some(at) => match until(self.clock.instant(at), self.inbox.recv()).await {
                    Timed::Done(message) => message.ok(),
                    Timed::Late => None,
                },
                None if first => None,
                None => self.inbox.recv().await.ok(),
            };
            first = false;
            let began = self.clock.now();
            let mut next = message;
            // All that has happened goes in before the timers: after a stall, answers that came in time
            // count before the deadlines that passed meanwhile.
            for _ in 0..MAX_BATCH_MESSAGES {
                let Some(message) = next.take().or_else(|| self.inbox.try_recv().ok()) else { break };
                if matches!(message, Message::Stop) {
                    return;
                }
                self.message(message, &mut commands);
                self.carry_out(&mut commands);
            }
            let now = self.clock.now();
            self.core.advance(now, &mut commands);
            self.carry_out(&mut commands);
            self.with_host(|host, context| host.after_batch(now, context));
            self.longest_batch = self.longest_batch.max(self.clock.now().saturating_sub(began));
        }
    }

    fn with_host(&mut self, run: impl FnOnce(&mut H, EngineContext<'_>)) {
        let context = EngineContext {
            core: &mut self.core,
            observed: &self.observed,
            attempts: self.running.len(),
            inbox: self.inbox.len(),
            started: self.started,
            longest_batch: self.longest_batch,
        };
        run(&mut self.host, context);
    }

    fn message(&mut self, message: Message<H>, out: &mut Vec<Command>) {
        let now = self.clock.now();
        match message {
            Message::Call(call) => {
                let input = self.host.register_call(&call);
                self.calls.insert(call.call_id, OpenCall { call, ran: None });
                self.core.handle(now, input, out);
            }
            Message::ClientGone(call_id) => {
                self.calls.remove(&call_id);
                self.core.handle(now, Input::ClientGone { call_id }, out);
            }
            Message::Ended { call_id, attempt, ended } => self.ended(now, call_id, attempt, ended, out),
            Message::Probed { server, ended } => {
                let ok = if ended.status == Status::Ok { "yes" } else { "no" };
                let told = if ended.load.is_some() { "yes" } else { "no" };
                metrics::counter!("frostgauge_probes", "ok" => ok, "load" => told).increment(1);
                let input = Input::Probed { server, status: ended.status, load: ended.load };
                self.core.handle(now, input, out);
            }
            Message::Peer { from, data } => self.core.handle(now, Input::Peer { from, data }, out),
            Message::Host(event) => {
                self.with_host(|host, context| host.handle_event(now, event, context, out));
            }
            Message::Stop => {}
        }
    }

    /// Handles an attempt's end; a cancelled attempt has ended already.
    fn ended(
        &mut self,
        now: Micros,
        call_id: CallId,
        attempt: u32,
        ended: AttemptOutcome,
        out: &mut Vec<Command>,
    ) {
        let Some(run) = self.running.remove(&(call_id, attempt)) else { return };
        self.host.attempt_ended(run.server);
        let AttemptOutcome { status, response, quota_use: used, load } = ended;
        let took = now.saturating_sub(run.sent);
        if let Some(open) = self.calls.get_mut(&call_id).filter(|_| status.may_have_run()) {
            open.ran.get_or_insert(run.sent);
        }
        let input = Input::AttemptEnded { call_id, attempt, server: run.server, status, took, used, load };
        let from = out.len();
        self.core.handle(now, input, out);
        let deliver = Command::Deliver { call_id, attempt };
        if let Some(at) = out[from..].iter().position(|c| *c == deliver) {
            out.remove(from + at);
            if let (Some(response), Some(OpenCall { call, .. })) = (response, self.calls.remove(&call_id)) {
                self.observed.record("served", "served", now.saturating_sub(call.arrived));
                let _ = call.reply.try_send(Reply::Server(response));
            }
        }
    }

    fn carry_out(&mut self, commands: &mut Vec<Command>) {
        let mut ended = Vec::new();
        loop {
            for command in commands.drain(..) {
                ended.extend(match command {
                    Command::Send { call_id, attempt, server, timeout, grant } => {
                        let open = self.calls.get(&call_id);
                        let ran = open.and_then(|o| o.ran);
                        let start = Attempt { call_id, attempt, server, timeout, grant, ran };
                        let task = self.host.start_attempt(start, open.map(|o| &*o.call));
                        metrics::counter!("frostgauge_attempts").increment(1);
                        let sent = self.clock.now();
                        self.running.insert((call_id, attempt), RunningAttempt { sent, server, task });
                        None
                    }
                    Command::Cancel { call_id, attempt } => self.cancel(call_id, attempt),
                    Command::Answer { call_id, answer } => {
                        self.answer(call_id, answer);
                        None
                    }
                    // Taken out where the response is at hand.
                    Command::Deliver { .. } => None,
                    Command::Log(text) => {
                        tracing::info!(text, "decisions");
                        None
                    }
                    other => self.host.execute(self.clock.now(), other),
                });
            }
            let Some(input) = ended.pop() else { return };
            self.core.handle(self.clock.now(), input, commands);
        }
    }

    /// Cancels an attempt: dropping its task closes its connection.
    fn cancel(&mut self, call_id: CallId, attempt: u32) -> Option<Input> {
        let run = self.running.remove(&(call_id, attempt))?;
        drop(run.task);
        self.host.attempt_ended(run.server);
        let took = self.clock.now().saturating_sub(run.sent);
        let (server, status, used, load) = (run.server, Status::Cancelled, None, None);
        Some(Input::AttemptEnded { call_id, attempt, server, status, took, used, load })
    }

    fn answer(&mut self, call_id: CallId, answer: GatewayAnswer) {
        let Some(OpenCall { call, .. }) = self.calls.remove(&call_id) else { return };
        let now = self.clock.now();
        let (kind, reason) = (kind(&answer), answer.reason());
        self.observed.record(kind, reason, now.saturating_sub(call.arrived));
        if let Some(more) = self.throttle.allow(now, reason) {
            tracing::info!(request = call_id, kind, reason, more, "not served");
        }
        let _ = call.reply.try_send(Reply::Gateway(answer));
    }
}

fn kind(answer: &GatewayAnswer) -> &'static str {
    match answer {
        GatewayAnswer::Denied(_) | GatewayAnswer::UnknownTenant | GatewayAnswer::NotAllowed => "denied",
        GatewayAnswer::TokenUnverified { .. }
        | GatewayAnswer::FallbackRulesOnly { .. }
        | GatewayAnswer::Rejected { .. } => "refused",
        GatewayAnswer::Failed(_) => "failed",
    }
}
