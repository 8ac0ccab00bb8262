//! Parsers and formats of the platform's protocol and configuration, without I/O: nothing here opens a socket or reads
//! a clock. Decisions on quotas, routing and health are made by the decision library, the crate `frostgauge`.
//!
//! - [`config`]: the file that a gateway is started with.
//! - [`settings`]: the settings object inside that file, also read by the simulator's adapter.
//! - [`request`]: reads and validates the head of a client's request.
//! - [`answer`]: the status, usage and load report in a server's response.
//! - [`targets`]: discovery's list of servers, and the path by which a gateway polls it.

pub mod answer;
pub mod config;
pub mod request;
pub mod settings;
pub mod targets;
