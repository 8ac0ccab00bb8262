//! Whole connections of parts: what is under one is had in turn.
//!
//! Each round everyone's part is added to what it is owed, and as many whole ones are given as the parts add up to,
//! those first who would otherwise be owed one whole the soonest (earliest pseudo-deadline first; Srinivasan and
//! Anderson, Fair scheduling of dynamic task systems on multiprocessors, 2005: nobody is late by more than a round).
//! So nothing rounds to nothing for all, or to one each for all.

use std::collections::BTreeMap;

/// Thousandths in one.
const ONE: i64 = 1_000;

/// Who is owed what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turns<K: Ord> {
    owed: BTreeMap<K, i64>,
    /// Parts of rounds before that made no whole one together.
    carried: u64,
}

impl<K: Ord> Default for Turns<K> {
    fn default() -> Turns<K> {
        Turns { owed: BTreeMap::new(), carried: 0 }
    }
}

impl<K: Ord + Clone> Turns<K> {
    /// A round: parts in thousandths, in; whole ones out, `most` at most, which the parts add up to no more than.
    pub fn round(&mut self, parts: &BTreeMap<K, u64>, most: u64) -> BTreeMap<K, u64> {
        // Who wants nothing any more is owed nothing, and owes nothing.
        self.owed.retain(|k, _| parts.contains_key(k));
        let sum: u64 = parts.values().sum();
        let whole = ((sum + self.carried) / ONE as u64).min(most);
        self.carried = (sum + self.carried - whole * ONE as u64).min(ONE as u64 - 1);
        let mut given: BTreeMap<K, u64> = BTreeMap::new();
        let mut left = whole;
        for (k, part) in parts {
            let owed = self.owed.entry(k.clone()).or_default();
            // No more than two whole ones are ever owed: where there were fewer than the parts, what was missed is gone.
            *owed = owed.saturating_add(i64::try_from(*part).unwrap_or(i64::MAX)).min(2 * ONE + *part as i64);
        }
        // Whole ones of a part of one or more first, those first who are owed most; then, one each, who is next to be
        // owed one of what is left of its part.
        let mut due: Vec<(i64, &K)> =
            parts.iter().filter(|(_, p)| **p >= ONE as u64).map(|(k, _)| (self.owed(k), k)).collect();
        due.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        for (_, k) in due {
            let n = (parts[k] / ONE as u64).min(left);
            left -= self.give(k, n, &mut given);
        }
        while left > 0 {
            let mut next: Vec<(i64, i64, &K)> = parts
                .iter()
                .map(|(k, part)| (k, (*part % ONE as u64) as i64, self.owed(k)))
                .filter(|(_, part, owed)| *part > 0 && *owed > 0)
                .map(|(k, part, owed)| ((ONE - 1 - owed).div_euclid(part), -owed, k))
                .collect();
            if next.is_empty() {
                break;
            }
            next.sort_unstable();
            for (_, _, k) in next.into_iter().take(usize::try_from(left).unwrap_or(usize::MAX)) {
                left -= self.give(k, 1, &mut given);
            }
        }
        given
    }

    fn owed(&self, k: &K) -> i64 {
        self.owed.get(k).copied().unwrap_or(0)
    }

    fn give(&mut self, k: &K, n: u64, given: &mut BTreeMap<K, u64>) -> u64 {
        if let Some(owed) = self.owed.get_mut(k).filter(|_| n > 0) {
            *owed -= n as i64 * ONE;
            *given.entry(k.clone()).or_default() += n;
        }
        n
    }

    /// The longest wait between two turns of a part in thousandths, rounds: what the tests hold it to.
    pub fn longest_wait(part: u64) -> u64 {
        3_000u64.div_ceil(part.max(1))
    }
}
