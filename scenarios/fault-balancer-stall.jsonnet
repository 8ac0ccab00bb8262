// Gateways stand still for a second again and again.
(import 'base.libsonnet') {
  steps: [
    { at: 4, do: 'balancer_stall', part: 0.67, stall_ms: 1000, every: 3, len: 12 },
  ],
  expect: { served: 0.4 },
}
