//! One round of allocation at one group of servers: computes how many permits each gateway should hold.
//!
//! Fallback permits are allocated first. Tenant classes get the shares that [`max_min_shares`] computes; each share is
//! divided over the gateways by their demand, and a [`FairRotation`] turns the parts into whole connections.

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

/// Thousandths in one connection.
const MILLI: u64 = 1_000;

/// Length of a turn, rounds. Moving a permit to another gateway takes one of them, for the recall, its acknowledgement
/// and the grant; in the others the permit is in use.
const TURN_ROUNDS: u64 = 6;

/// Shares of gateways in thousandths of a connection, by tenant class; none: those of all tenants together, at the
/// servers.
type GatewayShares = BTreeMap<Option<TenantClass>, BTreeMap<GatewayId, u64>>;

/// The state of a group's rotations: one among the tenant classes, and one among the gateways for each tenant class.
#[derive(Clone, Debug)]
pub(crate) struct GroupRotation {
    /// Time at which the group's next round is due, microseconds.
    pub next_round_at: u64,
    tenants: FairRotation<TenantClass>,
    /// By tenant class; none: the rotation of the shares of all tenants together.
    gateways: BTreeMap<Option<TenantClass>, FairRotation<GatewayId>>,
}

impl Default for GroupRotation {
    fn default() -> GroupRotation {
        let tenants = FairRotation::with_turn_rounds(TURN_ROUNDS);
        GroupRotation { next_round_at: 0, tenants, gateways: BTreeMap::new() }
    }
}

/// The permits that each gateway should hold at a group.
#[derive(Debug, Default)]
pub(crate) struct GroupTargets {
    /// Permits of each tenant class.
    pub tenants: BTreeMap<TenantClass, BTreeMap<GatewayId, PermitTarget>>,
    /// Permits over all servers of the group together.
    pub servers: BTreeMap<GatewayId, PermitTarget>,
    /// Whether some tenant class gets less than it could use.
    pub scarce: bool,
    /// Sum of the fallback permits of all tenant classes.
    fallback: u64,
    /// Thousandths of a connection reserved for their tenant class: the part of its floor that is neither demanded nor
    /// lent, or its fallback permits if they are more.
    reserved_milli: u64,
}

/// The data of a tenant class in a round.
struct TenantRound<'a> {
    tenant_class: &'a TenantClass,
    share: Share,
    /// Its average demand, limited by its ceiling; thousandths of a connection.
    usable_milli: u64,
    demand: Option<&'a BTreeMap<GatewayId, Demand>>,
    /// Its fallback permits by gateway.
    fallback: BTreeMap<GatewayId, u32>,
    /// Whether the tenant class has fewer permits than its floor.
    below_floor: bool,
}

impl TenantRound<'_> {
    /// Sum of its fallback permits over all gateways.
    fn fallback(&self) -> u64 {
        self.fallback.values().map(|count| u64::from(*count)).sum()
    }

    /// Thousandths of a connection that no other tenant class may use.
    fn reserved_milli(&self) -> u64 {
        let Share { floor_milli, lent_milli, .. } = self.share;
        let unused_floor = floor_milli - floor_milli.min(self.usable_milli) - lent_milli;
        unused_floor.max(self.fallback() * MILLI)
    }

    fn demand(&self) -> impl Iterator<Item = (&GatewayId, &Demand)> {
        self.demand.into_iter().flatten()
    }
}

/// A round of allocation at one group.
pub(crate) struct GroupRound<'a> {
    /// The data from which all groups are allocated.
    pub input: AllocationInput<'a>,
    /// Name of the group's budget.
    pub group: &'a str,
    /// Sum of the capacities of the group's servers in the ledger.
    pub connections: u64,
    /// Number of the round, which varies the gateways that get remainders.
    pub round_number: u64,
}

impl<'a> GroupRound<'a> {
    /// Computes the permits that each gateway should hold from this round on.
    pub fn targets(&self, rotation: &mut GroupRotation) -> GroupTargets {
        let demand = self.input.demand.get(self.group);
        let (tenants, scarce) = self.tenants(demand);
        let mut targets = GroupTargets { scarce, ..GroupTargets::default() };
        let mut shares = GatewayShares::new();
        for tenant in &tenants {
            targets.add_fallback(tenant);
            let unmet = targets.add_demand(tenant);
            // Fallback permits count towards the share whether they are in use or not.
            let available = tenant.share.connections_milli.saturating_sub(tenant.fallback() * MILLI);
            let by_gateway = fill_evenly(available, unmet, self.round_number);
            if !by_gateway.is_empty() {
                let key = Some(tenant.tenant_class.clone());
                shares.insert(key, by_gateway.into_iter().collect());
            }
        }
        if !scarce {
            shares.insert(None, self.shares_at_servers(demand, &targets));
        }
        self.rotate(rotation, shares, &mut targets);
        targets
    }

