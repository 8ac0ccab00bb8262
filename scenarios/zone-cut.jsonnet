// The path from one building's gateways to their own nodes is cut; the others reach them.
(import 'zones.libsonnet') {
  seconds: 35,
  steps: [{ at: 5, do: 'zone_cut', from: 'building-b', to: 'building-b', len: 8 }],
  expect: { served: 0.4, failed: 0.05 },
}
