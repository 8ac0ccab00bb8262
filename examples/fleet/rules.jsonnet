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
}
