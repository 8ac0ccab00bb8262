// Clients repeat at once and often, while some nodes err.
(import 'base.libsonnet') {
  steps: [
    { at: 4, do: 'retry_abuse', len: 12 }, { at: 6, do: 'fast_errors', part: 0.3, rate: 0.8, len: 8 },
  ],
  expect: { served: 0.5 },
}
