// Third of three: the same day, the counter silent in the middle and back with its numbers.
(import 'counter.libsonnet') {
  steps: [{ at: 8, do: 'counter_down', how: 'silent', back: 'kept', len: 12 }],
}
