// What the scenarios share: a small installation like the users' first one. A scenario adds its troubles.
{
  seconds: 20,
  zones: ['building-a', 'building-b', 'building-c'],
  gateways: {
    count: 3,
    settings: { introspection: { timeout_ms: 150, fresh_ms: 2000, stale_ms: 30000, negative_ms: 3000 } },
  },
  nodes: {
    count: 10,
    cores: 3,
    speed: [0.9, 1.1],
    queue: 24,
    rules: { cold_from: 0.2, cold_ms: 10000, fall_multiple: 3, fall_ms: 1500 },
  },
  classes: {
    'claim-read': {
      method: 'GET', path: '/claims/*', share: 0.56, work_ms: 60,
      aim_ms: 600, patience_ms: 2500, worth: 2, effect: 'safe',
    },
    'loss-report': {
      method: 'POST', path: '/claims', share: 0.34, work_ms: 60,
      aim_ms: 600, patience_ms: 1500, worth: 6, effect: 'unsafe',
    },
    'loss-photo': {
      method: 'PUT', path: '/claims/*/photo', share: 0.1, work_ms: 60, units: 2,
      aim_ms: 800, patience_ms: 2000, worth: 3, effect: 'keyed', window_ms: 1500,
    },
  },
  plans: {
    base: { rate: 2.4, burst: 10, price: 1.1, over_cost: 1 },
    alargado: {
      rate: 14, burst: 24, price: 1.6, over_cost: 0.6,
      ceiling_rate: 30, ceiling_burst: 50, ceiling_slack: 5,
    },
  },
  insurers: [
    { plan: 'base', count: 50, use: [0.2, 0.9], spread: 2 },
    { plan: 'base', count: 5, use: [1.5, 4], spread: 3 },
    { plan: 'alargado', count: 12, use: [0.3, 0.9], spread: 3 },
    { plan: 'alargado', count: 2, use: [1.5, 3], spread: 3 },
  ],
  clients: { retries: 2, backoff_ms: 50, honour: 0.7, leave: 0.01 },
  introspection_ms: 5,
  meter: { period_ms: 500, late_ms: 400 },
  expect: { served: 0.5 },
}
