//! Division of file descriptors and memory between client connections and connections to servers.

/// File descriptors for other purposes: standard streams, the reactor, listeners, discovery (up to
/// [`crate::watch::MAX_POLLS_IN_FLIGHT`] connections while it does not answer in time), the datagram socket, signals, the configuration file while it is read, and accepted connections
/// that have no permit yet.
const RESERVED_DESCRIPTORS: usize = 24;
/// One of this many descriptors is for connections that are being refused.
const REFUSED_PARTS: usize = 16;
/// Maximum size of a response body, bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Bytes that each client connection may hold of what was read and not yet parsed, without the shared memory.
pub const CLIENT_INPUT_ALLOWANCE: usize = 2 << 10;
/// Bytes that each request may hold in its head and content, without the shared memory.
pub const REQUEST_ALLOWANCE: usize = 2 << 10;
/// Bytes that each attempt may hold in each of three parts, without the shared memory: the copy of its request, what was
/// read of the response, and the response.
pub const ATTEMPT_ALLOWANCE: usize = 2 << 10;
/// The process itself: its code, its tables, the lists that do not grow with clients or servers, and the allocator's
/// own, bytes.
const PROCESS_BYTES: usize = 12 << 20;
/// A client connection with a call: its task, timers and permits, the call's state in the engine and the decisions, an
/// answer of the gateway's own, and the allowances of its input, its request and a response, bytes.
const CLIENT_CONNECTION_BYTES: usize =
    (6 << 10) + CLIENT_INPUT_ALLOWANCE + REQUEST_ALLOWANCE + ATTEMPT_ALLOWANCE;
/// A connection to a server with an attempt: its task, timers and buffers of fixed size, the three allowances, and that of
/// a request whose client has left, bytes.
const SERVER_CONNECTION_BYTES: usize = (5 << 10) + 3 * ATTEMPT_ALLOWANCE + REQUEST_ALLOWANCE;
/// A customer with its quota and what peers used of it, bytes.
const CUSTOMER_BYTES: usize = 768;
/// The server list takes at most one part of this many of the memory.
const LIST_PARTS: usize = 32;
/// Memory for the list in such parts: the lists being received take two, the parsed list with the servers' state one.
const LIST_COPIES: usize = 3;
/// Customers take at most one part of this many of the memory.
const CUSTOMER_PARTS: usize = 16;
/// The low-water mark is one of this many parts of the shared memory.
const LOW_WATER_PARTS: usize = 8;
/// Memory that the allocator needs for each byte of shared memory, in halves: blocks of different sizes come and go.
const ALLOCATOR_HALVES: usize = 3;

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
    /// Maximum number of connections that are being refused.
    pub refused_connections: usize,
    /// Maximum number of connections to servers.
    pub server_connections: usize,
    /// Bytes that may be held for all clients and servers together, beyond the allowances of each: heads, contents,
    /// copies of requests, responses and what is read ahead, by the memory allocated for them.
    pub shared_bytes: usize,
    /// Incomplete requests end while less of the shared memory is left, bytes.
    pub low_water_bytes: usize,
    /// Maximum size of the server list, bytes.
    pub list_bytes: usize,
    /// Maximum number of customers whose state is kept.
    pub customers: usize,
}

impl Shares {
    /// Divides `sockets` file descriptors and `memory_mb` mebibytes.
    ///
    /// After subtracting the reserved descriptors and those for refusals, each side gets half of the rest; connections to servers are limited
    /// further so that their largest responses fit into a quarter of the memory. A sixth of the descriptors may belong to
    /// idle clients: half of the third that clients use in normal operation.
    ///
    /// The sum of the process, all connections, the customers, the list and the shared memory is at most the memory. Where
    /// the memory is too small for the connections, nothing is shared.
    pub fn divide(sockets: usize, memory_mb: u64) -> Shares {
        let memory = usize::try_from(memory_mb << 20).unwrap_or(usize::MAX);
        let refused_connections = (sockets / REFUSED_PARTS).max(1);
        let each_side = sockets.saturating_sub(RESERVED_DESCRIPTORS + refused_connections).max(2) / 2;
        let server_connections = each_side.min(memory / 4 / MAX_ANSWER_BYTES).max(1);
        let customer_bytes = memory / CUSTOMER_PARTS;
        let list_bytes = memory / LIST_PARTS;
        let fixed = PROCESS_BYTES
            + each_side * CLIENT_CONNECTION_BYTES
            + server_connections * SERVER_CONNECTION_BYTES
            + customer_bytes
            + LIST_COPIES * list_bytes;
        let shared_bytes = (memory.saturating_sub(fixed) / ALLOCATOR_HALVES * 2).min(memory / 2);
        Shares {
            client_connections: each_side,
            idle_client_connections: sockets / 6,
            refused_connections,
            server_connections,
            shared_bytes,
            low_water_bytes: shared_bytes / LOW_WATER_PARTS,
            list_bytes,
            customers: (customer_bytes / CUSTOMER_BYTES).max(1),
        }
    }
}
