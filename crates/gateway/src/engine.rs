//! The task that owns the core. It receives messages from tasks that use sockets, hands them to the core and
//! executes the core's commands. Whatever differs between deployments is behind the trait [`Host`]: the host in
//! [`crate::oauth`] uses tokens and a settings file, the platform gateway has its own.

use crate::clock::{Clock, Micros};
use crate::core::{AttemptEnd, CallId, Command, Core, Input};
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

/// Usual capacity of the engine's message queue; a front that finds it full waits, and its clients wait with it.
const MAX_QUEUED_MESSAGES: usize = 16 << 10;
/// Maximum number of messages handled in one batch before timers are checked.
const MAX_BATCH_MESSAGES: usize = 512;

/// The environment of an engine: it identifies callers, forwards requests, and may have events of its own.
pub trait Host: Sized + Send + 'static {
    /// The caller of a request and the kind of request.
    type Caller: std::fmt::Debug + Send;
    /// The data needed to forward a request to a server.
    type Forward: std::fmt::Debug + Send;
    /// Events other than those of calls and attempts.
    type Event: std::fmt::Debug + Send;
    /// Data that fronts share with the host.
    type Shared: Clone + std::fmt::Debug + Send + Sync;

    /// Registers a call and returns the core's input for it.
    fn register_call(&mut self, call: &Call<Self>) -> Input;
    /// Handles an event of this host.
    fn handle_event(
        &mut self,
        now: Micros,
        event: Self::Event,
        context: EngineContext<'_>,
        out: &mut Vec<Command>,
    );
    /// Starts an attempt. The returned task sends [`Message::Ended`] exactly once; dropping the task cancels the attempt.
    /// `call` is `None` if the call has had its final answer.
    fn start_attempt(&mut self, attempt: Attempt, call: Option<&Call<Self>>) -> Task<()>;
    /// Called when an attempt at `server` has ended or was cancelled.
    fn attempt_ended(&mut self, _server: ServerId) {}
    /// Executes a command that the engine does not execute itself. Returns an input if the command has already
    /// completed.
    fn execute(&mut self, now: Micros, command: Command) -> Option<Input>;
    /// Called after each batch of messages.
    fn after_batch(&mut self, _now: Micros, _context: EngineContext<'_>) {}
}

/// An attempt to be started.
#[derive(Debug)]
pub struct Attempt {
    /// Number of the call.
    pub call_id: CallId,
    /// Number of the attempt within the call, from 0.
    pub attempt: u32,
    /// The server to send to.
    pub server: ServerId,
    /// Timeout of the attempt, µs.
    pub timeout: Micros,
    /// The caller's verified identity and scopes; empty if no token was checked.
    pub grant: Arc<frostgauge_identity::Grant>,
    /// When the call's first attempt that may have run was sent, µs; `None` if there is none.
    pub first_run_sent_at: Option<Micros>,
}

/// The parts of an engine that its host may use.
pub struct EngineContext<'a> {
    /// The core.
    pub core: &'a mut Core,
    /// Statistics of the final answers since the start.
    pub answer_stats: &'a AnswerStats,
    /// Number of attempts in flight.
    pub attempts_in_flight: usize,
    /// Number of messages in the engine's queue.
    pub queued_messages: usize,
    /// When the engine started, µs.
    pub started_at: Micros,
    /// Duration of the longest batch since the start, µs: a message may have been queued for that long.
    pub longest_batch: Micros,
}

/// A request, as a front submits it.
#[derive(Debug)]
pub struct Call<H: Host> {
    /// Number of the call, from [`Handle::next_call_id`].
    pub call_id: CallId,
    /// The caller.
    pub caller: H::Caller,
    /// When the request had been read completely, µs.
    pub arrived: Micros,
    /// The client's timeout, counted from `arrived`, µs.
    pub timeout: Micros,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// The data to forward to a server.
    pub forward: H::Forward,
    /// Channel for the one reply, with capacity 1.
    pub reply: Sender<Reply>,
}

