// The counter is killed ten times under load while one in twenty of its replies is lost. What its log comes to
// is compared with what every caller was told, and with the tally that callers of its own keep.
(import 'base.libsonnet') {
  seconds: 32,
  // Without each other's word, the gateways go by the counter.
  gateways+: { settings+: { fleet: { peers: [] } } },
  counter: {
    adders: 16,
    adder_per_s: 40,
    // Small files, so that kills meet snapshots, new segments and renames too.
    settings: { limits: { segment_bytes: 65536, snapshot_bytes: 131072 } },
  },
  steps: [
    { at: 1, do: 'reply_lost', rate: 0.05, len: 30 },
    { at: 3, do: 'counter_kill', times: 10, every: 2.5, down: 0.4 },
  ],
  expect: { operations: 5000, served: 0.5, failed: 0.1 },
}
