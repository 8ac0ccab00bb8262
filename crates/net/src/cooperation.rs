//! Cooperative scheduling. A read whose bytes are already there completes without a return to the executor, so that a
//! loop of reads from a fast peer would hold its thread as long as the peer sends: no other task, timer or signal of
//! that thread would be served. Reads therefore count against a budget, and yield when it is used up.

use std::cell::Cell;
use std::future::poll_fn;
use std::task::{Context, Poll};

/// Reads that may complete one after another on a thread, before the reading task yields.
const MAX_CONSECUTIVE_READS: u32 = 16;

thread_local! {
    static READS_LEFT: Cell<u32> = const { Cell::new(MAX_CONSECUTIVE_READS) };
}

/// Takes one read from this thread's budget. Pending, with the task already woken, once the budget is used up: the next
/// poll starts a new budget.
pub(crate) fn poll_read_budget(context: &mut Context<'_>) -> Poll<()> {
    READS_LEFT.with(|left| match left.get().checked_sub(1) {
        Some(rest) => {
            left.set(rest);
            Poll::Ready(())
        }
        None => {
            left.set(MAX_CONSECUTIVE_READS);
            context.waker().wake_by_ref();
            Poll::Pending
        }
    })
}

/// Starts a new budget: a task of this thread waits for its peer, so that others run.
pub(crate) fn reset_read_budget() {
    READS_LEFT.with(|left| left.set(MAX_CONSECUTIVE_READS));
}

/// Yields if this thread's read budget is used up. To be awaited before each read of a loop that does not read by
/// [`crate::read_some`].
pub async fn read_budget() {
    poll_fn(poll_read_budget).await;
}
