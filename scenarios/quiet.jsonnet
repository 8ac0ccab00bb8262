// A quiet day: nothing fails, a few insurers ask for more than their quota.
(import 'base.libsonnet') { expect: { served: 0.7, failed: 0.002 } }
