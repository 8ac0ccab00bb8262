// A quarter of the nodes die at once and come back cold.
(import 'base.libsonnet') {
  steps: [
    { at: 4, do: 'crash', part: 0.25, len: 8 },
  ],
  expect: { served: 0.6 },
}
