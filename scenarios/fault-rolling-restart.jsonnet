// Gateways are drained one after another: nothing taken is lost.
(import 'base.libsonnet') {
  steps: [
    { at: 3, do: 'rolling_restart', len: 14 },
  ],
  expect: { served: 0.5 },
}
