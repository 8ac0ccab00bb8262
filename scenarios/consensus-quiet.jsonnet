// No fault: a version every two seconds. What the days with faults are compared with.
(import 'consensus.libsonnet') {
  steps: $.versions(1, 26, 2),
  expect: { operations: 1000, served: 0.85, failed: 0.01, late_ms: 400 },
}
