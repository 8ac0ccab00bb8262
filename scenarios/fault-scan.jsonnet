// Insurers that are seen once.
(import 'base.libsonnet') {
  steps: [
    { at: 4, do: 'scan', per_s: 40, len: 10 },
  ],
  expect: { served: 0.5 },
  one_offs: 400,
}
