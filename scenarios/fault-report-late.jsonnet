// Answers tell nothing of the use of quotas.
(import 'base.libsonnet') {
  steps: [
    { at: 4, do: 'report_late', len: 12 },
  ],
  expect: { served: 0.5 },
}
