// One fleet of three gateways, all of them keepers, in front of two claims nodes. Each gateway's file says its number.
// The secrets lie beside the files, mode 600: `fleet.secret` (shared by all) and `client.secret`.
function(number) {
  local at(port) = '127.0.0.1:' + (port + number),
  gateway: { number: number, zone: 'campus', listen: at(8000), admin: at(8100) },
  fleet: { gateways: 3 },
  introspection: { address: '127.0.0.1:9000', client_id: 'gateways', client_secret_file: 'client.secret' },
  classes: {
    'claim-read': { aim_ms: 600, patience_ms: 2500, worth: 2, effect: { kind: 'safe' } },
    'loss-report': { aim_ms: 600, patience_ms: 1500, worth: 6, effect: { kind: 'unsafe' } },
  },
  plans: { base: { rate: 12, burst: 24, price: 1, ceiling_rate: 30, ceiling_burst: 60, ceiling_slack: 6 } },
  insurers: { 'seguros-norte': { plan: 'base' }, 'seguros-sul': { plan: 'base' } },
  routes: [
    { method: 'GET', path: '/claims/*', class: 'claim-read', scope: 'claims' },
    { method: 'POST', path: '/claims', class: 'loss-report', scope: 'claims' },
  ],
  zones: ['campus'],
  nodes: [{ address: '127.0.0.1:9101', zone: 'campus' }, { address: '127.0.0.1:9102', zone: 'campus' }],
  accord: {
    keepers: [0, 1, 2],
    links: ['127.0.0.1:8200', '127.0.0.1:8201', '127.0.0.1:8202'],
    secret_file: 'fleet.secret',
    folder: 'accord-' + number,
    within_ms: 3000,
    confirm_ms: 1000,
  },
}
