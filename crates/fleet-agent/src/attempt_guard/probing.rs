//! The guard's part for health confirmations: which servers to probe, and what they reported.

use super::AttemptGuard;
use frostgauge_connection_budget::BudgetScope;
use frostgauge_consensus::{GatewayId, Micros};
use std::net::SocketAddr;

/// A probed server that does not report that it takes new work is replaced by the next candidate for this many times the
/// validity of a report.
const UNRESPONSIVE_VALIDITIES: Micros = 4;
/// Probes of a server within the validity of one report.
const PROBES_PER_VALIDITY: Micros = 3;

impl AttemptGuard {
    /// Addresses of the servers to probe now; none while the lease is valid for more than `ahead` microseconds. A gateway
    /// probes at most `max_servers` servers, the first in an order given by a hash of its id and their addresses, so that
    /// a fleet without leases does not probe every server from every gateway.
    pub fn servers_to_probe(
        &self,
        now: Micros,
        ahead: Micros,
        self_id: GatewayId,
        max_servers: usize,
    ) -> Vec<SocketAddr> {
        if !self.view.on_fallback(now + ahead) {
            return vec![];
        }
        let servers = self.view.fallback_rules.effective.servers.values();
        let mut ranked: Vec<(u64, &String)> =
            servers.map(|address| (rank(self_id, address), address)).collect();
        ranked.sort_unstable();
        let window = UNRESPONSIVE_VALIDITIES * self.confirmation_validity;
        let interval = self.confirmation_validity / PROBES_PER_VALIDITY;
        let candidates = ranked.into_iter().map(|(_, address)| address).filter(|address| {
            !self.confirmations.is_unresponsive(address, now, window) && self.is_usable_on_fallback(address)
        });
        candidates
            .take(max_servers)
            .filter(|address| self.confirmations.probe_is_due(address, now, interval))
            .filter_map(|address| address.parse().ok())
            .collect()
    }

    /// Whether this gateway may use a server without a lease: a server with a budget only if the gateway has fallback
    /// permits for it.
    fn is_usable_on_fallback(&self, address: &str) -> bool {
        let rules = &self.view.fallback_rules;
        let name = address.parse().ok().and_then(|address: SocketAddr| rules.server_names.get(&address));
        name.is_none_or(|name| {
            let is_budgeted = rules.effective.budgeted.contains_key(name);
            !is_budgeted || self.permits.max_open_on_fallback(&BudgetScope::server(name)) > 0
        })
    }

    /// Records that a probe is sent to the server at an address.
    pub fn record_probe(&mut self, address: &str, now: Micros) {
        self.confirmations.record_probe(address, now);
    }

    /// Records whether the server at an address reported that it takes new work, in the response to a request sent at
    /// `requested_at`.
    pub fn record_report(&mut self, address: &str, requested_at: Micros, ready: bool) {
        self.confirmations.record_report(address, requested_at, ready);
    }
}

/// A pseudo-random rank of a server for a gateway, the same in each process of the gateway.
fn rank(self_id: GatewayId, address: &str) -> u64 {
    // FNV-1a with a final mixing step; only an even distribution is needed.
    let hash = address.bytes().chain(self_id.to_be_bytes()).fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
