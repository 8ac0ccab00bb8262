//! Follows the list of servers: one long poll after another to discovery's agent, on one connection.

use crate::host::{HostEvent, Platform};
use async_channel::{Receiver, Sender};
use async_io::Async;
use frostgauge_gateway::engine::Message;
use frostgauge_net::{talk, until, Timed};
use frostgauge_platform_protocol::targets::{self, TargetList, MAX_BYTES};
use frostgauge_proto::http::{write_request, Body, Limits};
use frostgauge_resource_policy::watch::{ListWatch, RESPONSE_SLACK_MS};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Bounds of an answer.
const LIMITS: Limits = Limits { line: 8 << 10, fields: 64, head: 16 << 10, body: MAX_BYTES };

/// Why a poll failed.
#[derive(Debug, thiserror::Error)]
enum PollError {
    /// No answer, or one without a list: what it would have contained is still to come.
    #[error("{0}")]
    NoAnswer(String),
    /// The answer is unreadable, and what it contained is lost.
    #[error("{0}")]
    Unreadable(String),
}

/// Follows the list until the engine is gone; `moves` receives discovery's new addresses, `roll` returns random
/// numbers from 0 up to 1.
pub async fn follow(
    address: SocketAddr,
    moves: Receiver<SocketAddr>,
    inbox: Sender<Message<Platform>>,
    roll: impl FnMut() -> f64,
) {
    let follower = Follower {
        address,
        connection: None,
        watch: ListWatch::default(),
        failing: false,
        moves,
        inbox,
        roll,
    };
    follower.run().await;
}

struct Follower<R> {
    address: SocketAddr,
    connection: Option<Async<TcpStream>>,
    watch: ListWatch,
    /// The last poll failed.
    failing: bool,
    moves: Receiver<SocketAddr>,
    inbox: Sender<Message<Platform>>,
    roll: R,
}

impl<R: FnMut() -> f64> Follower<R> {
    async fn run(mut self) {
        loop {
            let polled = match self.step().await {
                Step::Polled(polled) => polled,
                Step::Moved(to) => {
                    self.connection = None;
                    self.move_to(to);
                    continue;
                }
            };
            match polled.and_then(|list| self.accept(list)) {
                Ok(event) => {
                    if self.inbox.send(Message::Host(event)).await.is_err() {
                        return;
                    }
                }
                Err(error) => self.pause(error).await,
            }
            if self.inbox.is_closed() {
                return;
            }
        }
    }

    /// Polls, unless discovery moves before the answer.
    async fn step(&mut self) -> Step {
        let moved = async { Step::Moved(next_move(&self.moves).await) };
        let polled = async { Step::Polled(poll(&self.watch, self.address, &mut self.connection).await) };
        futures_lite::future::or(moved, polled).await
    }

    /// Takes an answer, if it is the whole list or follows the known version.
    fn accept(&mut self, list: TargetList) -> Result<HostEvent, PollError> {
        let Some(kind) = self.watch.response_received(list.reset, list.generation) else {
            return Err(PollError::Unreadable("changes to a list that is not held".to_owned()));
        };
        if std::mem::take(&mut self.failing) {
            tracing::info!(generation = list.generation, "discovery answers again");
        }
        Ok(HostEvent::Listed(kind, list.instances))
    }

    /// Waits before the next poll after a failed one, or until discovery moves.
    async fn pause(&mut self, error: PollError) {
        self.connection = None;
        if !std::mem::replace(&mut self.failing, true) {
            tracing::warn!(address = %self.address, reason = %error, "discovery does not answer; the list held stays");
        }
        let unreadable = matches!(error, PollError::Unreadable(_));
        let pause = Duration::from_micros(self.watch.poll_failed(unreadable, (self.roll)()));
        if let Timed::Done(to) = until(Instant::now() + pause, next_move(&self.moves)).await {
            self.move_to(to);
        }
    }

    fn move_to(&mut self, address: SocketAddr) {
        self.address = address;
        self.watch.reset();
        tracing::info!(%address, "discovery moved");
    }
}

/// What comes first.
enum Step {
    Moved(SocketAddr),
    Polled(Result<TargetList, PollError>),
}

/// Waits for discovery's next address; forever once none can come.
async fn next_move(moves: &Receiver<SocketAddr>) -> SocketAddr {
    match moves.recv().await {
        Ok(to) => to,
        Err(_) => std::future::pending().await,
    }
}

/// Polls once, on the kept connection or a new one.
async fn poll(
    watch: &ListWatch,
    to: SocketAddr,
    connection: &mut Option<Async<TcpStream>>,
) -> Result<TargetList, PollError> {
    let (changes, timeout_ms) = watch.next_poll();
    let target = targets::poll_path_and_query(changes);
    let no_answer = |e: std::io::Error| PollError::NoAnswer(e.to_string());
    let late = || PollError::NoAnswer("no answer in time".to_owned());
    let stream = match connection.take() {
        Some(stream) => stream,
        None => {
            let limit = Instant::now() + Duration::from_millis(RESPONSE_SLACK_MS);
            match until(limit, Async::<TcpStream>::connect(to)).await {
                Timed::Done(stream) => stream.map_err(no_answer)?,
                Timed::Late => return Err(late()),
            }
        }
    };
    let mut request = Vec::new();
    let host = to.to_string();
    write_request(&mut request, "GET", &target, [("host", host.as_bytes())].into_iter(), Body::None);
    let deadline = Instant::now() + Duration::from_millis(timeout_ms);
    let mut written = 0;
    let (response, keep) = match until(deadline, talk(&stream, &request, false, &LIMITS, &mut written)).await
    {
        Timed::Done(Ok(answer)) => answer,
        Timed::Done(Err(e)) if e.kind() == std::io::ErrorKind::InvalidData => {
            return Err(PollError::Unreadable(e.to_string()));
        }
        Timed::Done(Err(e)) => return Err(no_answer(e)),
        Timed::Late => return Err(late()),
    };
    if response.head.status() != 200 {
        return Err(PollError::NoAnswer(format!("status {}", response.head.status())));
    }
    let list = TargetList::read(&response.body).map_err(|error| PollError::Unreadable(error.to_string()))?;
    *connection = keep.then_some(stream);
    Ok(list)
}
