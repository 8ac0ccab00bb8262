// What the days of agreed rules share: five gateways, three of them keepers, under rules that change all the time.
// A version lowers or raises what tenants may have, so that two versions in a row always contradict each other.
{
  seconds: 30,
  zones: ['building-a', 'building-b'],
  gateways: {
    count: 5,
    settings: { introspection: { timeout_ms: 150, fresh_ms: 4000, stale_ms: 60000, negative_ms: 3000 } },
  },
  nodes: { count: 6, cores: 3, speed: [0.9, 1.1], queue: 24, list_late_s: [0.2, 0.5] },
  classes: {
    'claim-read': {
      method: 'GET', path: '/claims/*', share: 0.6, work_ms: 15,
      aim_ms: 600, patience_ms: 1500, worth: 2, effect: 'safe',
    },
    'loss-report': {
      method: 'POST', path: '/claims', share: 0.4, work_ms: 15,
      aim_ms: 600, patience_ms: 1500, worth: 6, effect: 'unsafe',
    },
  },
  plans: {
    base: { rate: 10, burst: 20, price: 1, ceiling_rate: 30, ceiling_burst: 60, ceiling_slack: 10 },
    alargado: { rate: 20, burst: 40, price: 1.5, ceiling_rate: 60, ceiling_burst: 120, ceiling_slack: 10 },
  },
  insurers: [
    { plan: 'base', count: 10, use: [0.3, 0.9] },
    { plan: 'alargado', count: 4, use: [0.3, 0.9] },
  ],
  clients: { retries: 1, backoff_ms: 100, honour: 0.7, leave: 0.01, skew: 0.3 },
  accord: { keepers: 3, floor: 0.6, settings: { within_ms: 1500, confirm_ms: 500, canary_ms: 4000, canary_percent: 30 } },
  // A version every so many seconds, now lower, now higher, through each gateway in turn.
  versions(from, to, every):: [
    {
      at: from + k * every, do: 'publish', by: k % 5,
      change: { sums: [if k % 2 == 0 then 'base' else 'alargado', [0.8, 0.7, 1, 0.9, 0.75, 1][k % 6]] },
    }
    for k in std.range(0, std.floor((to - from) / every))
  ],
}
