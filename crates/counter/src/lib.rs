//! The counter: numbers by name that all gateways add to, each add counted once.
//!
//! The state and the decisions are `frostgauge-count`'s; here is what makes them durable ([`store`]) and what
//! serves them.

pub mod sim;
pub mod storage;
pub mod store;
