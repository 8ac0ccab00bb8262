//! From a settings file to checked settings: names resolved to numbers, secrets read.

use crate::decision_settings::decision_settings;
use crate::{
    check, customer_id, server_id, Effect, Faults, File, Loaded, Node, NodeState, Route, Secret, Tenant,
};
use frostgauge::{ServerEntry, ServerState};
use std::collections::BTreeMap;
use std::path::Path;

/// Microseconds in a millisecond.
const MS: u64 = 1_000;

/// Checks a file and resolves its names. Files that it names are relative to the folder.
pub(crate) fn resolve(file: File, folder: &Path) -> Result<Loaded, Faults> {
    let mut c = check::Checks(check::check(&file));
    let secret = |c: &mut check::Checks, path: &str, name: &Path| match Secret::read(&folder.join(name)) {
        Ok(secret) => Some(secret),
        Err(reason) => {
            c.that(false, path, reason);
            None
        }
    };
    let client_secret =
        secret(&mut c, "introspection.client_secret_file", &file.introspection.client_secret_file);
    let peer_secret = match &file.fleet.peer_secret_file {
        Some(name) if !file.fleet.peers.is_empty() => secret(&mut c, "fleet.peer_secret_file", name),
        _ => None,
    };
    let counter_secret = file.counter.as_ref().and_then(|call| {
        let secret = secret(&mut c, "counter.key_file", &call.key_file)?;
        secret.lines().into_iter().next()
    });
    let link_secret =
        file.consensus.as_ref().and_then(|a| secret(&mut c, "accord.secret_file", &a.secret_file));
    check_distinct(&mut c, file.tenants.keys().map(|name| (customer_id(name).0, format!("insurers.{name}"))));
    let ids = file.nodes.iter().map(|n| (server_id(n.address).0, n.address));
    // An address named twice is reported by the check.
    let ids: BTreeMap<_, _> = ids.map(|(id, address)| (address, id)).collect();
    check_distinct(&mut c, ids.into_iter().map(|(address, id)| (id, format!("nodes ({address})"))));
    let library = decision_settings(&file);
    if c.0.is_empty() {
        // A throw-away instance tells what the decision library itself rejects.
        if let Err(e) = frostgauge::Gateway::new(library.clone(), 0, 0) {
            c.that(false, e.field, e.reason);
        }
    }
    let Some(client_secret) = client_secret.filter(|_| c.0.is_empty()) else { return Err(Faults(c.0)) };
    let position = |names: Vec<&String>, name: &String| names.iter().position(|n| *n == name).unwrap_or(0);
    let zone = |name: &String| file.zones.iter().position(|z| z == name).unwrap_or(0) as u32;
    let tenants = file.tenants.iter().map(|(name, entry)| {
        let plan = position(file.plans.keys().collect(), &entry.plan);
        let subset_size = entry.subset_size.unwrap_or(file.fleet.gateways);
        (name.clone(), Tenant { id: customer_id(name), plan, subset_start: entry.subset_start, subset_size })
    });
    let routes = file.routes.iter().map(|r| Route {
        method: r.method.clone(),
        segments: r.path.split('/').skip(1).map(str::to_owned).collect(),
        class: position(file.classes.keys().collect(), &r.class),
        units: r.units,
        scope: r.scope.clone().unwrap_or_default(),
        keyed: matches!(file.classes[&r.class].effect, Effect::Keyed { .. }),
    });
    let nodes = file.nodes.iter().map(|n| Node {
        address: n.address,
        entry: ServerEntry {
            server: server_id(n.address),
            state: match n.state {
                NodeState::Ready => ServerState::Ready,
                NodeState::Draining => ServerState::Draining,
            },
            ready_at: n.started_ms * MS,
            size: n.size,
            zone: zone(&n.zone),
            cell: n.cell,
        },
    });
    Ok(Loaded {
        library,
        classes: file.classes.keys().cloned().collect(),
        plans: file.plans.keys().cloned().collect(),
        tenants: tenants.collect(),
        routes: routes.collect(),
        nodes: nodes.collect(),
        client_secret,
        peer_secret,
        counter_secret,
        link_secret,
        folder: folder.to_path_buf(),
        file,
    })
}

/// Reports names with the same number: they would share a quota or a server's statistics.
fn check_distinct(c: &mut check::Checks, numbers: impl Iterator<Item = (u64, String)>) {
    let mut seen = BTreeMap::new();
    for (number, name) in numbers {
        if let Some(first) = seen.insert(number, name.clone()) {
            c.that(false, name, format!("has the number of {first}: rename one of them"));
        }
    }
}
