//! One round of allocation at one group of servers: how many permits each gateway should hold.
//!
//! Tenants' shares come from [`max_min_shares`], each tenant's share is divided over its gateways by their demand, and whole
//! connections go round by [`FairRotation`]. Fallback permits come before both.

use crate::allocator::{AllocationInput, GroupDemand};
use crate::compiled_policy::CompiledPolicy;
use crate::fair_rotation::FairRotation;
use crate::max_min::{max_min_shares, Claim, Share};
use crate::planner::PermitTarget;
use crate::policy::Condition;
use crate::report::Demand;
use crate::scope::{BudgetScope, GatewayId};
use crate::spreading::{fill_evenly, spread_evenly};
use crate::tenant_class::TenantClass;
use crate::terms::Terms;
use std::collections::{BTreeMap, BTreeSet};

/// Thousandths of one connection.
const MILLI: u64 = 1_000;

/// Rounds that a turn lasts: a permit changes hands within one (it is recalled, acknowledged, granted), and is used for
/// the others.
const TURN_ROUNDS: u64 = 6;

/// Shares of gateways in thousandths, by tenant; none: all tenants of a gateway together.
type GatewayShares = BTreeMap<Option<TenantClass>, BTreeMap<GatewayId, u64>>;

/// Whose turn it is at a group: first of the tenants, then of each tenant's gateways.
#[derive(Clone, Debug)]
pub(crate) struct GroupRotation {
    /// When the group's next round is due, microseconds.
    pub next_round_at: u64,
    tenants: FairRotation<TenantClass>,
    gateways: BTreeMap<Option<TenantClass>, FairRotation<GatewayId>>,
}

impl Default for GroupRotation {
    fn default() -> GroupRotation {
        let tenants = FairRotation::with_turn_rounds(TURN_ROUNDS);
        GroupRotation { next_round_at: 0, tenants, gateways: BTreeMap::new() }
    }
}

/// What each gateway should hold at a group.
#[derive(Debug, Default)]
pub(crate) struct GroupTargets {
    /// Of each tenant's permits.
    pub tenants: BTreeMap<TenantClass, BTreeMap<GatewayId, PermitTarget>>,
    /// At all servers of the group together.
    pub servers: BTreeMap<GatewayId, PermitTarget>,
    /// Some tenant gets less than it could use.
    pub scarce: bool,
    /// Permits kept for use without a lease.
    fallback: u64,
    /// Thousandths that nobody else may have: floors neither wanted nor lent, and fallback permits.
    reserved_milli: u64,
}

/// A tenant in a round.
struct TenantRound<'a> {
    tenant_class: &'a TenantClass,
    share: Share,
    /// What it could use, thousandths.
    usable_milli: u64,
    demand: Option<&'a BTreeMap<GatewayId, Demand>>,
    fallback: BTreeMap<GatewayId, u32>,
    below_floor: bool,
}

impl TenantRound<'_> {
    fn fallback(&self) -> u64 {
        self.fallback.values().map(|count| u64::from(*count)).sum()
    }

    fn reserved_milli(&self) -> u64 {
        let Share { floor_milli, lent_milli, .. } = self.share;
        let unused = floor_milli - floor_milli.min(self.usable_milli) - lent_milli;
        unused.max(self.fallback() * MILLI)
    }

    fn demand(&self) -> impl Iterator<Item = (&GatewayId, &Demand)> {
        self.demand.into_iter().flatten()
    }
}

/// A round at one group.
pub(crate) struct GroupRound<'a> {
    /// What all groups are allocated from.
    pub input: AllocationInput<'a>,
    /// The group.
    pub group: &'a str,
    /// Connections of the group's servers.
    pub connections: u64,
    /// Number of the round.
    pub number: u64,
}

impl<'a> GroupRound<'a> {
    /// What each gateway should hold from this round on.
    pub fn targets(&self, rotation: &mut GroupRotation) -> GroupTargets {
        let demand = self.input.demand.get(self.group);
        let (tenants, scarce) = self.tenants(demand);
        let mut targets = GroupTargets { scarce, ..GroupTargets::default() };
        let mut shares = GatewayShares::new();
        for tenant in &tenants {
            targets.add_fallback(tenant);
            let unmet = targets.add_demand(tenant);
            // Fallback permits are a tenant's own whether it uses them or not.
            let available = tenant.share.connections_milli.saturating_sub(tenant.fallback() * MILLI);
            let of_gateways = fill_evenly(available, unmet, self.number);
            if !of_gateways.is_empty() {
                let key = Some(tenant.tenant_class.clone());
                shares.insert(key, of_gateways.into_iter().collect());
            }
        }
        if !scarce {
            shares.insert(None, self.shares_at_servers(demand, &targets));
        }
        self.rotate(rotation, shares, &mut targets);
        targets
    }

