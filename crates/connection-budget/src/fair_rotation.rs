//! Whole connections of fractional shares: what is under one connection is had in turn.
//!
//! Each round everyone's share is added to its credit, and as many whole connections are allocated as the shares add up
//! to, those first who would otherwise be owed one the soonest (earliest pseudo-deadline first; Srinivasan and Anderson,
//! Fair scheduling of dynamic task systems on multiprocessors, 2005: nobody is late by more than a round). So nothing
//! rounds to nothing for all, or to one each for all.

use std::collections::BTreeMap;

/// Thousandths of one connection.
const MILLI: u64 = 1_000;
/// The same, as credit.
const ONE: i64 = MILLI as i64;

/// Rotates whole connections among keys that each have a share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FairRotation<K: Ord> {
    /// What each key is owed, thousandths; negative: had in advance.
    credit: BTreeMap<K, i64>,
    /// Thousandths of earlier rounds that made no whole connection together.
    carried: u64,
    /// Rounds that a turn lasts.
    turn_rounds: u64,
    round: u64,
    /// Keys that have a turn, and the round in which it ends.
    turns: BTreeMap<K, u64>,
}

impl<K: Ord> Default for FairRotation<K> {
    fn default() -> FairRotation<K> {
        FairRotation::with_turn_rounds(1)
    }
}

impl<K: Ord> FairRotation<K> {
    /// Turns of so many rounds each, over which those who have one change a few at a time: where it takes a round for
    /// something to change hands, a turn of one round is over before it has begun.
    pub fn with_turn_rounds(rounds: u64) -> FairRotation<K> {
        FairRotation {
            credit: BTreeMap::new(),
            carried: 0,
            turn_rounds: rounds.max(1),
            round: 0,
            turns: BTreeMap::new(),
        }
    }

    /// The longest wait between two turns, rounds, for a share in thousandths and turns of so many rounds.
    pub fn longest_wait_rounds(share: u64, turn_rounds: u64) -> u64 {
        (3_000 * turn_rounds).div_ceil(share.max(1))
    }
}

impl<K: Ord + Clone> FairRotation<K> {
    /// Allocates a round of whole connections, no more than the shares (thousandths) add up to and `max` at most.
    pub fn next_round(&mut self, shares: &BTreeMap<K, u64>, max: u64) -> BTreeMap<K, u64> {
        let sum: u64 = shares.values().sum();
        let whole = ((sum + self.carried) / MILLI).min(max);
        self.carried = (sum + self.carried - whole * MILLI).min(MILLI - 1);
        self.allocate(shares, whole)
    }

    /// Allocates a round of so many whole connections, which are about what the shares add up to.
    pub fn allocate(&mut self, shares: &BTreeMap<K, u64>, whole: u64) -> BTreeMap<K, u64> {
        self.begin_round(shares);
        let mut allocated = BTreeMap::new();
        let mut left = whole;
        left -= self.allocate_whole_shares(shares, left, &mut allocated);
        left -= self.continue_turns(left, &mut allocated);
        let ended_per_round = whole.div_ceil(self.turn_rounds).max(1);
        self.begin_turns(shares, left, ended_per_round, &mut allocated);
        allocated
    }

    /// The round in which a key's turn ends; 0: it has none, and what it has goes on.
    pub fn turn_end(&self, key: &K) -> u64 {
        self.turns.get(key).copied().unwrap_or(0)
    }

    fn credit(&self, key: &K) -> i64 {
        self.credit.get(key).copied().unwrap_or(0)
    }

    fn begin_round(&mut self, shares: &BTreeMap<K, u64>) {
        // Who wants nothing any more is owed nothing, and owes nothing.
        self.credit.retain(|key, _| shares.contains_key(key));
        self.round += 1;
        let round = self.round;
        self.turns.retain(|key, end| *end > round && shares.contains_key(key));
        for (key, share) in shares {
            // No more than two turns are ever owed: where there were fewer than the shares, what was missed is gone.
            let max = 2 * ONE * self.turn_rounds as i64 + *share as i64;
            let credit = self.credit.entry(key.clone()).or_default();
            *credit = credit.saturating_add(i64::try_from(*share).unwrap_or(i64::MAX)).min(max);
        }
    }

