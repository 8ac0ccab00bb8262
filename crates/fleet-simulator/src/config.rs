//! What a simulated fleet is built from.

use crate::injected_bug::InjectedBug;
use frostgauge_connection_budget::{Budget, Loan, Policy, Rule, Selector, TermOverrides};
use frostgauge_consensus::{Class, Plan, Rules, Server, ServerState, Tenant, TimingSettings, RULES_FORMAT};
use std::collections::BTreeSet;

/// A server closes a connection that was idle for so long, microseconds.
pub(crate) const IDLE_LIMIT: u64 = 2_000_000;

/// What a simulated fleet is built from.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Gateways, numbered from 1.
    pub gateways: u16,
    /// Voters among them: the first so many.
    pub voters: u16,
    /// Servers, `s1` and on.
    pub servers: u16,
    /// Times of the protocol.
    pub settings: TimingSettings,
    /// Seed of all random choices.
    pub seed: u64,
    /// A bug that is injected.
    pub injected_bug: Option<InjectedBug>,
    /// Whether clients send requests.
    pub traffic: bool,
    /// Connection budget of each server; none: unlimited.
    pub connections: Option<u32>,
    /// Tenants without floors beside the three that are always there.
    pub extra_tenants: u16,
}

impl SimulationConfig {
    /// A fleet of so many gateways, the first few of them voters.
    pub fn fleet(gateways: u16, voters: u16) -> SimulationConfig {
        let settings = TimingSettings::default();
        let (servers, seed, injected_bug, traffic, connections, extra_tenants) = (6, 1, None, true, None, 0);
        SimulationConfig {
            gateways,
            voters,
            servers,
            settings,
            seed,
            injected_bug,
            traffic,
            connections,
            extra_tenants,
        }
    }

    /// The first rules: three tenants with floors, two classes, all servers ready. Quota shares are large enough that
    /// those of hundreds of gateways are whole thousandths of a unit.
    pub fn rules(&self) -> Rules {
        let class = |cost_milli, repeatable| Class { cost_milli, repeatable, on_fallback: true };
        let all: BTreeSet<String> = ["read", "report"].map(str::to_owned).into();
        let n = u64::from(self.gateways);
        let tenant =
            |plan: &str, floor| Tenant { plan: plan.into(), classes: all.clone(), floor_milli: floor };
        let server = |k: u16| {
            let address = format!("10.0.{}.{}:80", k / 250, k % 250 + 1);
            (format!("s{k}"), Server { address, state: ServerState::Ready, zone: String::new() })
        };
        Rules {
            format: RULES_FORMAT,
            classes: [("read".into(), class(1_000, true)), ("report".into(), class(2_000, false))].into(),
            plans: [
                ("small".into(), Plan { rate_milli: 4_000 * n, ceiling_milli: Some(6_000 * n) }),
                ("large".into(), Plan { rate_milli: 8_000 * n, ceiling_milli: None }),
            ]
            .into(),
            tenants: [
                ("norte".into(), tenant("small", 1_000)),
                ("sul".into(), tenant("small", 1_000)),
                ("oeste".into(), tenant("large", 2_000)),
            ]
            .into_iter()
            .chain((1..=self.extra_tenants).map(|k| (format!("t{k}"), tenant("small", 0))))
            .collect(),
            servers: (1..=self.servers).map(server).collect(),
            gateways: (1..=self.gateways).collect(),
            budgets: self.connections.map_or_else(Policy::default, |n| self.budgets(n)),
        }
    }

    /// One budget for all servers: a fifth of it is the floor of each tenant, half of that kept for the fallback rules, and
    /// some of it may be lent.
    fn budgets(&self, connections: u32) -> Policy {
        // No floors where tenants are many: they would not fit.
        let floor = if self.extra_tenants > 0 { 0 } else { connections * u32::from(self.servers) / 5 };
        let budget = Budget {
            zone: None,
            connections,
            idle_ms: IDLE_LIMIT / 1_000,
            attempt_ms: 400,
            rotation_ms: 500,
        };
        let loan = Some(Loan { max_connections: floor / 4, recall_ms: 5_000 });
        let all =
            TermOverrides { floor: Some(floor), fallback: Some(floor / 2), loan, ..TermOverrides::default() };
        let large = TermOverrides { weight: Some(2), ..TermOverrides::default() };
        let select = Selector { plans: ["large".to_owned()].into(), ..Selector::default() };
        Policy {
            budgets: [("all".to_owned(), budget)].into(),
            rules: vec![
                Rule {
                    name: "everyone".into(),
                    select: Selector::default(),
                    when: BTreeSet::new(),
                    overrides: all,
                },
                Rule { name: "large".into(), select, when: BTreeSet::new(), overrides: large },
            ],
            ..Policy::default()
        }
    }
}
