// A frost night: the introspection server slows down and falls silent in mid-burst, tokens are revoked,
// nodes crash, err and cut connections, an insurer asks for far more than its quota.
(import 'base.libsonnet') {
  seconds: 50,
  steps: [
    { at: 3, do: 'introspection_slow', delay_ms: 120, len: 5 },
    { at: 5, do: 'hot_key', insurers: 3, times: 4, len: 14 },
    { at: 8, do: 'revoke', tokens: 5 },
    { at: 9, do: 'introspection_silent', len: 6 },
    { at: 11, do: 'crash', part: 0.2, len: 8 },
    { at: 14, do: 'fast_errors', part: 0.2, rate: 0.6, len: 8 },
    { at: 17, do: 'introspection_errors', len: 3 },
    { at: 22, do: 'revoke', tokens: 5 },
    { at: 24, do: 'introspection_half', len: 2 },
    { at: 26, do: 'cut', part: 0.3, rate: 0.3, len: 6 },
    { at: 28, do: 'introspection_restart', down: 1.5 },
    { at: 33, do: 'pauses', part: 0.3, pause_ms: 200, every: 1, len: 5 },
    { at: 36, do: 'reconnect' },
  ],
  expect: { operations: 10000, served: 0.5, failed: 0.1 },
}