impl<H: Host> Call<H> {
    /// The call's client, from which an attempt sees whether it is still connected.
    pub fn client(&self) -> Client {
        Client::of(&self.reply)
    }
}

/// The client of a call. It counts as disconnected once the receiver of the reply is dropped.
#[derive(Clone, Debug)]
pub struct Client {
    reply: Sender<Reply>,
}

impl Client {
    /// The client that waits for a reply on this channel.
    pub fn of(reply: &Sender<Reply>) -> Client {
        Client { reply: reply.clone() }
    }

    /// Whether the client has disconnected.
    pub fn is_disconnected(&self) -> bool {
        self.reply.is_closed()
    }

    /// Waits until the client has disconnected.
    pub async fn disconnected(&self) {
        self.reply.closed().await;
    }
}

/// The final answer to a call.
#[derive(Debug)]
pub enum Reply {
    /// A server's response.
    Server(Box<Response>),
    /// The gateway's own answer.
    Gateway(GatewayAnswer),
}

/// A message to the engine.
#[derive(Debug)]
pub enum Message<H: Host> {
    /// A request was read.
    Call(Box<Call<H>>),
    /// A call's client closed its connection.
    ClientDisconnected(CallId),
    /// An attempt ended.
    Ended {
        /// Number of the call.
        call_id: CallId,
        /// Number of the attempt within the call.
        attempt: u32,
        /// The result.
        ended: AttemptOutcome,
    },
    /// A probe ended.
    Probed {
        /// The probed server.
        server: ServerId,
        /// The result.
        ended: AttemptOutcome,
    },
    /// A message from another gateway arrived.
    PeerMessage {
        /// Number of the sending gateway.
        from: usize,
        /// The encoded message.
        data: Vec<u8>,
    },
    /// An event of the host.
    Host(H::Event),
    /// Ends the engine.
    Stop,
}

/// Access to an engine for fronts and other tasks.
#[derive(Debug)]
pub struct Handle<H: Host> {
    inbox: Sender<Message<H>>,
    next_call: Arc<AtomicU64>,
    /// Data that the host shares with fronts.
    pub shared: H::Shared,
    /// The engine's clock.
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
    /// Creates a handle and the receiving end of its queue, for [`Engine::new`].
    pub fn new(clock: Clock, shared: H::Shared) -> (Handle<H>, Receiver<Message<H>>) {
        Handle::with_capacity(clock, shared, MAX_QUEUED_MESSAGES)
    }

    /// The same with a queue of this capacity, for which memory is allocated at once.
    pub fn with_capacity(
        clock: Clock,
        shared: H::Shared,
        capacity: usize,
    ) -> (Handle<H>, Receiver<Message<H>>) {
        let (inbox, messages) = async_channel::bounded(capacity);
        // Call ids restart at 1 in each process; wherever they are sent to servers, the start time of the process is
        // sent with them.
        (Handle { inbox, next_call: Arc::new(AtomicU64::new(1)), shared, clock }, messages)
    }

