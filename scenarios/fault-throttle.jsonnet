// Nodes take three times as long.
(import 'base.libsonnet') {
  steps: [
    { at: 4, do: 'throttle', part: 0.4, times: 3, len: 10 },
  ],
  expect: { served: 0.5 },
}
