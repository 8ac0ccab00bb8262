//! Encodes answers to clients.

use frostgauge_gateway::engine::Reply;
use frostgauge_gateway::reply::GatewayAnswer;
use frostgauge_net::{Reservation, Response};
use frostgauge_proto::http::{write_response, Body};

/// Content up to this length is copied behind its head, bytes: one write is cheaper than two.
const MAX_COPIED_CONTENT: usize = 1 << 10;

/// An answer to be written, with the memory of its content.
#[derive(Default)]
pub(super) struct Answer {
    /// Its head, and what content is copied.
    pub(super) head: Vec<u8>,
    /// The rest of its content.
    pub(super) content: Vec<u8>,
    _memory: Reservation,
}

impl Answer {
    /// An answer that is encoded whole.
    pub(super) fn encoded(head: Vec<u8>) -> Answer {
        Answer { head, ..Answer::default() }
    }
}

/// Encodes a reply.
pub(super) fn reply(reply: Reply, close: bool) -> Answer {
    match reply {
        Reply::Server(response) => server_response(*response, close),
        Reply::Gateway(answer) => {
            let (status, wait) = status_of(&answer);
            own(status, wait, close, answer.reason())
        }
    }
}

/// Encodes a server's response.
fn server_response(response: Response, close: bool) -> Answer {
    let Response { head, body, mut memory } = response;
    let kind = head.one("content-type").map(|k| ("content-type", k.as_bytes()));
    let end = close.then_some(("connection", &b"close"[..]));
    let mut answer = Answer::default();
    write_response(&mut answer.head, 200, kind.into_iter().chain(end), Body::Stated(body.len()));
    drop(head);
    if body.len() <= MAX_COPIED_CONTENT {
        answer.head.extend_from_slice(&body);
        return answer;
    }
    // Less than before is always to be had.
    let _ = memory.resize(body.capacity());
    Answer { content: body, _memory: memory, ..answer }
}

/// Encodes an answer of the gateway's own.
pub(super) fn own(status: u16, retry_after_us: Option<u64>, close: bool, text: &str) -> Answer {
    let mut answer = Answer::default();
    write_own(&mut answer.head, status, retry_after_us, close, text);
    answer
}

/// Writes an answer of the gateway's own.
pub(super) fn write_own(
    out: &mut Vec<u8>,
    status: u16,
    retry_after_us: Option<u64>,
    close: bool,
    text: &str,
) {
    let wait = retry_after_us.filter(|w| *w > 0).map(|w| format!("{:.3}", w as f64 / 1e6));
    let wait = wait.as_ref().map(|w| ("retry-after", w.as_bytes()));
    let end = close.then_some(("connection", &b"close"[..]));
    write_response(out, status, wait.into_iter().chain(end), Body::Whole(text.as_bytes()));
}

/// Status and retry advice (µs) of a final answer: 429 and 503 state that a retry does no harm, any other status that the
/// request may have run.
fn status_of(answer: &GatewayAnswer) -> (u16, Option<u64>) {
    match answer {
        GatewayAnswer::Rejected { why: frostgauge::RejectReason::InvalidRequest, .. } => (400, None),
        GatewayAnswer::Rejected {
            why: frostgauge::RejectReason::Quota | frostgauge::RejectReason::Ceiling,
            retry_after,
        } => (429, Some(*retry_after)),
        GatewayAnswer::Rejected { retry_after, .. } => (503, Some(*retry_after)),
        _ => (502, None),
    }
}
