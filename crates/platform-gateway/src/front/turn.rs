//! Turns: a connection that has taken more processor time than its allowance waits before its next request.

use super::Connection;
use async_io::Timer;
use frostgauge_net::or_closing;
use frostgauge_resource_policy::client_permits::Waiting;
use futures_lite::future::{or, yield_now};
use std::time::Instant;

/// How a connection's wait for its turn ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// It may go on.
    Come,
    /// It is to close in favour of another one; nothing that was read is unanswered.
    Evicted,
}

impl Connection {
    /// Waits until the processor time that the connection has taken allows another request. During shutdown nothing waits:
    /// what was read is still to be answered.
    pub(super) async fn wait_for_turn(&mut self) -> Turn {
        let now = Instant::now();
        let at = self.handle.shared.go_on_at(now, &mut self.work);
        if at <= now {
            // A client may send requests as fast as they are answered, without a wait in between.
            if self.has_more() {
                yield_now().await;
            }
            return Turn::Come;
        }
        let turn = async {
            Timer::at(at).await;
            Some(Turn::Come)
        };
        let turn = or_closing(&self.closing, turn);
        if self.has_more() {
            turn.await;
            return Turn::Come;
        }
        let idle = self.permit.idle(if self.used { Waiting::NextRequest } else { Waiting::FirstRequest });
        let evicted = async {
            idle.evicted().await;
            Some(Turn::Evicted)
        };
        or(turn, evicted).await.unwrap_or(Turn::Come)
    }
}
