// A release: gateways are ended one after the other by SIGTERM and started again, while half of the nodes are replaced by cold
// ones and the list moves with them, in the record and in the files; versions go on changing what tenants may have.
(import 'consensus.libsonnet') {
  nodes+: { rules: { cold_from: 0.3, cold_ms: 6000, fall_multiple: 3, fall_ms: 1500 } },
  steps: $.versions(1, 26, 3) + [
    { at: 2, do: 'rolling_restart', len: 18 },
    { at: 3, do: 'publish', by: 1, change: { replace: 0 } },
    { at: 7, do: 'publish', by: 2, change: { replace: 1 } },
    { at: 9, do: 'publish', by: 3, change: { gone: 0 } },
    { at: 12, do: 'publish', by: 4, change: { replace: 2 } },
    { at: 15, do: 'publish', by: 0, change: { gone: 1 } },
    { at: 20, do: 'publish', by: 1, change: { gone: 2 } },
  ],
  expect: { operations: 1000, served: 0.6, failed: 0.05, late_ms: 400 },
}
