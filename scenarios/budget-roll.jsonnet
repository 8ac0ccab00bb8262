// The release of consensus-roll with few connections at each node: gateways that end by SIGTERM give theirs back first, new nodes
// come with a budget of their own, and those that drain are called back from.
(import 'consensus-roll.jsonnet') {
  accord+: {
    budgets: {
      budgets: { all: { connections: 6, idle_ms: 2000, attempt_ms: 2500, turn_ms: 800 } },
      rules: [{ name: 'everyone', set: { floor: 1, ground: 1 } }],
    },
  },
}
