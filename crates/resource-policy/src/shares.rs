//! Division of the machine's descriptors and memory.

/// Descriptors that are neither clients' nor servers': standard streams, the reactor's, listeners, discovery (two
/// while it moves), datagrams, signals, the configuration while it is read, and connections between accepting and
/// taking a permit.
const RESERVED_DESCRIPTORS: usize = 24;
/// Longest content of an answer, bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Maximum number of requests in flight where the settings name none: beyond any number of clients' permits.
pub const DEFAULT_MAX_IN_FLIGHT: usize = 20_000;

/// Shares of clients and servers, so that neither can starve the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Connections of clients.
    pub client_connections: usize,
    /// Of these, idle ones.
    pub idle_client_connections: usize,
    /// Connections to servers.
    pub server_connections: usize,
    /// Bytes of contents and answers held for all clients.
    pub body_bytes: usize,
}

impl Shares {
    /// Divides `sockets` descriptors and `memory_mb` megabytes. Half of the free descriptors go to each side. A
    /// quarter of the memory is for what is held for clients, a quarter for answers that come in, which bounds the
    /// connections to servers. A sixth of the descriptors may be idle clients', half of what usual clients hold.
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
