//! Turns fractional shares into whole connections, round by round: keys with less than a whole connection get one in
//! turn.
//!
//! Each round adds every key's share to its credit and allocates as many whole connections as the shares add up to,
//! first to the keys with the earliest pseudo-deadline (Srinivasan and Anderson, Fair scheduling of dynamic task
//! systems on multiprocessors, 2005: no key is late by more than a round). Rounding each share by itself could instead
//! give no connection to any key, or one to every key.
//!
//! A turn is a number of consecutive rounds in which a key holds one connection for the fractional part of its share.

use std::collections::BTreeMap;

/// Thousandths in one connection.
const MILLI: u64 = 1_000;
/// Credit of one whole connection for one round, thousandths.
const ONE: i64 = MILLI as i64;

/// Rotates whole connections among keys, each of which has a share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FairRotation<K: Ord> {
    /// Connections that each key is still owed, thousandths of a connection for a round; negative if it was allocated
    /// some in advance.
    credit: BTreeMap<K, i64>,
    /// Part of the shares of earlier rounds that was not yet allocated as a whole connection, thousandths.
    carried: u64,
    /// Length of a turn, rounds.
    turn_rounds: u64,
    /// Number of the current round.
    round: u64,
    /// Keys that have a turn, each with the round at which it ends.
    turns: BTreeMap<K, u64>,
}

impl<K: Ord> Default for FairRotation<K> {
    fn default() -> FairRotation<K> {
        FairRotation::with_turn_rounds(1)
    }
}

impl<K: Ord> FairRotation<K> {
    /// A rotation whose turns last up to this many rounds; of turns that begin together, a few end in each round. Turns
    /// of more than one round are for connections that take a round to move from one key to another: a turn of one
    /// round would be over before the connection could be used.
    pub fn with_turn_rounds(rounds: u64) -> FairRotation<K> {
        FairRotation {
            credit: BTreeMap::new(),
            carried: 0,
            turn_rounds: rounds.max(1),
            round: 0,
            turns: BTreeMap::new(),
        }
    }

    /// Upper bound of the rounds between two turns of a key, for a share in thousandths and turns of `turn_rounds`
    /// rounds.
    pub fn longest_wait_rounds(share: u64, turn_rounds: u64) -> u64 {
        (3_000 * turn_rounds).div_ceil(share.max(1))
    }
}

impl<K: Ord + Clone> FairRotation<K> {
    /// Allocates the whole connections of a round: about what the shares, in thousandths, add up to, with what earlier
    /// rounds left over, and at most `max`.
    pub fn next_round(&mut self, shares: &BTreeMap<K, u64>, max: u64) -> BTreeMap<K, u64> {
        let sum: u64 = shares.values().sum();
        let whole = ((sum + self.carried) / MILLI).min(max);
        self.carried = (sum + self.carried - whole * MILLI).min(MILLI - 1);
        self.allocate(shares, whole)
    }

    /// Allocates `whole` connections in a round. The caller ensures that over time they match the sum of the shares,
    /// which are in thousandths.
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

    /// Number of the round at which a key's turn ends; 0 if it has none, as the whole part of a share needs no turn.
    pub fn turn_end(&self, key: &K) -> u64 {
        self.turns.get(key).copied().unwrap_or(0)
    }

    fn credit(&self, key: &K) -> i64 {
        self.credit.get(key).copied().unwrap_or(0)
    }

    /// Ends the turns that are over, and adds the shares to the credits.
    fn begin_round(&mut self, shares: &BTreeMap<K, u64>) {
        // A key without a share loses its credit or debt.
        self.credit.retain(|key, _| shares.contains_key(key));
        self.round += 1;
        let round = self.round;
        self.turns.retain(|key, end| *end > round && shares.contains_key(key));
        for (key, share) in shares {
            // The credit is limited to two turns: what a key missed while there were fewer connections than the shares
            // add up to is not made up for without limit.
            let max = 2 * ONE * self.turn_rounds as i64 + *share as i64;
            let credit = self.credit.entry(key.clone()).or_default();
            *credit = credit.saturating_add(i64::try_from(*share).unwrap_or(i64::MAX)).min(max);
        }
    }

    /// Allocates the whole part of shares of at least one connection, in the order of falling credit; returns how many
    /// connections that took.
    fn allocate_whole_shares(
        &mut self,
        shares: &BTreeMap<K, u64>,
        available: u64,
        allocated: &mut BTreeMap<K, u64>,
    ) -> u64 {
        let at_least_one = shares.iter().filter(|(_, share)| **share >= MILLI);
        let mut by_credit: Vec<(i64, &K)> = at_least_one.map(|(key, _)| (self.credit(key), key)).collect();
        by_credit.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        let mut left = available;
        for (_, key) in by_credit {
            let count = (shares[key] / MILLI).min(left);
            left -= count;
            if let Some(credit) = self.credit.get_mut(key).filter(|_| count > 0) {
                *credit -= count as i64 * ONE;
                *allocated.entry(key.clone()).or_default() += count;
            }
        }
        available - left
    }

    /// Allocates one connection to each key whose turn goes on, as far as connections are left; the other turns end. A
    /// turn's credit was deducted in full when it began. Returns how many connections that took.
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

    /// Begins turns for the fractional parts of shares, in the order of their pseudo-deadlines, until no connection is
    /// left or no key may begin one. Of turns that begin together, `ended_per_round` end in each round.
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
                // Turns of different lengths, so that those that begin together do not all end together.
                let rounds = (self.turn_rounds as i64 - (rank as u64 / ended_per_round) as i64).max(1);
                self.begin_turn(key, rounds);
                *allocated.entry(key.clone()).or_default() += 1;
                left -= 1;
            }
        }
    }

    /// Keys that may begin a turn, in the order of their pseudo-deadlines.
    fn by_deadline<'a>(&self, shares: &'a BTreeMap<K, u64>) -> Vec<&'a K> {
        let turn_rounds = self.turn_rounds as i64;
        let min_credit = if turn_rounds == 1 { 0 } else { -turn_rounds * ONE };
        // Keys without positive credit come last.
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

    /// Begins a turn of a number of rounds and deducts all of its credit.
    fn begin_turn(&mut self, key: &K, rounds: i64) {
        if self.turn_rounds > 1 {
            self.turns.insert(key.clone(), self.round + rounds as u64);
        }
        if let Some(credit) = self.credit.get_mut(key) {
            *credit -= rounds * ONE;
        }
    }
}
