// A building's nodes take ten times as long, then another's stand still.
(import 'zones.libsonnet') {
  seconds: 45,
  steps: [
    { at: 5, do: 'zone_slow', zone: 'building-a', times: 10, len: 8 },
    { at: 22, do: 'zone_silent', zone: 'building-b', len: 6 },
  ],
  expect: { served: 0.4, failed: 0.1 },
}
