// Nodes stand still again and again.
(import 'base.libsonnet') {
  steps: [
    { at: 4, do: 'pauses', part: 0.5, pause_ms: 500, every: 1.5, len: 12 },
  ],
  expect: { served: 0.5 },
}
