//! Which servers to ask for their own report, and what they reported.

use super::AttemptGuard;
use frostgauge_connection_budget::BudgetScope;
use frostgauge_consensus::{GatewayId, Micros};
use std::net::SocketAddr;

/// A probed server that has not reported ready within so many validity times gives its place to the next.
const UNRESPONSIVE_VALIDITIES: Micros = 4;
/// A server is probed so many times within the time that its report counts.
const PROBES_PER_VALIDITY: Micros = 3;

impl AttemptGuard {
    /// Without a lease, or within `ahead` microseconds of its end: addresses of servers to probe now. At most
    /// `max_servers`, ranked by a hash with the gateway's id, so that a whole fleet without leases does not probe every
    /// server.
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
            !self.confirmations.is_unresponsive(address, now, window) && self.usable_on_fallback(address)
        });
        candidates
            .take(max_servers)
            .filter(|address| self.confirmations.probe_is_due(address, now, interval))
            .filter_map(|address| address.parse().ok())
            .collect()
    }

    /// Whether this gateway may use a server without a lease: one with a budget only if it has permits of its own there.
    fn usable_on_fallback(&self, address: &str) -> bool {
        let rules = &self.view.fallback_rules;
        let name = address.parse().ok().and_then(|address: SocketAddr| rules.server_names.get(&address));
        name.is_none_or(|name| {
            let is_budgeted = rules.effective.budgeted.contains_key(name);
            !is_budgeted || self.permits.max_open_on_fallback(&BudgetScope::server(name)) > 0
        })
    }

    /// Records that the server at an address is probed.
    pub fn record_probe(&mut self, address: &str, now: Micros) {
        self.confirmations.record_probe(address, now);
    }

    /// Records what the server at an address reported, in response to a request sent at `requested_at`.
    pub fn record_report(&mut self, address: &str, requested_at: Micros, ready: bool) {
        self.confirmations.record_report(address, requested_at, ready);
    }
}

/// A pseudo-random rank for a pair, the same in each process.
fn rank(self_id: GatewayId, address: &str) -> u64 {
    // FNV-1a, then mixed: an even spread is all that is needed.
    let hash = address.bytes().chain(self_id.to_be_bytes()).fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