    /// The tenants of the group with their shares, and whether some get less than they could use.
    fn tenants(&self, demand: Option<&'a GroupDemand>) -> (Vec<TenantRound<'a>>, bool) {
        let AllocationInput { policy, active_conditions, fleet, ledger, .. } = self.input;
        let terms: Vec<(&TenantClass, Terms)> = policy.terms(self.group, active_conditions).collect();
        let demand_of = |tenant_class: &TenantClass| demand.and_then(|d| d.by_tenant.get(tenant_class));
        let claims: Vec<Claim> = (terms.iter())
            .map(|(tenant_class, terms)| {
                let demand = demand_of(tenant_class).into_iter().flat_map(BTreeMap::values);
                Claim { terms: *terms, demand_milli: demand.map(|d| d.mean_milli).sum() }
            })
            .collect();
        let shares = max_min_shares(self.connections, &claims);
        // By averages: what all want at the same time, and only then, they have in turn.
        let scarce = claims.iter().zip(&shares).any(|(claim, share)| share.connections_milli < claim.usable_milli());
        let unreachable = with_quorum_unreachable(policy, active_conditions);
        let fallback: BTreeMap<&TenantClass, u32> =
            policy.terms(self.group, &unreachable).map(|(t, terms)| (t, terms.fallback)).collect();
        let tenants =
            terms.iter().zip(claims.iter().zip(shares)).map(|((tenant_class, _), (claim, share))| {
                let fallback = u64::from(fallback.get(tenant_class).copied().unwrap_or(0));
                let fallback = fallback.min(share.floor_milli / MILLI);
                // Under its floor it is served before those who have what was lent.
                let permits = ledger.permits_at(&BudgetScope::tenant(self.group, tenant_class));
                let held: u64 = permits.map(|(_, permits)| u64::from(permits.target)).sum();
                TenantRound {
                    tenant_class,
                    share,
                    usable_milli: claim.usable_milli(),
                    demand: demand_of(tenant_class),
                    fallback: spread_evenly(tenant_class, fallback, fleet),
                    below_floor: held * MILLI < share.floor_milli,
                }
            });
        (tenants.collect(), scarce)
    }

    /// Where there is enough on average, each gateway has what it uses at its peak, as far as that goes.
    fn shares_at_servers(
        &self,
        demand: Option<&GroupDemand>,
        targets: &GroupTargets,
    ) -> BTreeMap<GatewayId, u64> {
        let fallback = |gateway: &GatewayId| targets.servers.get(gateway).map_or(0, |t| t.fallback);
        let unmet = (demand.into_iter().flat_map(|d| &d.peak_by_gateway))
            .map(|(gateway, peak)| (*gateway, u64::from(peak.saturating_sub(fallback(gateway))) * MILLI))
            .filter(|(_, milli)| *milli > 0);
        let available = (self.connections * MILLI).saturating_sub(targets.reserved_milli);
        fill_evenly(available, unmet.collect(), self.number).into_iter().collect()
    }

    /// Adds whole connections of the shares, in turn.
    fn rotate(&self, rotation: &mut GroupRotation, shares: GatewayShares, targets: &mut GroupTargets) {
        let available = self.connections.saturating_sub(targets.fallback);
        let by_tenant: BTreeMap<TenantClass, u64> = (shares.iter())
            .filter_map(|(tenant, shares)| Some((tenant.clone()?, shares.values().sum())))
            .collect();
        let whole = rotation.tenants.next_round(&by_tenant, available);
        rotation.gateways.retain(|tenant, _| shares.contains_key(tenant));
        for (tenant, shares) in shares {
            let turns = rotation.gateways.entry(tenant.clone());
            let turns = turns.or_insert_with(|| FairRotation::with_turn_rounds(TURN_ROUNDS));
            let allocated = match &tenant {
                Some(tenant) => turns.allocate(&shares, whole.get(tenant).copied().unwrap_or(0)),
                None => turns.next_round(&shares, available),
            };
            for (gateway, count) in allocated {
                let count = u32::try_from(count).unwrap_or(u32::MAX);
                targets.add_turn(tenant.as_ref(), gateway, count, turns.turn_end(&gateway));
            }
        }
    }
}

impl GroupTargets {
    fn add_fallback(&mut self, tenant: &TenantRound<'_>) {
        self.fallback += tenant.fallback();
        self.reserved_milli += tenant.reserved_milli();
        let of_tenant = self.tenants.entry(tenant.tenant_class.clone()).or_default();
        for (gateway, count) in &tenant.fallback {
            let target = PermitTarget {
                count: *count,
                fallback: *count,
                below_floor: tenant.below_floor,
                turn_end: 0,
            };
            of_tenant.insert(*gateway, target);
            let at_servers = self.servers.entry(*gateway).or_default();
            at_servers.count += count;
            at_servers.fallback += count;
        }
    }

    /// Adds what gateways want of a tenant's permits where there is enough for all; returns what is to be rotated where
    /// there is not, thousandths by gateway.
    fn add_demand(&mut self, tenant: &TenantRound<'_>) -> Vec<(GatewayId, u64)> {
        let of_tenant = self.tenants.entry(tenant.tenant_class.clone()).or_default();
        let mut unmet = vec![];
        for (gateway, demand) in tenant.demand() {
            let target = of_tenant.entry(*gateway).or_default();
            target.below_floor = tenant.below_floor;
            if self.scarce {
                let met = (u64::from(target.fallback) * MILLI).min(demand.mean_milli);
                unmet.push((*gateway, demand.mean_milli - met));
            } else {
                target.count = target.count.max(demand.peak);
            }
            self.servers.entry(*gateway).or_default().below_floor |= tenant.below_floor;
        }
        unmet.retain(|(_, milli)| *milli > 0);
        unmet
    }

    fn add_turn(&mut self, tenant: Option<&TenantClass>, gateway: GatewayId, count: u32, turn_end: u64) {
        let add = |target: &mut PermitTarget| {
            target.count += count;
            target.turn_end = if target.turn_end == 0 { turn_end } else { target.turn_end.min(turn_end) };
        };
        add(self.servers.entry(gateway).or_default());
        if let Some(tenant) = tenant {
            add(self.tenants.entry(tenant.clone()).or_default().entry(gateway).or_default());
        }
    }
}

/// The conditions that are active where the quorum cannot be reached.
fn with_quorum_unreachable(policy: &CompiledPolicy, active: &BTreeSet<String>) -> BTreeSet<String> {
    let conditions = &policy.policy().conditions;
    let unreachable = conditions.iter().filter(|(_, c)| matches!(c, Condition::QuorumUnreachable { .. }));
    active.iter().chain(unreachable.map(|(name, _)| name)).cloned().collect()
}
