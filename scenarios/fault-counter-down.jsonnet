// The counter refuses connections and returns empty, falls silent and returns with its numbers, and is silent and
// returns empty, while nodes crash and gateways are killed.
(import 'counter.libsonnet') {
  steps: [
    { at: 3, do: 'counter_down', how: 'refusing', back: 'empty', len: 3 },
    { at: 9, do: 'counter_down', how: 'silent', back: 'kept', len: 3 },
    { at: 10, do: 'crash', part: 0.2, len: 5 },
    { at: 15, do: 'counter_down', how: 'silent', back: 'empty', len: 3 },
    { at: 16, do: 'balancer_roll', part: 0.5, batch: 0.25, down: 0.5, len: 5 },
    { at: 20, do: 'reply_lost', rate: 0.3, len: 5 },
    { at: 22, do: 'counter_kill', times: 2, every: 2, down: 0.3 },
  ],
  expect+: { failed: 0.2 },
}
