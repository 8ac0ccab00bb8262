// A building dies and comes back three times.
(import 'zones.libsonnet') {
  seconds: 50,
  steps: [{ at: 5, do: 'zone_flap', zone: 'building-c', times: 3, down: 4, up: 5 }],
  expect: { served: 0.4, failed: 0.05 },
}
