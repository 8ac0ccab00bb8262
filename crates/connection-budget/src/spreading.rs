//! Divides a number of connections over gateways as evenly as possible, with the same result in every process.

use crate::scope::GatewayId;
use crate::tenant_class::TenantClass;
use std::collections::{BTreeMap, BTreeSet};

/// Offset basis of FNV-1a, 64 bit.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of FNV-1a, 64 bit.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Multiplier of the final mixing step, from splitmix64.
const MIX: u64 = 0xbf58_476d_1ce4_e5b9;

/// Divides `count` permits of a tenant class evenly over the gateways of a fleet. The remainder goes one permit each to
/// gateways chosen by a hash of the tenant class and the gateway, so the choice does not change from round to round.
pub fn spread_evenly(
    tenant_class: &TenantClass,
    count: u64,
    fleet: &BTreeSet<GatewayId>,
) -> BTreeMap<GatewayId, u32> {
    let gateways = fleet.len() as u64;
    if count == 0 || gateways == 0 {
        return BTreeMap::new();
    }
    let (each, rest) = (count / gateways, (count % gateways) as usize);
    let mut by_hash: Vec<(u64, GatewayId)> =
        fleet.iter().map(|gateway| (placement_hash(tenant_class, *gateway), *gateway)).collect();
    by_hash.sort_unstable();
    let share = |rank: usize| u32::try_from(each + u64::from(rank < rest)).unwrap_or(u32::MAX);
    let shares = by_hash.into_iter().enumerate().map(|(rank, (_, gateway))| (gateway, share(rank)));
    shares.filter(|(_, count)| *count > 0).collect()
}

/// A hash of a tenant class and a gateway, the same in every process.
fn placement_hash(tenant_class: &TenantClass, gateway: GatewayId) -> u64 {
    let class = tenant_class.class.as_deref().unwrap_or("");
    let bytes = tenant_class.tenant.bytes().chain([0]).chain(class.bytes()).chain(gateway.to_be_bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    (hash ^ (hash >> 29)).wrapping_mul(MIX)
}

/// Divides thousandths of a connection over gateways: each gets an equal share, or its demand if that is less.
/// Thousandths that do not divide evenly go to different gateways each round.
pub fn fill_evenly(
    available_milli: u64,
    mut demand_milli: Vec<(GatewayId, u64)>,
    round: u64,
) -> Vec<(GatewayId, u64)> {
    demand_milli.sort_unstable_by_key(|(gateway, demand)| (*demand, *gateway));
    let (mut left, mut count) = (available_milli, demand_milli.len() as u64);
    let mut shares = vec![];
    for (index, (gateway, demand)) in demand_milli.iter().enumerate() {
        let each = left / count;
        if *demand > each {
            // Every gateway from here on demands more than an equal share.
            let rest = left % count;
            let start = round % count;
            for (offset, (gateway, demand)) in demand_milli[index..].iter().enumerate() {
                let rank = (offset as u64 + count - start) % count;
                shares.push((*gateway, (each + u64::from(rank < rest)).min(*demand)));
            }
            break;
        }
        shares.push((*gateway, *demand));
        left -= demand;
        count -= 1;
    }
    shares.retain(|(_, share)| *share > 0);
    shares
}
