// What the fleet begins with: `frostgauged --config gateway-K.jsonnet --found rules.jsonnet`, once, at each keeper.
// Figures are thousandths of a unit, a second, over the whole fleet; floors are for each gateway.
{
  format: 2,
  classes: {
    'claim-read': { cost_milli: 1000, repeatable: true, ground: true },
    'loss-report': { cost_milli: 1000, repeatable: false, ground: true },
  },
  plans: { base: { rate_milli: 12000, ceiling_milli: 30000 } },
  tenants: {
    [name]: { plan: 'base', classes: ['claim-read', 'loss-report'], floor_milli: 2000 }
    for name in ['seguros-norte', 'seguros-sul']
  },
  servers: {
    n1: { address: '127.0.0.1:9101', state: 'Ready', zone: 'campus' },
    n2: { address: '127.0.0.1:9102', state: 'Ready', zone: 'campus' },
  },
  gateways: [0, 1, 2],
  // Each node holds thirty connections from all gateways together, and closes one that is idle for ten seconds.
  budgets: {
    budgets: { nodes: { connections: 30, idle_ms: 10000, attempt_ms: 5000, turn_ms: 2000 } },
    conditions: { night: { hours: { from_min: 1320, to_min: 360 } } },
    rules: [
      // Each insurer has ten whenever it wants them; three of them it keeps while keepers are gone, five it lends.
      { name: 'everyone', set: { floor: 10, ground: 3, lend: { up_to: 5, back_ms: 8000 } } },
      // Reports at night get no more than six for each insurer.
      { name: 'reports at night', when: ['night'], select: { classes: ['loss-report'] }, set: { ceiling: 6 } },
    ],
  },
}
