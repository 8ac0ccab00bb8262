// A building goes dark while a few insurers ask for many times their rate and answers tell no use of quotas.
(import 'zones.libsonnet') {
  seconds: 30,
  steps: [
    { at: 3, do: 'hot_key', insurers: 4, times: 8, len: 18 },
    { at: 4, do: 'report_late', len: 14 },
    { at: 6, do: 'zone_dark', zone: 'building-a', len: 6 },
  ],
  expect: { served: 0.3, failed: 0.05 },
}
