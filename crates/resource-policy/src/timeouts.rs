//! Timeouts and intervals of connections.

use std::time::Duration;

/// A new connection has sent a whole request by then, or is closed.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_200);
/// A request that has begun on a kept connection is complete by then, or the connection is closed.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_200);
/// An idle connection of a client is closed after this.
pub const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// An answer is written by then, or the connection is closed.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a closed connection is still read: unread bytes would make the kernel discard an answer on its way.
pub const LINGER_TIME: Duration = Duration::from_millis(200);
/// How many bytes of a closed connection are still read.
pub const MAX_LINGER_BYTES: usize = 64 << 10;
/// How long an idle connection is still read during shutdown.
pub const SHUTDOWN_READ_TIME: Duration = Duration::from_millis(450);
/// How long new connections are accepted during shutdown: the front learns of it some time later.
pub const SHUTDOWN_ACCEPT_TIME: Duration = Duration::from_millis(600);
/// Shutdown ends this long after the longest deadline at the latest: answers are written by then.
pub const SHUTDOWN_SLACK: Duration = Duration::from_millis(400);
/// Interval between two searches for idle connections to servers that are to be closed.
pub const IDLE_SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after an error of the datagram socket.
pub const DATAGRAM_ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Connect timeout where the settings name none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle timeout of connections to servers where the settings name none.
const DEFAULT_SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Shortest and longest time between a request's other bytes and its last one.
const LAST_BYTE_PAUSE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(5));

/// Timeouts of connections to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionTimeouts {
    /// A new connection is established by then.
    pub connect: Duration,
    /// From the decision to the first byte, at most: an attempt that waits longer for its connection might reach a
    /// server that drains by then.
    pub first_byte: Duration,
    /// An idle connection is used again within this, well before servers close it: a request on a connection that
    /// closes meanwhile may have run.
    pub idle: Duration,
    /// Shortest and longest time between a request's other bytes and its last one.
    pub last_byte_pause: (Duration, Duration),
    /// From an answer's first byte to its last, at most.
    pub response: Duration,
}

impl ConnectionTimeouts {
    /// From the settings' times in µs; 0 means that none is named.
    pub fn from_settings(connect_us: u64, idle_us: u64, drain_grace_us: u64) -> ConnectionTimeouts {
        let named_or = |us: u64, default: Duration| if us > 0 { Duration::from_micros(us) } else { default };
        let connect = named_or(connect_us, DEFAULT_CONNECT_TIMEOUT);
        let idle =
            if idle_us > 0 { Duration::from_micros(idle_us) * 3 / 4 } else { DEFAULT_SERVER_IDLE_TIMEOUT };
        ConnectionTimeouts {
            connect,
            first_byte: named_or(drain_grace_us, connect).min(2 * connect),
            idle,
            last_byte_pause: LAST_BYTE_PAUSE,
            response: connect,
        }
    }
}

/// How long a request's last byte is held back on a connection that took `round_trip` to be established.
pub fn last_byte_pause(round_trip: Duration, (min, max): (Duration, Duration)) -> Duration {
    (2 * round_trip).clamp(min, max)
}
