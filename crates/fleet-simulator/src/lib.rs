//! A fleet of gateways under agreed rules, in memory and in virtual time, with faults drawn from a seed.
//!
//! [`Simulation`] runs hundreds of the agent's processes; [`Story`] describes a run in words; [`fault_search`] draws
//! schedules of faults by the thousand and shortens those that break an invariant.

mod config;
mod connections;
mod dispatch;
mod editing;
mod event_queue;
pub mod fault_search;
mod faults;
mod host;
mod injected_bug;
mod invariants;
mod network;
mod simulation;
mod story;
mod workload;

pub use config::SimulationConfig;
pub use editing::NotConverged;
pub use injected_bug::InjectedBug;
pub use invariants::{InvariantChecker, ServedRequest};
pub use network::LinkConditions;
pub use simulation::{Simulation, SECOND};
pub use story::{given, Story};
