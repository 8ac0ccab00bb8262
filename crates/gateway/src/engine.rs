//! The one task that owns the core: messages in from sockets, commands out to them. What lies around it, other
//! than requests and their attempts, is an [`Outside`]: with tokens and a settings file ([`crate::oauth`]), or on
//! the platform.

use crate::clock::{Clock, Micros};
use crate::core::{Command, Core, Input};
use crate::log::Throttle;
use crate::observe::Observed;
use crate::reply::Final;
use crate::upstream::Ended;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use frostgauge::{ServerId, Status};
use frostgauge_net::{until, Response, Timed};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Messages that may wait for the engine; a front that finds it full waits, and so do its clients.
const INBOX: usize = 16 << 10;
/// Messages taken in one batch, before timers are looked at.
const BATCH: usize = 512;

/// What lies around an engine: who its callers are, how requests are passed on, and what else happens there.
pub trait Outside: Sized + Send + 'static {
    /// Who calls, and what for.
    type Caller: std::fmt::Debug + Send;
    /// What is needed to pass a request on.
    type Forward: std::fmt::Debug + Send;
    /// What may happen here beside requests.
    type News: std::fmt::Debug + Send;
    /// What fronts share with the engine.
    type Shared: Clone + std::fmt::Debug + Send + Sync;

    /// How a call enters the core.
    fn enter(&mut self, call: &Call<Self>) -> Input;
    /// Takes news.
    fn news(&mut self, now: Micros, news: Self::News, inside: Inside<'_>, out: &mut Vec<Command>);
    /// Starts an attempt; its task hands in [`Message::Ended`] exactly once, and dropping it ends the attempt.
    fn start(&mut self, attempt: Attempt, call: Option<&Call<Self>>) -> Task<()>;
    /// An attempt ended.
    fn over(&mut self, _server: ServerId) {}
    /// Carries out any other command; what has ended with it comes back at once.
    fn command(&mut self, now: Micros, command: Command) -> Option<Input>;
    /// Comes after each batch.
    fn rest(&mut self, _now: Micros, _inside: Inside<'_>) {}
}

/// An attempt to be started.
#[derive(Debug)]
pub struct Attempt {
    /// The request.
    pub ticket: u64,
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

/// What an outside may see and use of its engine.
pub struct Inside<'a> {
    /// The decisions.
    pub core: &'a mut Core,
    /// Answers so far.
    pub observed: &'a Observed,
    /// Attempts out.
    pub attempts: usize,
    /// Messages waiting.
    pub inbox: usize,
    /// When the engine started.
    pub started: Micros,
    /// Longest batch so far, µs: how long a message may have waited for its turn.
    pub longest: Micros,
}

/// A request, as a front hands it in.
#[derive(Debug)]
pub struct Call<O: Outside> {
    /// Its number, from [`Handle::ticket`].
    pub ticket: u64,
    /// Who calls.
    pub caller: O::Caller,
    /// When it was whole.
    pub arrived: Micros,
    /// How long its client waits.
    pub patience: Micros,
    /// Its client marked it as a repeat.
    pub repeat: bool,
    /// What to pass on.
    pub forward: O::Forward,
    /// Where its one reply goes; room for one.
    pub reply: Sender<Reply>,
}

impl<O: Outside> Call<O> {
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
    /// A node's.
    Node(Box<Response>),
    /// The gateway's own.
    Own(Final),
}

/// What comes in.
#[derive(Debug)]
pub enum Message<O: Outside> {
    /// A call.
    Call(Box<Call<O>>),
    /// A call's client left.
    Left(u64),
    /// An attempt ended.
    Ended {
        /// The request.
        ticket: u64,
        /// Its attempt.
        attempt: u32,
        /// How.
        ended: Ended,
    },
    /// A probe ended.
    Probed {
        /// The node.
        server: ServerId,
        /// How.
        ended: Ended,
    },
    /// A message of another gateway.
    Peer {
        /// Its number.
        from: usize,
        /// The message.
        data: Vec<u8>,
    },
    /// News that only the outside knows what to do with.
    News(O::News),
    /// Nothing more comes; the engine ends.
    Stop,
}

/// What a front needs of the engine.
#[derive(Debug)]
pub struct Handle<O: Outside> {
    inbox: Sender<Message<O>>,
    tickets: Arc<AtomicU64>,
    /// What the outside shares with fronts.
    pub shared: O::Shared,
    /// The clock that the engine goes by.
    pub clock: Clock,
}

impl<O: Outside> Clone for Handle<O> {
    fn clone(&self) -> Self {
        Handle {
            inbox: self.inbox.clone(),
            tickets: self.tickets.clone(),
            shared: self.shared.clone(),
            clock: self.clock,
        }
    }
}

impl<O: Outside> Handle<O> {
    /// A handle, and what an engine takes messages from.
    pub fn new(clock: Clock, shared: O::Shared) -> (Handle<O>, Receiver<Message<O>>) {
        let (inbox, messages) = async_channel::bounded(INBOX);
        // Numbers of one process are told apart from those of its earlier lives by the start time.
        (Handle { inbox, tickets: Arc::new(AtomicU64::new(1)), shared, clock }, messages)
    }

    /// A number for the next call.
    pub fn ticket(&self) -> u64 {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Where messages go, for tasks that send many.
    pub fn inbox(&self) -> Sender<Message<O>> {
        self.inbox.clone()
    }

    /// Hands in a message; false once the engine has ended.
    pub async fn send(&self, message: Message<O>) -> bool {
        self.inbox.send(message).await.is_ok()
    }

    /// Hands in a message without waiting; false if there is no room.
    pub fn try_send(&self, message: Message<O>) -> bool {
        self.inbox.try_send(message).is_ok()
    }
}

/// An open call.
struct Open<O: Outside> {
    call: Box<Call<O>>,
    /// When its first attempt that may have run was sent.
    ran: Option<Micros>,
}

struct Running {
    sent: Micros,
    server: ServerId,
    task: Task<()>,
}

/// The engine.
pub struct Engine<O: Outside> {
    core: Core,
    clock: Clock,
    inbox: Receiver<Message<O>>,
    outside: O,
    calls: BTreeMap<u64, Open<O>>,
    running: BTreeMap<(u64, u32), Running>,
    started: Micros,
    throttle: Throttle,
    observed: Observed,
    longest: Micros,
}

impl<O: Outside> Engine<O> {
    /// An engine that starts now.
    pub fn new(core: Core, outside: O, clock: Clock, inbox: Receiver<Message<O>>) -> Engine<O> {
        Engine {
            core,
            clock,
            inbox,
            outside,
            calls: BTreeMap::new(),
            running: BTreeMap::new(),
            started: clock.now(),
            throttle: Throttle::default(),
            observed: Observed::default(),
            longest: 0,
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
            for _ in 0..BATCH {
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
            self.with_outside(|outside, inside| outside.rest(now, inside));
            self.longest = self.longest.max(self.clock.now().saturating_sub(began));
        }
    }

    fn with_outside(&mut self, run: impl FnOnce(&mut O, Inside<'_>)) {
        let inside = Inside {
            core: &mut self.core,
            observed: &self.observed,
            attempts: self.running.len(),
            inbox: self.inbox.len(),
            started: self.started,
            longest: self.longest,
        };
        run(&mut self.outside, inside);
    }

    fn message(&mut self, message: Message<O>, out: &mut Vec<Command>) {
        let now = self.clock.now();
        match message {
            Message::Call(call) => {
                let input = self.outside.enter(&call);
                self.calls.insert(call.ticket, Open { call, ran: None });
                self.core.handle(now, input, out);
            }
            Message::Left(ticket) => {
                self.calls.remove(&ticket);
                self.core.handle(now, Input::Left { ticket }, out);
            }
            Message::Ended { ticket, attempt, ended } => self.ended(now, ticket, attempt, ended, out),
            Message::Probed { server, ended } => {
                let ok = if ended.status == Status::Ok { "yes" } else { "no" };
                let told = if ended.load.is_some() { "yes" } else { "no" };
                metrics::counter!("frostgauge_probes", "ok" => ok, "load" => told).increment(1);
                let input = Input::Probed { server, status: ended.status, load: ended.load };
                self.core.handle(now, input, out);
            }
            Message::Peer { from, data } => self.core.handle(now, Input::Peer { from, data }, out),
            Message::News(news) => {
                self.with_outside(|outside, inside| outside.news(now, news, inside, out));
            }
            Message::Stop => {}
        }
    }

    /// An attempt's end; one that was called off has ended already.
    fn ended(&mut self, now: Micros, ticket: u64, attempt: u32, ended: Ended, out: &mut Vec<Command>) {
        let Some(run) = self.running.remove(&(ticket, attempt)) else { return };
        self.outside.over(run.server);
        let Ended { status, response, used, load } = ended;
        let took = now.saturating_sub(run.sent);
        if let Some(open) = self.calls.get_mut(&ticket).filter(|_| status.may_have_run()) {
            open.ran.get_or_insert(run.sent);
        }
        let input = Input::AttemptEnded { ticket, attempt, server: run.server, status, took, used, load };
        let from = out.len();
        self.core.handle(now, input, out);
        let deliver = Command::Deliver { ticket, attempt };
        if let Some(at) = out[from..].iter().position(|c| *c == deliver) {
            out.remove(from + at);
            if let (Some(response), Some(Open { call, .. })) = (response, self.calls.remove(&ticket)) {
                self.observed.answer("served", "served", now.saturating_sub(call.arrived));
                let _ = call.reply.try_send(Reply::Node(response));
            }
        }
    }

    fn carry_out(&mut self, commands: &mut Vec<Command>) {
        let mut ended = Vec::new();
        loop {
            for command in commands.drain(..) {
                ended.extend(match command {
                    Command::Send { ticket, attempt, server, timeout, grant } => {
                        let open = self.calls.get(&ticket);
                        let ran = open.and_then(|o| o.ran);
                        let start = Attempt { ticket, attempt, server, timeout, grant, ran };
                        let task = self.outside.start(start, open.map(|o| &*o.call));
                        metrics::counter!("frostgauge_attempts").increment(1);
                        let sent = self.clock.now();
                        self.running.insert((ticket, attempt), Running { sent, server, task });
                        None
                    }
                    Command::Cancel { ticket, attempt } => self.cancel(ticket, attempt),
                    Command::Answer { ticket, answer } => {
                        self.answer(ticket, answer);
                        None
                    }
                    // Taken out where the response is at hand.
                    Command::Deliver { .. } => None,
                    Command::Log(text) => {
                        tracing::info!(text, "decisions");
                        None
                    }
                    other => self.outside.command(self.clock.now(), other),
                });
            }
            let Some(input) = ended.pop() else { return };
            self.core.handle(self.clock.now(), input, commands);
        }
    }

    /// Stops waiting for an attempt: dropping its task closes its connection.
    fn cancel(&mut self, ticket: u64, attempt: u32) -> Option<Input> {
        let run = self.running.remove(&(ticket, attempt))?;
        drop(run.task);
        self.outside.over(run.server);
        let took = self.clock.now().saturating_sub(run.sent);
        let (server, status, used, load) = (run.server, Status::Cancelled, None, None);
        Some(Input::AttemptEnded { ticket, attempt, server, status, took, used, load })
    }

    fn answer(&mut self, ticket: u64, answer: Final) {
        let Some(Open { call, .. }) = self.calls.remove(&ticket) else { return };
        let now = self.clock.now();
        let (kind, reason) = (kind(&answer), answer.reason());
        self.observed.answer(kind, reason, now.saturating_sub(call.arrived));
        if let Some(more) = self.throttle.pass(now, reason) {
            tracing::info!(request = ticket, kind, reason, more, "not served");
        }
        let _ = call.reply.try_send(Reply::Own(answer));
    }
}

fn kind(answer: &Final) -> &'static str {
    match answer {
        Final::Denied(_) | Final::UnknownInsurer | Final::NotAllowed => "denied",
        Final::NoVerdict { .. } | Final::OnGround { .. } | Final::Refused { .. } => "refused",
        Final::Failed(_) => "failed",
    }
}
