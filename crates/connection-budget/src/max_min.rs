//! Weighted max-min shares within floors and ceilings, in whole numbers.
//!
//! Shares are in thousandths of a connection, since a tenant's share is often below one connection; a
//! [`FairRotation`](crate::FairRotation) turns them into whole connections. Each tenant class gets its weight times a
//! common level, but no less than its floor as far as it has demand for it, and no more than its demand or its ceiling.
//! The level is the largest at which the shares fit (water-filling; Bertsekas and Gallager, Data Networks, section
//! 6.5.2).

use crate::terms::Terms;

/// Thousandths in one connection.
const MILLI: u64 = 1_000;
/// Levels are integers in units of a thousandth of a connection divided by this, so that rounding them is negligible.
const LEVEL_SCALE: u128 = 1 << 20;

/// The terms and the demand of a tenant class, from which its share is computed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    /// The terms of the tenant class at the group.
    pub terms: Terms,
    /// Connections that the tenant class demands now, thousandths.
    pub demand_milli: u64,
}

impl Claim {
    /// Its demand, limited by its ceiling; thousandths of a connection.
    pub(crate) fn usable_milli(&self) -> u64 {
        let ceiling = self.terms.ceiling.map_or(u64::MAX, |ceiling| u64::from(ceiling) * MILLI);
        self.demand_milli.min(ceiling)
    }
}

/// The share of a tenant class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Connections that the tenant class gets, thousandths.
    pub connections_milli: u64,
    /// Its floor, thousandths of a connection; reduced if there are fewer connections than the sum of all floors.
    pub floor_milli: u64,
    /// The part of the floor that others may use for now, thousandths of a connection: the tenant class has no demand
    /// for it, and its loan allows it.
    pub lent_milli: u64,
}

/// The weight and the bounds of one claim; all but the weight in thousandths of a connection.
struct Bounds {
    weight: u128,
    floor: u64,
    /// The part of the floor for which there is demand: the smallest possible share.
    wanted_floor: u64,
    /// The part of the floor that others may use for now.
    lent: u64,
    /// The demand, limited by the ceiling: the largest possible share.
    usable: u64,
}

impl Bounds {
    fn new(claim: &Claim, floor: u64) -> Bounds {
        let usable = claim.usable_milli();
        let wanted_floor = floor.min(usable);
        let max_lent = claim.terms.loan.map_or(0, |loan| u64::from(loan.max_connections) * MILLI);
        let lent = (floor - wanted_floor).min(max_lent);
        Bounds { weight: u128::from(claim.terms.weight), floor, wanted_floor, lent, usable }
    }

    /// The part of the floor that stays unused: there is no demand for it, and it may not be lent.
    fn reserved(&self) -> u64 {
        self.floor - self.wanted_floor - self.lent
    }

    fn share_at(&self, level: u128) -> u64 {
        let share = level.saturating_mul(self.weight) / LEVEL_SCALE;
        let max = self.usable.max(self.wanted_floor);
        u64::try_from(share).unwrap_or(u64::MAX).clamp(self.wanted_floor, max)
    }
}

/// Divides `connections` among the claims; the shares are in the order of the claims. Their sum is at most
/// `connections`. It is less than both `connections` and the sum of the demands within ceilings only because of floors
/// that may not be lent, of claims with weight 0, and of less than a thousandth of a connection per claim.
pub fn max_min_shares(connections: u64, claims: &[Claim]) -> Vec<Share> {
    let total = connections.saturating_mul(MILLI);
    let floors = floors_within(total, claims);
    let bounds: Vec<Bounds> =
        claims.iter().zip(floors).map(|(claim, floor)| Bounds::new(claim, floor)).collect();
    let available = total.saturating_sub(bounds.iter().map(Bounds::reserved).sum());
    let level = largest_level(total, available, &bounds);
    let mut shares: Vec<Share> = (bounds.iter())
        .map(|bounds| Share {
            connections_milli: bounds.share_at(level),
            floor_milli: bounds.floor,
            lent_milli: bounds.lent,
        })
        .collect();
    // Rounding down leaves less than a thousandth per claim; the first claims that can use one more get one each.
    let mut rest = available.saturating_sub(shares.iter().map(|share| share.connections_milli).sum());
    for (share, bounds) in shares.iter_mut().zip(&bounds) {
        if rest > 0 && share.connections_milli < bounds.usable && bounds.weight > 0 {
            share.connections_milli += 1;
            rest -= 1;
        }
    }
    shares
}

/// The largest level at which the shares fit into `available`. Found by bisection, as the sum of the shares never falls
/// when the level rises.
fn largest_level(total: u64, available: u64, bounds: &[Bounds]) -> u128 {
    let sum = |level: u128| bounds.iter().map(|bounds| u128::from(bounds.share_at(level))).sum::<u128>();
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

/// The floors in thousandths of a connection, reduced until they fit into `total`: those with the highest shed order
/// first, and those of the same shed order in proportion.
fn floors_within(total: u64, claims: &[Claim]) -> Vec<u64> {
    let mut floors: Vec<u64> = claims.iter().map(|claim| u64::from(claim.terms.floor) * MILLI).collect();
    let mut excess = floors.iter().sum::<u64>().saturating_sub(total);
    let mut orders: Vec<u8> = claims.iter().map(|claim| claim.terms.shed_order).collect();
    orders.sort_unstable_by(|a, b| b.cmp(a));
    orders.dedup();
    for order in orders {
        if excess == 0 {
            break;
        }
        let has_order = |index: &usize| claims[*index].terms.shed_order == order;
        let indices: Vec<usize> = (0..claims.len()).filter(has_order).collect();
        let sum: u64 = indices.iter().map(|index| floors[*index]).sum();
        let shed = excess.min(sum);
        for index in indices {
            // Rounded up, so that the reductions add up to at least `shed`.
            let reduction = (u128::from(floors[index]) * u128::from(shed)).div_ceil(u128::from(sum.max(1)));
            floors[index] -= u64::try_from(reduction).unwrap_or(u64::MAX).min(floors[index]);
        }
        excess -= shed;
    }
    floors
}
