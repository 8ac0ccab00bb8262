// Nodes are taken away on short notice and come back cold.
(import 'base.libsonnet') {
  steps: [
    { at: 4, do: 'preempt', part: 0.3, notice: 1, len: 6 },
  ],
  expect: { served: 0.6 },
}
