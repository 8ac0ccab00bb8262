// Few connections at each node, shared by policy, while gateways are stopped with sockets open, killed, cut off on one side
// and both, the leader among them, and the budget is halved while it is full. Nodes close what is idle for two seconds.
(import 'consensus.libsonnet') {
  accord+: {
    budgets: {
      budgets: { all: { connections: 5, idle_ms: 2000, attempt_ms: 2500, turn_ms: 800 } },
      rules: [
        { name: 'everyone', set: { floor: 1, ground: 1 } },
        { name: 'large', select: { plans: ['alargado'] }, set: { weight: 2, floor: 2, ground: 1, lend: { up_to: 1, back_ms: 6000 } } },
      ],
    },
  },
  steps: [
    { at: 2, do: 'stop', gateways: [4], len: 1 },
    { at: 4, do: 'stop', gateways: [0], len: 3 },
    { at: 5, do: 'link_cut', from: [3], to: [0, 1, 2], both: true, how: 'silent', len: 4 },
    { at: 9, do: 'stop', gateways: [3], len: 6 },
    { at: 10, do: 'kill', gateways: [4], down: 0.5 },
    { at: 12, do: 'publish', by: 1, change: { connections: 4 } },
    { at: 14, do: 'link_cut', from: [0, 1, 2], to: [4], how: 'swallowing', len: 2.5 },
    { at: 17, do: 'kill', gateways: [1], down: 0.5 },
    { at: 18, do: 'stop', gateways: [2], len: 2 },
    { at: 21, do: 'stop', gateways: [0, 1, 2], len: 3 },
    { at: 25, do: 'publish', by: 2, change: { connections: 5 } },
  ],
  expect: { operations: 1000, served: 0.5, failed: 0.12, late_ms: 400 },
}
