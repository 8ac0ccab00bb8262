// Nodes take requests and then stand still for ten seconds.
(import 'base.libsonnet') {
  steps: [
    { at: 4, do: 'pauses', part: 0.2, pause_ms: 10000, every: 20, len: 12 },
  ],
  expect: { served: 0.5 },
}
