// Keepers are lost: one of three, one with its disk, two of three, all three, the leader stopped past its lease and
// woken; a node drains while nobody can say so in the record. Serving never stops: on ground, floors are served.
(import 'consensus.libsonnet') {
  steps: $.versions(1, 27, 2) + [
    { at: 2.5, do: 'kill', gateways: [2], down: 1.5 },
    { at: 6, do: 'kill', gateways: [1], down: 1, lose_disk: true },
    { at: 10, do: 'stop', gateways: [0], len: 2.2 },
    { at: 13.5, do: 'kill', gateways: [0, 1], down: 3 },
    { at: 14.5, do: 'publish', by: 3, change: { drain: 0 } },
    { at: 19, do: 'publish', by: 3, change: { back: 0 } },
    { at: 20, do: 'stop', gateways: [0, 1, 2], len: 2.5 },
    { at: 24, do: 'stop', gateways: [4], len: 1.8 },
  ],
  expect: { operations: 1000, served: 0.35, failed: 0.08, late_ms: 400 },
}
