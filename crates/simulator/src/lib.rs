//! Scenarios in virtual time: the gateways' own core (library, identity, zones), with modelled servers, network,
//! endpoint list and clients. One seed and one thread a scenario; the same seed gives the same events.

mod attempts;
mod clients;
mod counter;
mod faults;
mod outcome;
mod scenario;
mod server;
mod settings;
mod simulation;

pub use counter::{Counted, CounterDay};
pub use outcome::Outcome;
pub use scenario::{Day, Fault};
pub use simulation::run;

/// A time or a span in microseconds.
pub type Micros = u64;
