// Several troubles at once: nodes die while gateways are killed and nobody knows a token.
(import 'base.libsonnet') {
  steps: [
    { at: 3, do: 'introspection_silent', len: 5 }, { at: 4, do: 'crash', part: 0.3, len: 6 },
    { at: 5, do: 'balancer_roll', part: 0.67, batch: 0.34, down: 1.5, len: 6 }, { at: 8, do: 'cut', part: 0.3, rate: 0.5, len: 5 },
    { at: 9, do: 'hot_key', insurers: 4, times: 6, len: 8 }, { at: 10, do: 'deploy', part: 0.5, batch: 0.2, drain: 1.5, len: 8 },
    { at: 12, do: 'balancer_stall', part: 0.34, stall_ms: 700, every: 2, len: 6 },
  ],
  expect: { served: 0.2 },
}
