//! The gateway: its decisions, the engine that runs them, and its sockets.
//!
//! [`core::Core`] makes every decision. It contains the decision library's `Gateway`, `identity`, the timers and
//! the table of open calls; it opens no socket and reads no clock, so that tests and the simulator drive it in the
//! same way as the daemon. [`engine::Engine`] is the one task that owns a core. Fronts send it [`engine::Call`]s
//! through a bounded channel and wait for one [`engine::Reply`] each, whatever protocol they speak.

pub mod admin;
mod admin_rules;
pub mod clock;
pub mod core;
pub mod daemon;
pub mod engine;
mod event;
pub mod fleet_rules;
pub mod front;
pub mod log;
pub mod oauth;
pub mod observe;
pub mod peers;
pub mod reply;
pub mod timers;
pub mod upstream;
pub mod zone_gate;