    /// Returns a call id that this process has not used before.
    pub fn next_call_id(&self) -> CallId {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    /// A sender into the engine's queue, for tasks that send many messages.
    pub fn inbox(&self) -> Sender<Message<H>> {
        self.inbox.clone()
    }

    /// Sends a message, and waits while the queue is full. Returns false once the engine has ended.
    pub async fn send(&self, message: Message<H>) -> bool {
        self.inbox.send(message).await.is_ok()
    }

    /// Sends a message without waiting. Returns false if the queue is full or the engine has ended.
    pub fn try_send(&self, message: Message<H>) -> bool {
        self.inbox.try_send(message).is_ok()
    }
}

/// A call without its final answer.
struct OpenCall<H: Host> {
    call: Box<Call<H>>,
    /// When the call's first attempt that may have run was sent, µs.
    first_run_sent_at: Option<Micros>,
}

/// An attempt in flight.
struct RunningAttempt {
    /// When it was sent, µs.
    sent: Micros,
    server: ServerId,
    task: Task<()>,
}

/// The task that owns a core and its host.
pub struct Engine<H: Host> {
    core: Core,
    clock: Clock,
    inbox: Receiver<Message<H>>,
    host: H,
    calls: BTreeMap<CallId, OpenCall<H>>,
    /// Attempts in flight, by call and number of the attempt.
    running: BTreeMap<(CallId, u32), RunningAttempt>,
    started_at: Micros,
    throttle: Throttle,
    answer_stats: AnswerStats,
    longest_batch: Micros,
}

impl<H: Host> Engine<H> {
    /// Creates an engine; the current time counts as its start.
    pub fn new(core: Core, host: H, clock: Clock, inbox: Receiver<Message<H>>) -> Engine<H> {
        Engine {
            core,
            clock,
            inbox,
            host,
            calls: BTreeMap::new(),
            running: BTreeMap::new(),
            started_at: clock.now(),
            throttle: Throttle::default(),
            answer_stats: AnswerStats::default(),
            longest_batch: 0,
        }
    }

    /// Runs until [`Message::Stop`].
    pub async fn run(mut self) {
        let mut commands = Vec::new();
        // The first pass does not wait for a message, so that the core and the host start at once.
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
            let batch_start = self.clock.now();
            let mut next = message;
            // Queued messages are handled before the timers: after a stall, responses that arrived in time must
            // be handled before the deadlines that passed in the meantime.
            for _ in 0..MAX_BATCH_MESSAGES {
                let Some(message) = next.take().or_else(|| self.inbox.try_recv().ok()) else { break };
                if matches!(message, Message::Stop) {
                    return;
                }
                self.handle_message(message, &mut commands);
                self.execute(&mut commands);
            }
            let now = self.clock.now();
            self.core.advance(now, &mut commands);
            self.execute(&mut commands);
            self.with_host(|host, context| host.after_batch(now, context));
            self.longest_batch = self.longest_batch.max(self.clock.now().saturating_sub(batch_start));
        }
    }

