//! Resource policy of the process that runs a gateway on the platform, free of I/O: how file descriptors,
//! memory and processor time are divided, which idle client connections are evicted, the timeouts of connections, and when discovery is polled. Time
//! and random numbers are parameters. Quotas, routing, attempts, health checks and retry advice are decided in the
//! gateway library, not here.

pub mod client_permits;
pub mod processor_shares;
pub mod shares;
pub mod timeouts;
pub mod watch;
