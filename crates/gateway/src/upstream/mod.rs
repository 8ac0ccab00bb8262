//! Attempts at nodes and probes of them.

mod attempt;

pub use attempt::{attempt, probe, Ended, Forward, Outgoing, NOT_RUN};
