// Floors that nobody uses are lent, and asked back all at once: a few insurers ask many times their usual rate, then nearly
// all do, while a gateway that holds what was lent is stopped, and another killed.
(import 'consensus.libsonnet') {
  accord+: {
    budgets: {
      budgets: { all: { connections: 4, idle_ms: 2000, attempt_ms: 2500, turn_ms: 800 } },
      rules: [
        { name: 'everyone', set: { floor: 1, lend: { up_to: 1, back_ms: 6000 } } },
        { name: 'large', select: { plans: ['alargado'] }, set: { weight: 2, floor: 2, ground: 1 } },
      ],
    },
  },
  steps: [
    { at: 3, do: 'hot_key', insurers: 3, times: 6, len: 6 },
    { at: 8, do: 'stop', gateways: [4], len: 4 },
    { at: 9, do: 'hot_key', insurers: 12, times: 3, len: 6 },
    { at: 16, do: 'hot_key', insurers: 2, times: 10, len: 5 },
    { at: 19, do: 'kill', gateways: [3], down: 0.5 },
    { at: 21, do: 'hot_key', insurers: 13, times: 3, len: 5 },
    { at: 22, do: 'link_cut', from: [2], to: [0, 1], both: true, how: 'silent', len: 3 },
  ],
  expect: { operations: 1000, served: 0.4, failed: 0.12, late_ms: 400 },
}
