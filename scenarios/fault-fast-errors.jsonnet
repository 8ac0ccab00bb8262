// Nodes answer errors at once, half of them after the effect.
(import 'base.libsonnet') {
  steps: [
    { at: 4, do: 'fast_errors', part: 0.2, rate: 0.9, len: 10 },
  ],
  expect: { served: 0.6 },
}