    /// The tenant classes of the group with their shares, and whether some of them get less than they could use.
    fn tenants(&self, demand: Option<&'a GroupDemand>) -> (Vec<TenantRound<'a>>, bool) {
        let AllocationInput { policy, active_conditions, fleet, ledger, .. } = self.input;
        let terms: Vec<(&TenantClass, Terms)> = policy.terms(self.group, active_conditions).collect();
        let demand_of =
            |tenant_class: &TenantClass| demand.and_then(|demand| demand.by_tenant.get(tenant_class));
        let claims: Vec<Claim> = (terms.iter())
            .map(|(tenant_class, terms)| {
                let demand = demand_of(tenant_class).into_iter().flat_map(BTreeMap::values);
                Claim { terms: *terms, demand_milli: demand.map(|demand| demand.mean_milli).sum() }
            })
            .collect();
        let shares = max_min_shares(self.connections, &claims);
        // Claims are averages: if only the peaks together exceed the connections, nothing is scarce, and the peaks are
        // served in turn.
        let scarce =
            (claims.iter().zip(&shares)).any(|(claim, share)| share.connections_milli < claim.usable_milli());
        let unreachable = with_quorum_unreachable(policy, active_conditions);
        let fallback: BTreeMap<&TenantClass, u32> = (policy.terms(self.group, &unreachable))
            .map(|(tenant_class, terms)| (tenant_class, terms.fallback))
            .collect();
        let tenants =
            terms.iter().zip(claims.iter().zip(shares)).map(|((tenant_class, _), (claim, share))| {
                let fallback = u64::from(fallback.get(tenant_class).copied().unwrap_or(0));
                let fallback = fallback.min(share.floor_milli / MILLI);
                // A tenant class below its floor is served before those that use what it lends.
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

    /// Shares of the gateways at the servers if connections are not scarce: the peak of each gateway beyond its
    /// fallback permits, as far as the connections suffice; thousandths of a connection.
    fn shares_at_servers(
        &self,
        demand: Option<&GroupDemand>,
        targets: &GroupTargets,
    ) -> BTreeMap<GatewayId, u64> {
        let fallback = |gateway: &GatewayId| targets.servers.get(gateway).map_or(0, |target| target.fallback);
        let unmet = (demand.into_iter().flat_map(|demand| &demand.peak_by_gateway))
            .map(|(gateway, peak)| (*gateway, u64::from(peak.saturating_sub(fallback(gateway))) * MILLI))
            .filter(|(_, milli)| *milli > 0);
        let available = (self.connections * MILLI).saturating_sub(targets.reserved_milli);
        fill_evenly(available, unmet.collect(), self.round_number).into_iter().collect()
    }

    /// Turns the shares into whole connections by rotation, and adds these to the targets.
    fn rotate(&self, rotation: &mut GroupRotation, shares: GatewayShares, targets: &mut GroupTargets) {
        let available = self.connections.saturating_sub(targets.fallback);
        let by_tenant: BTreeMap<TenantClass, u64> = (shares.iter())
            .filter_map(|(tenant, shares)| Some((tenant.clone()?, shares.values().sum())))
            .collect();
        let whole = rotation.tenants.next_round(&by_tenant, available);
        rotation.gateways.retain(|tenant, _| shares.contains_key(tenant));
        for (tenant, shares) in shares {
            let gateways = rotation.gateways.entry(tenant.clone());
            let gateways = gateways.or_insert_with(|| FairRotation::with_turn_rounds(TURN_ROUNDS));
            let allocated = match &tenant {
                Some(tenant) => gateways.allocate(&shares, whole.get(tenant).copied().unwrap_or(0)),
                None => gateways.next_round(&shares, available),
            };
            for (gateway, count) in allocated {
                let count = u32::try_from(count).unwrap_or(u32::MAX);
                targets.add_allocated(tenant.as_ref(), gateway, count, gateways.turn_end(&gateway));
            }
        }
    }
}

impl GroupTargets {
    /// Adds the fallback permits of a tenant class, and what is reserved for it.
    fn add_fallback(&mut self, tenant: &TenantRound<'_>) {
        self.fallback += tenant.fallback();
        self.reserved_milli += tenant.reserved_milli();
        let by_gateway = self.tenants.entry(tenant.tenant_class.clone()).or_default();
        for (gateway, count) in &tenant.fallback {
            let target = PermitTarget {
                count: *count,
                fallback: *count,
                below_floor: tenant.below_floor,
                turn_end: 0,
            };
            by_gateway.insert(*gateway, target);
            let at_servers = self.servers.entry(*gateway).or_default();
            at_servers.count += count;
            at_servers.fallback += count;
        }
    }

    /// Sets the targets of a tenant class to the peaks of its demand, if connections are not scarce. If they are,
    /// returns the average demand beyond the fallback permits, thousandths of a connection by gateway, for the
    /// rotation.
    fn add_demand(&mut self, tenant: &TenantRound<'_>) -> Vec<(GatewayId, u64)> {
        let by_gateway = self.tenants.entry(tenant.tenant_class.clone()).or_default();
        let mut unmet = vec![];
        for (gateway, demand) in tenant.demand() {
            let target = by_gateway.entry(*gateway).or_default();
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

    /// Adds allocated connections to a gateway's targets at the servers and, if they are of one tenant class, to that
    /// of the tenant class. A gateway with several turns keeps the earliest end.
    fn add_allocated(&mut self, tenant: Option<&TenantClass>, gateway: GatewayId, count: u32, turn_end: u64) {
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

/// The active conditions together with the policy's conditions on an unreachable quorum, as a gateway that is cut off
/// evaluates them; they decide on the fallback permits.
fn with_quorum_unreachable(policy: &CompiledPolicy, active: &BTreeSet<String>) -> BTreeSet<String> {
    let conditions = &policy.policy().conditions;
    let is_unreachable = |condition: &Condition| matches!(condition, Condition::QuorumUnreachable { .. });
    let unreachable = conditions.iter().filter(|(_, condition)| is_unreachable(condition));
    active.iter().chain(unreachable.map(|(name, _)| name)).cloned().collect()
}
