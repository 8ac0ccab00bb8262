// Second of three: the same day without a counter.
(import 'counter.libsonnet') { counter: null }
