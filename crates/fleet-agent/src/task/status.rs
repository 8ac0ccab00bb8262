//! State of the process as JSON, for `GET /accord`. The keys are part of the admin interface.

use crate::process::Process;
use crate::rules_view::RulesView;
use frostgauge_consensus::{Micros, Replica, RuleSource};
use frostgauge_peer_transport::{PeerStats, PeerTransport};
use frostgauge_storage::Disk;
use serde_json::{json, Map, Value};

pub(super) fn status(
    now: Micros,
    published: &RulesView,
    process: &Process<Disk>,
    transport: &PeerTransport,
    restarts: u64,
) -> Value {
    let (lease, fallback) = match published.at(now).0 {
        RuleSource::Lease(versions, expires_at) => {
            (json!({ "versions": versions, "for_ms": (expires_at - now) / 1_000 }), Value::Null)
        }
        RuleSource::Fallback(version) => (Value::Null, json!({ "version": version })),
    };
    let follower = process.follower().stats();
    json!({
        "lease": lease, "ground": fallback, "stands": published.fallback_version,
        "keepers": process.follower().voters(), "keeper": process.replica().map(replica_status),
        "damaged": process.replica_damage(), "keeper_stops": process.replica_stops(),
        "restarts": restarts, "unreadable": process.unreadable_messages(),
        "asked": follower.requests_sent, "granted": follower.leases_received, "strange": follower.unrecognized,
        "refused_versions": follower.versions_rejected, "links": peer_connections(transport),
    })
}

fn replica_status(replica: &Replica<Disk>) -> Value {
    let (machine, stats) = (replica.state_machine(), replica.stats());
    json!({
        "seated": replica.is_voter(), "leads": replica.is_leader(), "config": replica.configuration_number(),
        "in_force": machine.map(|machine| machine.in_force()),
        "latest": machine.map(|machine| machine.latest()),
        "for_all": machine.map(|machine| machine.fallback_version()),
        "keepers": machine.map(|machine| machine.voters().clone()),
        "leases": stats.leases_granted, "unleased": stats.leases_withheld,
        "strange": stats.ignored_messages, "syncs": stats.syncs,
    })
}

fn peer_connections(transport: &PeerTransport) -> Map<String, Value> {
    let by_peer = transport.stats().into_iter();
    by_peer.map(|(peer_id, stats)| (peer_id.to_string(), peer_connection(stats))).collect()
}

fn peer_connection(stats: PeerStats) -> Value {
    json!({
        "up": stats.connected, "opened": stats.connections_opened,
        "sent": stats.messages_sent, "lost": stats.messages_lost,
    })
}
