// A zone goes dark while the counter is silent, and the counter returns empty while the zone comes back.
(import 'zones.libsonnet') {
  seconds: 40,
  gateways+: { settings+: { fleet: { peers: [] } } },
  counter: { adders: 2, adder_per_s: 5 },
  steps: [
    { at: 5, do: 'counter_down', how: 'silent', back: 'empty', len: 12 },
    { at: 7, do: 'zone_dark', zone: $.zones[0], len: 8 },
  ],
}
