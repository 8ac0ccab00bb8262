//! Logic of the counter service and of its clients, free of I/O; time is a parameter.
//!
//! - [`StateMachine`]: the counters by name, and the adds of each gateway already applied. Applying the same records
//!   results in the same state on every machine.
//! - [`AdmissionQueue`]: which requests are admitted if more arrive than the disk can sync, and in which order they are
//!   processed.
//! - [`ClientCalls`]: the gateway's side: sequences, retries, and the outcome of each call.
//!
//! Amounts are whole sub-units of a millionth of a unit ([`SUB_UNITS`]), so that sums are exact and accumulate no
//! rounding errors.

mod admission_queue;
mod client_calls;
mod connect_backoff;
mod retry_budget;
mod state_machine;

pub use admission_queue::{AdmissionQueue, Config as AdmissionConfig};
pub use client_calls::{Action, CallDetails, CallStats, ClientCalls, Config as ClientCallsConfig};
pub use state_machine::{
    Counter, DivergenceError, GatewaySession, Operation, Outcome, Record, SnapshotError, StateMachine, Undo,
    DEDUP_WINDOW, MAX_TOTAL,
};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Number of sub-units in a unit.
pub const SUB_UNITS: f64 = 1e6;

/// Converts units to sub-units, rounded to the nearest. `None` if the amount is not finite or its absolute value exceeds
/// [`MAX_TOTAL`].
pub fn sub_units(units: f64) -> Option<i64> {
    let rounded = (units * SUB_UNITS).round();
    (rounded.abs() <= MAX_TOTAL as f64).then_some(rounded as i64)
}

/// Converts sub-units to units.
pub fn units(sub_units: i64) -> f64 {
    sub_units as f64 / SUB_UNITS
}
