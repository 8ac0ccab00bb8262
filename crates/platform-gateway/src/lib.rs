//! The gateway on the platform: its sockets. The protocol's values are in `frostgauge-platform-protocol`; decisions are
//! made by the engine, by the decision library and by `frostgauge-resource-policy`. Everything runs on one thread.
//!
//! - [`daemon`]: start, signals, shutdown.
//! - [`accept`]: accepting clients' connections; [`front`]: serving them; [`permits`]: which of them may stay.
//! - [`memory`]: what may be held for clients and servers.
//! - [`host`]: the engine's host; [`open_requests`]: requests that are open; [`server_table`]: the servers known; [`upstream`]: attempts and probes; [`pool`]:
//!   connections to servers.
//! - [`discovery`]: the list of servers; [`peers`]: datagrams between gateways.

pub mod accept;
pub mod daemon;
pub mod discovery;
pub mod front;
pub mod host;
pub mod memory;
pub mod open_requests;
pub mod peers;
pub mod permits;
pub mod pool;
pub mod semaphore;
pub mod server_table;
pub mod upstream;
