//! Lanes: a pool of connections for each *shape* of request at a group of servers, and sizes for them, learnt from
//! waits that all gateways share.
//!
//! Free of I/O: time comes in as windows, randomness not at all. A gateway measures ([`PoolMeter`]) and sends a [`WindowReport`]
//! for each window; who keeps the record gathers them ([`ReportAggregator`]) so that none counts twice, none that is missing
//! counts as idle, and no gateway for more than it can hold; the [`PoolSizer`] proposes sizes. See `docs/pool-sizing.md`.

mod aggregation;
mod duration_histogram;
mod pool_key;
mod pool_meter;
mod pool_sizer;

pub use aggregation::{PoolTotals, ReportAggregator, ReportError};
pub use duration_histogram::{DurationHistogram, PackedHistogram};
pub use pool_key::{PoolKey, RequestClassKeyError, RequestClassKeys, MAX_POOLS};
pub use pool_meter::{PoolMeter, PoolReport, WindowReport};
pub use pool_sizer::{PoolSizer, SizingOutcome};
