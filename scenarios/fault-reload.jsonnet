// The settings are reloaded under load, good ones and bad ones.
(import 'base.libsonnet') {
  steps: [
    { at: 3, do: 'reload' }, { at: 6, do: 'bad_reload' }, { at: 9, do: 'reload' },
  ],
  expect: { served: 0.6 },
}
