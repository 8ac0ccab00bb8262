// Two buildings go dark in turn and come back cold.
(import 'zones.libsonnet') {
  seconds: 56,
  steps: [
    { at: 6, do: 'zone_dark', zone: 'building-a', len: 8 },
    { at: 32, do: 'zone_dark', zone: 'building-b', len: 8 },
  ],
  expect: { served: 0.4, failed: 0.05 },
}
