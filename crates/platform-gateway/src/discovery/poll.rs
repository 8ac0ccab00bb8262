//! One poll of discovery's agent, and the polls in flight.

use async_io::Async;
use frostgauge_net::{receive_within, send, until, MemoryBudget, ResponseMemory, Timed};
use frostgauge_platform_protocol::targets::{self, TargetList, MAX_BYTES};
use frostgauge_proto::http::{write_request, Body, Limits};
use frostgauge_resource_policy::watch::{Poll, PollId};
use std::future::{poll_fn, Future};
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll as TaskPoll};
use std::time::{Duration, Instant};

/// Bounds of a response, beside the memory for lists.
const LIMITS: Limits = Limits { line: 8 << 10, fields: 64, head: 16 << 10, body: MAX_BYTES };
/// Bytes that each poll may hold without the memory for lists: most bring no list, or a short one.
const POLL_ALLOWANCE: usize = 16 << 10;

/// Why a poll failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollError {
    /// No response within the poll's timeout.
    #[error("no answer in time")]
    TimedOut,
    /// No response, or one without a list: what it would have contained is still to come.
    #[error("{0}")]
    NoAnswer(String),
    /// The response is unreadable, and what it contained is lost.
    #[error("{0}")]
    Unreadable(String),
}

/// The list in a response, and its connection if that may be used again.
pub(super) struct Answer {
    pub(super) list: TargetList,
    pub(super) connection: Option<Async<TcpStream>>,
}

/// The end of a poll.
pub(super) struct Ended {
    pub(super) id: PollId,
    /// Time from the end of the poll's hold to its own end; `None` if it ended within the hold.
    pub(super) delay: Option<Duration>,
    pub(super) result: Result<Answer, PollError>,
}

struct InFlight {
    poll: Poll,
    sent_at: Instant,
    exchange: Pin<Box<dyn Future<Output = Result<Answer, PollError>> + Send>>,
}

/// The polls in flight, in the order of sending.
pub(super) struct PollsInFlight {
    polls: Vec<InFlight>,
    memory: MemoryBudget,
}

impl PollsInFlight {
    /// None yet; together they may hold so many bytes of lists.
    pub(super) fn new(list_bytes: usize) -> PollsInFlight {
        PollsInFlight { polls: Vec::new(), memory: MemoryBudget::new(list_bytes, 0) }
    }

    /// Sends a poll on this connection, or else on a new one.
    pub(super) fn send(&mut self, poll: Poll, to: SocketAddr, connection: Option<Async<TcpStream>>) {
        let memory = ResponseMemory::of(&self.memory, POLL_ALLOWANCE);
        let exchange = Box::pin(exchange_within_timeout(poll, to, connection, memory));
        self.polls.push(InFlight { poll, sent_at: Instant::now(), exchange });
    }

    /// The numbers of the polls.
    pub(super) fn ids(&self) -> Vec<PollId> {
        self.polls.iter().map(|in_flight| in_flight.poll.id).collect()
    }

    /// Drops a poll, which closes its connection.
    pub(super) fn drop_poll(&mut self, index: usize) {
        self.polls.remove(index);
    }

    /// Drops all polls.
    pub(super) fn clear(&mut self) {
        self.polls.clear();
    }

    /// Waits until a poll ends, and removes it; forever if there is none.
    pub(super) async fn next_end(&mut self) -> Ended {
        poll_fn(|context| self.poll_next_end(context)).await
    }

    fn poll_next_end(&mut self, context: &mut Context<'_>) -> TaskPoll<Ended> {
        for index in 0..self.polls.len() {
            if let TaskPoll::Ready(result) = self.polls[index].exchange.as_mut().poll(context) {
                let InFlight { poll, sent_at, .. } = self.polls.remove(index);
                let delay = sent_at.elapsed().checked_sub(Duration::from_millis(poll.hold_ms()));
                return TaskPoll::Ready(Ended { id: poll.id, delay, result });
            }
        }
        TaskPoll::Pending
    }
}

async fn exchange_within_timeout(
    poll: Poll,
    to: SocketAddr,
    connection: Option<Async<TcpStream>>,
    memory: ResponseMemory,
) -> Result<Answer, PollError> {
    let deadline = Instant::now() + Duration::from_millis(poll.timeout_ms);
    match until(deadline, exchange(poll, to, connection, memory)).await {
        Timed::Done(result) => result,
        Timed::Late => Err(PollError::TimedOut),
    }
}

/// Sends a poll and reads its response.
async fn exchange(
    poll: Poll,
    to: SocketAddr,
    connection: Option<Async<TcpStream>>,
    memory: ResponseMemory,
) -> Result<Answer, PollError> {
    let no_answer = |error: std::io::Error| PollError::NoAnswer(error.to_string());
    let stream = match connection {
        Some(stream) => stream,
        None => Async::<TcpStream>::connect(to).await.map_err(no_answer)?,
    };
    let mut request = Vec::new();
    let (target, host) = (targets::poll_path_and_query(poll.changes), to.to_string());
    write_request(&mut request, "GET", &target, [("host", host.as_bytes())].into_iter(), Body::None);
    let mut written = 0;
    send(&stream, &request, &mut written).await.map_err(no_answer)?;
    let (response, persists) = match receive_within(&stream, false, &LIMITS, None, memory).await {
        Ok(answer) => answer,
        Err(error) if error.kind() == std::io::ErrorKind::InvalidData => {
            return Err(PollError::Unreadable(error.to_string()));
        }
        Err(error) => return Err(no_answer(error)),
    };
    if response.head.status() != 200 {
        return Err(PollError::NoAnswer(format!("status {}", response.head.status())));
    }
    let list = TargetList::read(&response.body).map_err(|error| PollError::Unreadable(error.to_string()))?;
    Ok(Answer { list, connection: persists.then_some(stream) })
}
