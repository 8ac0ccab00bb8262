//! Follows the list of servers by polls of discovery's agent: one after another on one connection while the responses
//! come in time, more beside each other while they do not.

mod poll;

use crate::host::{HostEvent, Platform};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use frostgauge_gateway::engine::Message;
use frostgauge_resource_policy::watch::{ListWatch, PollId, Received, RESPONSE_SLACK_MS};
use futures_lite::future::or;
use poll::{Answer, Ended, PollError, PollsInFlight};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Follows the list until the engine is gone; `moves` receives discovery's new addresses, the lists being received take at
/// most `list_bytes`, `roll` returns random numbers from 0 up to 1.
pub async fn follow(
    address: SocketAddr,
    moves: Receiver<SocketAddr>,
    inbox: Sender<Message<Platform>>,
    list_bytes: usize,
    roll: impl FnMut() -> f64,
) {
    let follower = Follower {
        address,
        connection: None,
        watch: ListWatch::default(),
        polls: PollsInFlight::new(list_bytes),
        next_poll_at: Instant::now(),
        responses: Responses::InTime,
        moves,
        inbox,
        roll,
    };
    follower.run().await;
}

/// How discovery's responses come, as last logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Responses {
    InTime,
    Late,
    Missing,
}

struct Follower<R> {
    address: SocketAddr,
    /// An idle connection for the next poll.
    connection: Option<Async<TcpStream>>,
    watch: ListWatch,
    polls: PollsInFlight,
    /// When the next poll is sent: at once after a response, after a pause, or when the last poll is overdue.
    next_poll_at: Instant,
    responses: Responses,
    moves: Receiver<SocketAddr>,
    inbox: Sender<Message<Platform>>,
    roll: R,
}

/// What comes first.
enum Step {
    /// Discovery has this address from now on.
    Moved(SocketAddr),
    /// A poll ended.
    Ended(Ended),
    /// The next poll is to be sent.
    Due,
}

impl<R: FnMut() -> f64> Follower<R> {
    async fn run(mut self) {
        while !self.inbox.is_closed() {
            match self.next_step().await {
                Step::Moved(to) => self.move_to(to),
                Step::Due => self.send_poll(),
                Step::Ended(ended) => {
                    let Some(event) = self.handle_end(ended) else { continue };
                    if self.inbox.send(Message::Host(event)).await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    async fn next_step(&mut self) -> Step {
        let moved = async { Step::Moved(next_move(&self.moves).await) };
        let ended = async { Step::Ended(self.polls.next_end().await) };
        let due_at = self.next_poll_at;
        let due = async {
            if Instant::now() < due_at {
                Timer::at(due_at).await;
            }
            Step::Due
        };
        or(moved, or(ended, due)).await
    }

    /// Sends a poll, beside those in flight.
    fn send_poll(&mut self) {
        let mut in_flight = self.polls.ids();
        if in_flight.iter().any(|id| self.watch.is_current(*id)) {
            self.watch.poll_overdue();
            // A discovery that answers late is not taken for silent before a poll is given up.
            if self.responses == Responses::InTime {
                self.log_missing(&PollError::TimedOut);
            }
        }
        while let Some(index) = self.watch.poll_to_drop(&in_flight) {
            in_flight.remove(index);
            self.polls.drop_poll(index);
        }
        let poll = self.watch.next_poll();
        self.next_poll_at = Instant::now() + Duration::from_millis(poll.overdue_after_ms);
        self.polls.send(poll, self.address, self.connection.take());
    }

    /// Handles the end of a poll; returns the list that it brought, if that is to be applied.
    fn handle_end(&mut self, ended: Ended) -> Option<HostEvent> {
        let Ended { id, delay, result } = ended;
        let is_current = self.watch.is_current(id);
        let answer = match result {
            Ok(answer) => answer,
            Err(error) => {
                if is_current {
                    self.handle_failure(id, error);
                }
                return None;
            }
        };
        let Answer { list, connection } = answer;
        let delay_ms = delay.map(|delay| delay.as_millis() as u64);
        let received = self.watch.response_received(id, list.reset, list.generation, delay_ms);
        if is_current && received == Received::Unusable {
            let reason = "changes to a list that is not held".to_owned();
            self.handle_failure(id, PollError::Unreadable(reason));
            return None;
        }
        if is_current {
            self.connection = connection;
            self.next_poll_at = Instant::now();
            self.log_response(list.generation, delay_ms);
        }
        match received {
            Received::Apply(kind) => Some(HostEvent::Listed(kind, list.instances)),
            Received::Outdated | Received::Unusable => None,
        }
    }

    /// Pauses before the next poll after one that failed.
    fn handle_failure(&mut self, id: PollId, error: PollError) {
        if self.responses != Responses::Missing {
            self.log_missing(&error);
        }
        if matches!(error, PollError::TimedOut) {
            // Others were sent beside it since it was overdue.
            return self.watch.poll_timed_out(id);
        }
        let is_unreadable = matches!(error, PollError::Unreadable(_));
        if is_unreadable {
            // The polls in flight request changes to a list that is not held any more.
            self.polls.clear();
        }
        let pause = Duration::from_micros(self.watch.poll_failed(is_unreadable, (self.roll)()));
        let after_pause = Instant::now() + pause;
        self.next_poll_at = if is_unreadable { after_pause } else { self.next_poll_at.min(after_pause) };
    }

    fn log_missing(&mut self, reason: &PollError) {
        self.responses = Responses::Missing;
        tracing::warn!(address = %self.address, %reason, "discovery does not answer; the list held stays");
    }

    fn log_response(&mut self, generation: u64, delay_ms: Option<u64>) {
        let responses = match (self.responses, delay_ms) {
            // What was held back by an outage is late without a slow discovery.
            (Responses::Missing, _) => Responses::InTime,
            (_, Some(delay_ms)) if delay_ms > RESPONSE_SLACK_MS => Responses::Late,
            (Responses::Late, None) => Responses::Late,
            _ => Responses::InTime,
        };
        if std::mem::replace(&mut self.responses, responses) == responses {
            return;
        }
        match responses {
            Responses::Late => tracing::warn!(address = %self.address, delay_ms, "discovery answers late"),
            _ => tracing::info!(generation, "discovery answers again"),
        }
    }

    fn move_to(&mut self, address: SocketAddr) {
        self.address = address;
        self.connection = None;
        self.polls.clear();
        self.watch.reset();
        self.next_poll_at = Instant::now();
        tracing::info!(%address, "discovery moved");
    }
}

/// Waits for discovery's next address; forever once none can come.
async fn next_move(moves: &Receiver<SocketAddr>) -> SocketAddr {
    match moves.recv().await {
        Ok(to) => to,
        Err(_) => std::future::pending().await,
    }
}
