// Links between gateways are cut one way and both, silent, refusing and swallowing, exactly while versions come into
// force; a keeper is cut from the others but not from followers; a ring in which each keeper hears only the next.
(import 'consensus.libsonnet') {
  steps: $.versions(1, 26, 1.5) + [
    // A follower is cut from all keepers, and then only its questions, and then only the answers.
    { at: 2, do: 'link_cut', from: [4], to: [0, 1, 2], both: true, how: 'silent', len: 2.5 },
    { at: 5.5, do: 'link_cut', from: [3], to: [0, 1, 2], how: 'swallowing', len: 2 },
    { at: 5.5, do: 'link_cut', from: [0, 1, 2], to: [4], how: 'silent', len: 2 },
    // A keeper cut from the other keepers, not from followers.
    { at: 9, do: 'link_cut', from: [0], to: [1, 2], both: true, how: 'refusing', len: 3 },
    // Each keeper hears only the one before it.
    { at: 13, do: 'link_cut', from: [0], to: [2], how: 'silent', len: 2.5 },
    { at: 13, do: 'link_cut', from: [1], to: [0], how: 'silent', len: 2.5 },
    { at: 13, do: 'link_cut', from: [2], to: [1], how: 'silent', len: 2.5 },
    // Two halves.
    { at: 17, do: 'link_cut', from: [0, 3], to: [1, 2, 4], both: true, how: 'silent', len: 3 },
    // All links are slow, then one flaps.
    { at: 21, do: 'link_slow', ms: 120, len: 2 },
    { at: 23.5, do: 'link_cut', from: [1], to: [0, 2], both: true, how: 'refusing', len: 0.4 },
    { at: 24.3, do: 'link_cut', from: [1], to: [0, 2], both: true, how: 'refusing', len: 0.4 },
  ],
  expect: { operations: 1000, served: 0.5, failed: 0.05, late_ms: 400 },
}