    /// Whole connections of shares of one or more, those first who are owed most; returns how many.
    fn allocate_whole_shares(
        &mut self,
        shares: &BTreeMap<K, u64>,
        available: u64,
        allocated: &mut BTreeMap<K, u64>,
    ) -> u64 {
        let of_one_or_more = shares.iter().filter(|(_, share)| **share >= MILLI);
        let mut due: Vec<(i64, &K)> = of_one_or_more.map(|(key, _)| (self.credit(key), key)).collect();
        due.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        let mut left = available;
        for (_, key) in due {
            let count = (shares[key] / MILLI).min(left);
            left -= count;
            if let Some(credit) = self.credit.get_mut(key).filter(|_| count > 0) {
                *credit -= count as i64 * ONE;
                *allocated.entry(key.clone()).or_default() += count;
            }
        }
        available - left
    }

    /// One connection for each turn that goes on: all that it costs was charged when it began. Returns how many.
    fn continue_turns(&mut self, available: u64, allocated: &mut BTreeMap<K, u64>) -> u64 {
        let mut left = available;
        let keys: Vec<K> = self.turns.keys().cloned().collect();
        for key in keys {
            if left == 0 {
                self.turns.remove(&key);
                continue;
            }
            *allocated.entry(key).or_default() += 1;
            left -= 1;
        }
        available - left
    }

    /// One connection each for those who would be owed one the soonest, of what is left of their shares.
    fn begin_turns(
        &mut self,
        shares: &BTreeMap<K, u64>,
        available: u64,
        ended_per_round: u64,
        allocated: &mut BTreeMap<K, u64>,
    ) {
        let mut left = available;
        while left > 0 {
            let next = self.by_deadline(shares);
            if next.is_empty() {
                break;
            }
            let count = usize::try_from(left).unwrap_or(usize::MAX);
            for (rank, key) in next.into_iter().take(count).enumerate() {
                // Many turns that begin together end a few at a time.
                let rounds = (self.turn_rounds as i64 - (rank as u64 / ended_per_round) as i64).max(1);
                self.begin_turn(key, rounds);
                *allocated.entry(key.clone()).or_default() += 1;
                left -= 1;
            }
        }
    }

    /// Keys without a turn that may begin one, in the order of their pseudo-deadlines.
    fn by_deadline<'a>(&self, shares: &'a BTreeMap<K, u64>) -> Vec<&'a K> {
        let turn_rounds = self.turn_rounds as i64;
        let min_credit = if turn_rounds == 1 { 0 } else { -turn_rounds * ONE };
        // Who is owed nothing comes only where nobody else is left.
        let mut next: Vec<(bool, i64, i64, &K)> = shares
            .iter()
            .map(|(key, share)| (key, (*share % MILLI) as i64, self.credit(key)))
            .filter(|(key, fraction, credit)| {
                *fraction > 0 && *credit > min_credit && !self.turns.contains_key(*key)
            })
            .map(|(key, fraction, credit)| {
                let deadline = (ONE * turn_rounds - 1 - credit).div_euclid(fraction);
                (credit <= 0, deadline, -credit, key)
            })
            .collect();
        next.sort_unstable();
        next.into_iter().map(|(_, _, _, key)| key).collect()
    }

    fn begin_turn(&mut self, key: &K, rounds: i64) {
        if self.turn_rounds > 1 {
            self.turns.insert(key.clone(), self.round + rounds as u64);
        }
        if let Some(credit) = self.credit.get_mut(key) {
            *credit -= rounds * ONE;
        }
    }
}