    fn with_host(&mut self, run: impl FnOnce(&mut H, EngineContext<'_>)) {
        let context = EngineContext {
            core: &mut self.core,
            answer_stats: &self.answer_stats,
            attempts_in_flight: self.running.len(),
            queued_messages: self.inbox.len(),
            started_at: self.started_at,
            longest_batch: self.longest_batch,
        };
        run(&mut self.host, context);
    }

    fn handle_message(&mut self, message: Message<H>, out: &mut Vec<Command>) {
        let now = self.clock.now();
        match message {
            Message::Call(call) => {
                let input = self.host.register_call(&call);
                self.calls.insert(call.call_id, OpenCall { call, first_run_sent_at: None });
                self.core.handle(now, input, out);
            }
            Message::ClientDisconnected(call_id) => {
                self.calls.remove(&call_id);
                self.core.handle(now, Input::ClientDisconnected { call_id }, out);
            }
            Message::Ended { call_id, attempt, ended } => {
                self.attempt_ended(now, call_id, attempt, ended, out)
            }
            Message::Probed { server, ended } => {
                let ok = if ended.status == Status::Ok { "yes" } else { "no" };
                let reports_load = if ended.load.is_some() { "yes" } else { "no" };
                metrics::counter!("frostgauge_probes", "ok" => ok, "load" => reports_load).increment(1);
                let input = Input::Probed { server, status: ended.status, load: ended.load };
                self.core.handle(now, input, out);
            }
            Message::PeerMessage { from, data } => {
                self.core.handle(now, Input::PeerMessage { from, data }, out)
            }
            Message::Host(event) => {
                self.with_host(|host, context| host.handle_event(now, event, context, out));
            }
            Message::Stop => {}
        }
    }

    /// Handles the end of an attempt. Ignores an attempt that was cancelled: its end was handed in at that time.
    fn attempt_ended(
        &mut self,
        now: Micros,
        call_id: CallId,
        attempt: u32,
        ended: AttemptOutcome,
        out: &mut Vec<Command>,
    ) {
        let Some(running) = self.running.remove(&(call_id, attempt)) else { return };
        self.host.attempt_ended(running.server);
        let AttemptOutcome { status, response, quota_use: used, load } = ended;
        let elapsed = now.saturating_sub(running.sent);
        let server = running.server;
        tracing::debug!(request = call_id, attempt, ?server, ?status, elapsed, "attempt ended");
        if let Some(open) = self.calls.get_mut(&call_id).filter(|_| status.may_have_run()) {
            open.first_run_sent_at.get_or_insert(running.sent);
        }
        let end = AttemptEnd { call_id, attempt, server, status, elapsed, usage: used, load };
        let first_new = out.len();
        self.core.handle(now, Input::AttemptEnded(end), out);
        let deliver = Command::Deliver { call_id, attempt };
        if let Some(offset) = out[first_new..].iter().position(|command| *command == deliver) {
            out.remove(first_new + offset);
            if let (Some(response), Some(OpenCall { call, .. })) = (response, self.calls.remove(&call_id)) {
                self.answer_stats.record("served", "served", now.saturating_sub(call.arrived));
                let _ = call.reply.try_send(Reply::Server(response));
            }
        }
    }

    /// Executes commands until the core returns no more of them.
    fn execute(&mut self, commands: &mut Vec<Command>) {
        let mut inputs = Vec::new();
        loop {
            for command in commands.drain(..) {
                inputs.extend(match command {
                    Command::Send { call_id, attempt, server, timeout, grant } => {
                        let open = self.calls.get(&call_id);
                        let first_run_sent_at = open.and_then(|open| open.first_run_sent_at);
                        let start = Attempt { call_id, attempt, server, timeout, grant, first_run_sent_at };
                        let task = self.host.start_attempt(start, open.map(|open| &*open.call));
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
                    // Removed in `attempt_ended`, which has the response.
                    Command::Deliver { .. } => None,
                    Command::Log(text) => {
                        tracing::info!(text, "decisions");
                        None
                    }
                    other => self.host.execute(self.clock.now(), other),
                });
            }
            let Some(input) = inputs.pop() else { return };
            self.core.handle(self.clock.now(), input, commands);
        }
    }

    /// Cancels an attempt by dropping its task, which closes its connection. Returns the core's input for its end.
    fn cancel(&mut self, call_id: CallId, attempt: u32) -> Option<Input> {
        let running = self.running.remove(&(call_id, attempt))?;
        drop(running.task);
        self.host.attempt_ended(running.server);
        let elapsed = self.clock.now().saturating_sub(running.sent);
        let (server, status) = (running.server, Status::Cancelled);
        let end = AttemptEnd { call_id, attempt, server, status, elapsed, usage: None, load: None };
        Some(Input::AttemptEnded(end))
    }

    fn answer(&mut self, call_id: CallId, answer: GatewayAnswer) {
        let Some(OpenCall { call, .. }) = self.calls.remove(&call_id) else { return };
        let now = self.clock.now();
        let (kind, reason) = (answer_kind(&answer), answer.reason());
        self.answer_stats.record(kind, reason, now.saturating_sub(call.arrived));
        if let Some(suppressed) = self.throttle.allow(now, reason) {
            tracing::info!(
                request = call_id,
                kind,
                reason,
                more = suppressed,
                "request answered without a server response"
            );
        }
        let _ = call.reply.try_send(Reply::Gateway(answer));
    }
}

/// The label of an answer's kind in metrics and logs.
fn answer_kind(answer: &GatewayAnswer) -> &'static str {
    match answer {
        GatewayAnswer::Denied(_) | GatewayAnswer::UnknownTenant | GatewayAnswer::NotAllowed => "denied",
        GatewayAnswer::TokenUnverified { .. }
        | GatewayAnswer::FallbackRulesOnly { .. }
        | GatewayAnswer::Rejected { .. } => "refused",
        GatewayAnswer::Failed(_) => "failed",
    }
}
