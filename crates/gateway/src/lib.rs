//! The gateway's engine.
//!
//! [`core::Core`] owns every decision: the library's `Gateway`, `identity`, the timers and the table of
//! open requests. It opens no socket and reads no clock, so that tests and an emulator drive it as the
//! daemon does. [`engine`] is the one task that owns a core; fronts hand it [`engine::Call`]s through a
//! bounded channel and wait for one [`engine::Reply`] each, whatever protocol they speak.

pub mod admin;
pub mod agreed;
pub mod clock;
pub mod core;
pub mod daemon;
pub mod engine;
mod event;
pub mod front;
pub mod log;
pub mod oauth;
pub mod observe;
pub mod peers;
pub mod reply;
mod staff_rules;
pub mod timers;
pub mod upstream;
pub mod zone_gate;
