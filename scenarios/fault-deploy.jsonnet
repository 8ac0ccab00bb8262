// A rolling deploy replaces every node by a cold one at a new address.
(import 'base.libsonnet') {
  steps: [
    { at: 2, do: 'deploy', part: 1, batch: 0.2, drain: 2, len: 16 },
  ],
  expect: { served: 0.5 },
}
