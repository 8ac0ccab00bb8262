//! Probing: when servers are probed for their load, and what load reports say.

use crate::api::{Capabilities, Load, LoadReports, Micros};
use crate::decay::seconds;
use crate::load_balancing::LOAD_REPORT_HORIZON_S;

/// Shortest time between two probes of a server, µs.
const PROBE_INTERVAL: Micros = 400_000;
/// Maximum number of probes per request.
const MAX_PROBES_PER_REQUEST: f64 = 0.4;

/// Schedule of probes.
pub(crate) struct Prober {
    enabled: bool,
    last_probe: Micros,
}

impl Prober {
    pub fn new(capabilities: &Capabilities) -> Prober {
        Prober { enabled: capabilities.probes && capabilities.load_reports == LoadReports::Probe, last_probe: 0 }
    }

    /// Whether all ready servers are to be probed now; not where their reports would be too old to be of use.
    pub fn is_due(&mut self, now: Micros, ready_servers: f64, send_rate: f64) -> bool {
        let affordable = (ready_servers / (MAX_PROBES_PER_REQUEST * send_rate).max(1e-3) * 1e6) as Micros;
        let interval = PROBE_INTERVAL.max(affordable);
        let due =
            self.enabled && seconds(interval) <= LOAD_REPORT_HORIZON_S && now >= self.last_probe + interval;
        if due {
            self.last_probe = now;
        }
        due
    }
}

/// Requests of other gateways at a server by its load report; `None` if the report does not contain them.
pub(crate) fn requests_of_others(load: &Load, own_in_flight: u32, gateways: usize) -> Option<f64> {
    let share_of_others = 1.0 - 1.0 / gateways as f64;
    let by_in_flight = load.inflight.map(|in_flight| in_flight - f64::from(own_in_flight));
    let by_queue = load.queue.map(|queue| queue * share_of_others);
    let others = by_in_flight.or(by_queue).filter(|others| others.is_finite())?;
    Some(others.max(0.0))
}
