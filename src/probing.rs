//! Probing: when servers are probed for their load, and how load reports are read.

use crate::api::{Capabilities, Load, LoadReports, Micros};
use crate::decay::seconds;
use crate::load_balancing::LOAD_REPORT_HORIZON_S;

/// Shortest time between two probes of the same server, µs.
const PROBE_INTERVAL: Micros = 400_000;
/// Maximum number of probes per request sent.
const MAX_PROBES_PER_REQUEST: f64 = 0.4;

/// Schedule of the probes of all ready servers, which are probed at the same time.
pub(crate) struct Prober {
    /// Whether servers may be probed and report their load only so.
    enabled: bool,
    last_probe_at: Micros,
}

impl Prober {
    pub fn new(capabilities: &Capabilities) -> Prober {
        Prober {
            enabled: capabilities.probes && capabilities.load_reports == LoadReports::Probe,
            last_probe_at: 0,
        }
    }

    /// Whether the ready servers are to be probed now; if so, counts them as probed. They are never probed if
    /// the interval that `send_rate` (requests/s) allows is so long that a report would be outdated before
    /// the next.
    pub fn is_due(&mut self, now: Micros, ready_servers: f64, send_rate: f64) -> bool {
        let min_interval = (ready_servers / (MAX_PROBES_PER_REQUEST * send_rate).max(1e-3) * 1e6) as Micros;
        let interval = PROBE_INTERVAL.max(min_interval);
        let due = self.enabled
            && seconds(interval) <= LOAD_REPORT_HORIZON_S
            && now >= self.last_probe_at + interval;
        if due {
            self.last_probe_at = now;
        }
        due
    }
}

/// Number of other gateways' requests at a server, from its load report: those in flight, or else an estimate
/// from its queue. `None` if the report has neither.
pub(crate) fn requests_of_others(load: &Load, own_in_flight: u32, gateways: usize) -> Option<f64> {
    let share_of_others = 1.0 - 1.0 / gateways as f64;
    let by_in_flight = load.inflight.map(|in_flight| in_flight - f64::from(own_in_flight));
    let by_queue = load.queue.map(|queue| queue * share_of_others);
    let others = by_in_flight.or(by_queue).filter(|others| others.is_finite())?;
    Some(others.max(0.0))
}
