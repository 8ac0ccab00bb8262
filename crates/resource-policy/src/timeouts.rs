//! Timeouts and intervals of client connections, of connections to servers, and of shutdown.

use std::time::Duration;

/// A new client connection that has not sent a complete request within this time of its opening is closed.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Maximum time from the first byte to the last byte of a later request on the same client connection; the connection
/// is closed after that.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Longest pause before a further piece of a request is read, so that [`REQUEST_TIMEOUT`] holds some of them.
pub const MAX_READ_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between reads ahead of an answer: no attempt may begin more than 0.1 s after its client has left.
pub const MAX_READ_AHEAD_PAUSE: Duration = Duration::from_millis(50);
/// A client connection that has been idle for this long is closed.
pub const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// A client connection is closed if writing a response to it takes longer.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client connection is kept after its sending side is closed, waiting for the client to close. If it were
/// closed with unread bytes, the kernel would send a reset and discard a response that is still being transmitted.
pub const LINGER_TIME: Duration = Duration::from_millis(200);
/// Maximum number of bytes read and discarded during [`LINGER_TIME`].
pub const MAX_LINGER_BYTES: usize = 64 << 10;
/// Longest wait of a rejected request for its turn: with [`REQUEST_TIMEOUT`] it is answered within 3 s.
pub const MAX_REJECTION_DELAY: Duration = Duration::from_millis(500);
/// New connections are refused once requests in progress have held all permits for this long.
pub const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a refused connection is kept for its first bytes.
pub const REFUSAL_READ_TIME: Duration = Duration::from_millis(30);
/// How long a refused connection is kept for its client to close it, once it is answered: some round trips.
pub const REFUSAL_LINGER_TIME: Duration = Duration::from_millis(10);
/// How long an idle client connection is still read after shutdown has begun, since a request may already be in transit.
pub const SHUTDOWN_READ_TIME: Duration = Duration::from_millis(450);
/// How long new connections and requests are accepted after shutdown has begun: senders of requests, such as a
/// load balancer, learn of it only some time later.
pub const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(600);
/// After the last connection was accepted, shutdown takes at most the longest request deadline plus this time, in which
/// the last responses are written.
pub const SHUTDOWN_SLACK: Duration = Duration::from_millis(400);
/// Interval at which pooled connections to servers are checked for an expired idle timeout.
pub const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a receive error of the datagram socket, so that a permanent error does not cause a busy loop.
pub const DATAGRAM_ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Connect timeout if the settings contain none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle timeout of connections to servers if the settings contain none.
const DEFAULT_SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum and maximum pause between writing all other bytes of a request and writing its last byte.
const LAST_BYTE_PAUSE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(5));

/// Timeouts of connections to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// Maximum time for establishing a connection.
    pub connect: Duration,
    /// Maximum time from the routing decision to the first byte sent. After a longer wait for a connection, the server
    /// may already be draining.
    pub first_byte: Duration,
    /// Maximum idle time of a connection that is used again. It is well below the servers' own idle timeout, because a
    /// request that meets a closing connection may or may not have run.
    pub idle: Duration,
    /// Minimum and maximum pause before the last byte of a request; see [`last_byte_pause`].
    pub last_byte_pause: (Duration, Duration),
    /// Maximum time from the first byte of a response's head to its last, and between pieces of its content.
    pub response_progress: Duration,
}

impl ConnectionTimeouts {
    /// Derives the timeouts from settings in µs; 0 selects the default. `idle_us` is the idle timeout of the servers, and
    /// `drain_grace_us` how long a draining server still accepts requests.
    pub fn from_settings(connect_us: u64, idle_us: u64, drain_grace_us: u64) -> ConnectionTimeouts {
        let or_default =
            |us: u64, default: Duration| if us > 0 { Duration::from_micros(us) } else { default };
        let connect = or_default(connect_us, DEFAULT_CONNECT_TIMEOUT);
        let idle =
            if idle_us > 0 { Duration::from_micros(idle_us) * 3 / 4 } else { DEFAULT_SERVER_IDLE_TIMEOUT };
        ConnectionTimeouts {
            connect,
            first_byte: or_default(drain_grace_us, connect).min(2 * connect),
            idle,
            last_byte_pause: LAST_BYTE_PAUSE,
            response_progress: connect,
        }
    }
}

/// Pause before the last byte of a request, on a connection that took `round_trip` to establish: two round trips, within
/// the given minimum and maximum.
pub fn last_byte_pause(round_trip: Duration, (min, max): (Duration, Duration)) -> Duration {
    (2 * round_trip).clamp(min, max)
}
