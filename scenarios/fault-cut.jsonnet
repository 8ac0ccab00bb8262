// Nodes run requests and close without an answer.
(import 'base.libsonnet') {
  steps: [
    { at: 4, do: 'cut', part: 0.3, rate: 0.5, len: 10 },
  ],
  expect: { served: 0.5 },
}
