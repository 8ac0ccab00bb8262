//! Division of file descriptors and memory between client connections and connections to servers.

/// File descriptors for other purposes: standard streams, the reactor, listeners, discovery (up to
/// [`crate::watch::MAX_POLLS_IN_FLIGHT`] connections while it does not answer in time), the datagram socket, signals, the configuration file while it is read, and accepted connections
/// that have no permit yet.
const RESERVED_DESCRIPTORS: usize = 24;
/// Maximum size of a response body, bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Maximum number of requests in flight if the settings contain none. It exceeds any number of client permits, so that
/// the permits are the effective limit.
pub const DEFAULT_MAX_IN_FLIGHT: usize = 20_000;

/// Shares of the client side and the server side, so that neither can starve the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Maximum number of idle ones among them that have sent a request.
    pub idle_client_connections: usize,
    /// Maximum number of connections to servers.
    pub server_connections: usize,
    /// Maximum total size of the request and response bodies held for all clients, bytes.
    pub body_bytes: usize,
}

impl Shares {
    /// Divides `sockets` file descriptors and `memory_mb` mebibytes. After subtracting the reserved descriptors, each
    /// side gets half of the rest. A quarter of the memory is for bodies held for clients, and a quarter for responses
    /// being received, which limits the connections to servers. A sixth of the descriptors may belong to idle clients:
    /// half of the third that clients use in normal operation.
    pub fn divide(sockets: usize, memory_mb: u64) -> Shares {
        let each_side = sockets.saturating_sub(RESERVED_DESCRIPTORS).max(2) / 2;
        let body_bytes = usize::try_from(memory_mb << 20).unwrap_or(usize::MAX) / 4;
        let server_connections = each_side.min(body_bytes / MAX_ANSWER_BYTES).max(1);
        Shares {
            client_connections: each_side,
            idle_client_connections: sockets / 6,
            server_connections,
            body_bytes,
        }
    }
}
