// zone-loss with the decisions about zones left out, to be held against it: what crosses is over the limit that
// the other keeps, so this one ends with exit code 1.
(import 'zone-loss.jsonnet') {
  gateways+: { settings: { introspection: super.settings.introspection } },
  expect: { spill: 30 },
}
