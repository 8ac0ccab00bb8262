// Half of the nodes are drained and removed, and come back cold.
(import 'base.libsonnet') {
  steps: [
    { at: 4, do: 'shrink', part: 0.5, drain: 2, len: 6 },
  ],
  expect: { served: 0.4 },
}
