//! Adapter between the simulator's JSON lines and the decision library; it makes no decisions itself.
//!
//! Each input line is a batch of events:
//! `{"serial": 1, "atTimeUs": 5000, "items": [[name, instance, fields...], ...]}`.
//! The reply to it holds the actions: `{"serial": 1, "out": [[name, instance, fields...], ...]}`.
//!
//! Event names are mapped in `events.rs`, action names in `actions.rs`.

mod actions;
mod error;
mod events;
mod fields;
mod host;
mod instance;

pub use error::{BatchError, FieldError};
pub use host::Host;
