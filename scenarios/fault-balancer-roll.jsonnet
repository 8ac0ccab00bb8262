// Gateways are killed one after another with requests in hand, and start again.
(import 'base.libsonnet') {
  steps: [
    { at: 3, do: 'balancer_roll', part: 1, batch: 0.34, down: 1, len: 14 },
  ],
  expect: { served: 0.5 },
}
