// Three buildings that prefer their own nodes, with limits on what crosses.
local zones = ['building-a', 'building-b', 'building-c'];
local others(zone) = [z for z in zones if z != zone];
(import 'base.libsonnet') {
  zones: zones,
  gateways: {
    count: 6,
    settings: {
      introspection: { timeout_ms: 150, fresh_ms: 2000, stale_ms: 30000, negative_ms: 3000 },
      zone_policy: {
        tiers: { [z]: [[z], others(z)] for z in zones },
        limits: { [z]: { [o]: { rate: 30, share: 0.3 } for o in others(z) } for z in zones },
        hold_ms: 2000,
        hold_most_ms: 20000,
        calm_ms: 30000,
        ramp_ms: 8000,
      },
    },
  },
  nodes+: { count: 24, cores: 2 },
}
