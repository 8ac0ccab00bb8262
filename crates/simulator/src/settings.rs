//! The settings of a scenario, as gateways would read them.

use crate::scenario::Day;
use crate::simulation::TENANTS;
use frostgauge_settings::Loaded;

/// Settings of a day, as every gateway would read them but for its number and zone.
pub(crate) fn settings(day: &Day) -> Result<Loaded, String> {
    let folder = std::env::temp_dir().join(format!(
        "frostgauge-day-{}-{:x}",
        std::process::id(),
        rand::random::<u64>()
    ));
    let fail = |e: std::io::Error| e.to_string();
    std::fs::create_dir_all(&folder).map_err(fail)?;
    std::fs::write(folder.join("secret"), "none").map_err(fail)?;
    #[cfg(unix)]
    {
        use std::os::unix::fs::PermissionsExt;
        let mode = std::fs::Permissions::from_mode(0o600);
        std::fs::set_permissions(folder.join("secret"), mode).map_err(fail)?;
    }
    let policy = format!(
        "zone_policy: {{
           tiers: {{ z0: [['z0'], ['z1', 'z2']], z1: [['z1'], ['z2', 'z0']], z2: [['z2'], ['z0', 'z1']] }},
           limits: {{ [f]: {{ [t]: {{ rate: {} }} for t in ['z0', 'z1', 'z2'] if t != f }} for f in ['z0', 'z1', 'z2'] }},
           hold_ms: 1500, hold_most_ms: 12000, calm_ms: 20000, ramp_ms: 5000 }},",
        day.limit
    );
    let nodes: Vec<String> = (0..day.nodes.iter().sum::<usize>())
        .map(|k| format!("{{ address: '127.0.0.1:{}', zone: 'z{}' }}", 20_000 + k, zone_of(day, k)))
        .collect();
    let text = format!(
        "{{
          gateway: {{ number: 0, zone: 'z0', listen: '127.0.0.1:1', admin: '127.0.0.1:2' }},
          fleet: {{ gateways: {n}, zones: ['z%d' % (k % 3) for k in std.range(0, {n} - 1)] }},
          introspection: {{ address: '127.0.0.1:3', client_id: 'x', client_secret_file: 'secret', fresh_ms: 600000, stale_ms: 600000 }},
          classes: {{
            read: {{ aim_ms: 600, patience_ms: 2000, worth: 2, effect: {{ kind: 'safe' }} }},
            report: {{ aim_ms: 600, patience_ms: 2000, worth: 6, effect: {{ kind: 'unsafe' }} }},
          }},
          plans: {{ wide: {{ rate: {}, burst: {}, price: 1 }} }},
          insurers: {{ ['ins-%d' % k]: {{ plan: 'wide' }} for k in std.range(0, {TENANTS} - 1) }},
          routes: [{{ method: 'GET', path: '/', class: 'read' }}],
          zones: ['z0', 'z1', 'z2'],
          rules: {{ cold_from: 0.25, cold_ms: 8000, fall_multiple: 3, fall_ms: 1500 }},
          limits: {{ answer_margin_ms: 20 }},
          {}
          nodes: [{}],
        }}",
        day.quota[0],
        day.quota[1],
        if day.zones { &policy } else { "" },
        nodes.join(", "),
        n = day.gateways,
    );
    std::fs::write(folder.join("s.jsonnet"), text).map_err(fail)?;
    let loaded = frostgauge_settings::load(&folder.join("s.jsonnet")).map_err(|f| f.to_string());
    let _ = std::fs::remove_dir_all(&folder);
    loaded
}

pub(crate) fn zone_of(day: &Day, node: usize) -> u32 {
    let mut k = node;
    for (zone, n) in day.nodes.iter().enumerate() {
        if k < *n {
            return zone as u32;
        }
        k -= n;
    }
    0
}
