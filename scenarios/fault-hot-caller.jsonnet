// Requests gather on each insurer's busiest gateway, and all shift at one stroke.
(import 'base.libsonnet') {
  steps: [
    { at: 4, do: 'hot_caller', share: 0.6, len: 10 }, { at: 9, do: 'reconnect' },
  ],
  expect: { served: 0.5 },
}
