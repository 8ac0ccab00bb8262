// Quotas that bind, and gateways that go by the counter alone: no word of each other, no meter in the answers.
(import 'base.libsonnet') {
  seconds: 30,
  gateways+: {
    count: 4,
    settings+: { fleet: { peers: [] }, limits: { meter_ms: 0 } },
  },
  plans+: {
    alargado+: { ceiling_rate: 0 },
  },
  insurers: [
    { plan: 'base', count: 20, use: [0.3, 0.9] },
    { plan: 'base', count: 12, use: [1.5, 3] },
    { plan: 'alargado', count: 6, use: [0.3, 0.9] },
    { plan: 'alargado', count: 4, use: [1.5, 2.5] },
  ],
  counter: { adders: 2, adder_per_s: 5 },
  expect: { served: 0.3, failed: 0.1 },
}
