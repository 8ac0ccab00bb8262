// Nodes turn requests away, with the proof that they did not run and without it.
(import 'base.libsonnet') {
  steps: [
    { at: 4, do: 'full', part: 0.5, rate: 0.3, len: 10 },
  ],
  expect: { served: 0.5 },
}
