//! Weighted max-min shares within floors and ceilings, in whole numbers.
//!
//! Shares are in thousandths of a connection, since a tenant's part is often under one: a
//! [`FairRotation`](crate::FairRotation) makes whole connections of them. The share is the largest level at which everyone
//! gets weight times level, but no less than the part of its floor that it wants and no more than it wants or its ceiling
//! (water-filling; Bertsekas and Gallager, Data Networks, section 6.5.2).

use crate::terms::Terms;

/// Thousandths of one connection.
const MILLI: u64 = 1_000;
/// Levels are searched in this fraction of a thousandth.
const LEVEL_SCALE: u128 = 1 << 20;

/// What a tenant is entitled to, and wants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    /// Its terms.
    pub terms: Terms,
    /// What it has use for now, thousandths of a connection.
    pub demand_milli: u64,
}

impl Claim {
    /// What it could use: its demand, but no more than its ceiling.
    pub(crate) fn usable_milli(&self) -> u64 {
        let ceiling = self.terms.ceiling.map_or(u64::MAX, |ceiling| u64::from(ceiling) * MILLI);
        self.demand_milli.min(ceiling)
    }
}

/// What a tenant gets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Thousandths of a connection.
    pub connections_milli: u64,
    /// Its floor as far as it can be kept, thousandths: less than the floor where servers are fewer than floors need.
    pub floor_milli: u64,
    /// Of its floor, what others have for now, thousandths at most: it has no use for it, and may lend it.
    pub lent_milli: u64,
}

/// A claim within its bounds, thousandths of a connection.
struct Bounds {
    weight: u128,
    floor: u64,
    /// The part of the floor that it wants.
    wanted_floor: u64,
    lent: u64,
    usable: u64,
}

impl Bounds {
    fn new(claim: &Claim, floor: u64) -> Bounds {
        let usable = claim.usable_milli();
        let wanted_floor = floor.min(usable);
        let may_lend = claim.terms.loan.map_or(0, |loan| u64::from(loan.max_connections) * MILLI);
        let lent = (floor - wanted_floor).min(may_lend);
        Bounds { weight: u128::from(claim.terms.weight), floor, wanted_floor, lent, usable }
    }

    /// Nobody may have this: it is neither wanted nor lent.
    fn reserved(&self) -> u64 {
        self.floor - self.wanted_floor - self.lent
    }

    fn share_at(&self, level: u128) -> u64 {
        let share = level.saturating_mul(self.weight) / LEVEL_SCALE;
        let max = self.usable.max(self.wanted_floor);
        u64::try_from(share).unwrap_or(u64::MAX).clamp(self.wanted_floor, max)
    }
}

/// Shares so many connections. The shares add up to no more than there are, and to all that is wanted or there, but for
/// floors that are reserved for who may not lend them and for less than a thousandth each.
pub fn max_min_shares(connections: u64, claims: &[Claim]) -> Vec<Share> {
    let total = connections.saturating_mul(MILLI);
    let floors = floors_within(total, claims);
    let bounds: Vec<Bounds> =
        claims.iter().zip(floors).map(|(claim, floor)| Bounds::new(claim, floor)).collect();
    let available = total.saturating_sub(bounds.iter().map(Bounds::reserved).sum());
    let level = largest_level(total, available, &bounds);
    let mut shares: Vec<Share> = (bounds.iter())
        .map(|b| Share { connections_milli: b.share_at(level), floor_milli: b.floor, lent_milli: b.lent })
        .collect();
    // What is left is under a thousandth each: it goes to the first that can have it.
    let mut rest = available.saturating_sub(shares.iter().map(|share| share.connections_milli).sum());
    for (share, bounds) in shares.iter_mut().zip(&bounds) {
        if rest > 0 && share.connections_milli < bounds.usable && bounds.weight > 0 {
            share.connections_milli += 1;
            rest -= 1;
        }
    }
    shares
}

/// The largest level at which the shares fit: their sum only grows with it.
fn largest_level(total: u64, available: u64, bounds: &[Bounds]) -> u128 {
    let sum = |level: u128| bounds.iter().map(|b| u128::from(b.share_at(level))).sum::<u128>();
    let (mut low, mut high) = (0u128, (u128::from(total) + 1) * LEVEL_SCALE);
    while low + 1 < high {
        let middle = low + (high - low) / 2;
        if sum(middle) <= u128::from(available) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Floors as far as they fit: who is first in the shed order loses its floor first, those of one order alike.
fn floors_within(total: u64, claims: &[Claim]) -> Vec<u64> {
    let mut floors: Vec<u64> = claims.iter().map(|claim| u64::from(claim.terms.floor) * MILLI).collect();
    let mut over = floors.iter().sum::<u64>().saturating_sub(total);
    let mut orders: Vec<u8> = claims.iter().map(|claim| claim.terms.shed_order).collect();
    orders.sort_unstable_by(|a, b| b.cmp(a));
    orders.dedup();
    for order in orders {
        if over == 0 {
            break;
        }
        let of_order = |index: &usize| claims[*index].terms.shed_order == order;
        let indices: Vec<usize> = (0..claims.len()).filter(of_order).collect();
        let sum: u64 = indices.iter().map(|index| floors[*index]).sum();
        let shed = over.min(sum);
        for index in indices {
            // Rounded up, so that all that must go goes.
            let part = (u128::from(floors[index]) * u128::from(shed)).div_ceil(u128::from(sum.max(1)));
            floors[index] -= u64::try_from(part).unwrap_or(u64::MAX).min(floors[index]);
        }
        over -= shed;
    }
    floors
}
