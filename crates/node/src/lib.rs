//! The gateway on the platform: its sockets. Values of the protocol are `frostgauge-platform`'s, decisions come from
//! the engine and the library that the other fronts use, and from `frostgauge-hosting`; everything runs on one thread.
//!
//! - [`daemon`]: start, signals, end.
//! - [`front`]: clients; [`seats`]: who of them may stay.
//! - [`outside`]: what lies around the engine; [`table`]: the servers known; [`upstream`]: attempts and probes; [`links`]: connections to servers.
//! - [`discovery`]: the list of servers; [`peers`]: datagrams between gateways.

pub mod daemon;
pub mod discovery;
pub mod front;
pub mod links;
pub mod outside;
pub mod peers;
pub mod seats;
pub mod stock;
pub mod table;
pub mod upstream;
