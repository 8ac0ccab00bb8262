// A few insurers ask for many times their usual rate.
(import 'base.libsonnet') {
  steps: [
    { at: 4, do: 'hot_key', insurers: 3, times: 8, len: 10 },
  ],
  expect: { served: 0.3 },
}
