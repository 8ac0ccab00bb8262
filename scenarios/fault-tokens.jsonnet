// The introspection server is slow, silent, wrong, half there and restarted.
(import 'base.libsonnet') {
  steps: [
    { at: 2, do: 'introspection_slow', delay_ms: 130, len: 3 }, { at: 5, do: 'introspection_silent', len: 3 },
    { at: 9, do: 'introspection_errors', len: 2 }, { at: 12, do: 'introspection_half', len: 2 },
    { at: 15, do: 'introspection_restart', down: 1 }, { at: 6, do: 'revoke', tokens: 20 },
  ],
  expect: { served: 0.4 },
}
