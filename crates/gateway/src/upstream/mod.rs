//! Attempts at nodes and probes of them.

mod attempt;
mod held;

pub use attempt::{attempt, probe, Ended, Forward, Outgoing, NOT_RUN};
pub use held::{Book, Bounds, Held, Link, Paid, Seat};
