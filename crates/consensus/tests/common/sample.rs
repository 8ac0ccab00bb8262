//! Sample rules and a small fleet of keepers whose stored record is the same at each run.
#![allow(dead_code, reason = "each test file uses a part")]

use frostgauge_connection_budget::{
    Budget, Condition, Demand, GatewayReport, Loan, Policy, Rule, Selector, TenantClass, TermOverrides,
    MAX_CONNECTIONS_PER_SERVER,
};
use frostgauge_consensus::{
    Class, GatewayId, LeaseRequest, Message, Plan, Proposal, Replica, Rules, Server, ServerState, Tenant,
    Timing, TimingSettings, RULES_FORMAT,
};
use frostgauge_storage::Disk;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::Path;

pub const KEEPERS: [GatewayId; 3] = [1, 2, 3];
const SEED: u64 = 0x5eed;
/// The gateway that is retired at the end.
pub const RETIRED: GatewayId = 5;

fn set<const N: usize>(names: [&str; N]) -> BTreeSet<String> {
    names.map(str::to_owned).into()
}

fn map<V, const N: usize>(entries: [(&str, V); N]) -> BTreeMap<String, V> {
    entries.map(|(name, value)| (name.to_owned(), value)).into()
}

/// One condition of each kind.
pub fn conditions() -> BTreeMap<String, Condition> {
    let zone_dark =
        Condition::ZoneUnavailable { zone: "north".into(), begin_after_ms: 2_000, end_after_ms: 3_000 };
    let use_over = Condition::UsageAbove {
        budget: "rest".into(),
        percent: 80,
        begin_after_ms: 1_000,
        end_below_percent: 60,
        end_after_ms: 5_000,
    };
    map([
        ("alone", Condition::QuorumUnreachable { begin_after_ms: 4_000, end_after_ms: 6_000 }),
        ("busy", use_over),
        ("dark", zone_dark),
        ("night", Condition::TimeOfDay { from_minute: 1_320, to_minute: 360 }),
    ])
}

fn policy() -> Policy {
    let north = Budget {
        zone: Some("north".into()),
        connections: 12,
        idle_ms: 20_000,
        attempt_ms: 15_000,
        rotation_ms: 2_000,
    };
    let rest = Budget { zone: None, connections: MAX_CONNECTIONS_PER_SERVER, ..north.clone() };
    let floor = Rule {
        name: "floor of sul".into(),
        select: Selector { tenants: set(["sul"]), zones: set(["north"]), ..Selector::default() },
        when: BTreeSet::new(),
        overrides: TermOverrides {
            floor: Some(6),
            weight: Some(3),
            ceiling: Some(9),
            shed_order: Some(1),
            loan: Some(Loan { max_connections: 1, recall_ms: 60_000 }),
            fallback: Some(5),
        },
    };
    let night = Rule {
        name: "large plans at night".into(),
        select: Selector { plans: set(["large"]), classes: set(["report"]), ..Selector::default() },
        when: set(["night", "!dark"]),
        overrides: TermOverrides { weight: Some(2), ..TermOverrides::default() },
    };
    Policy {
        budgets: map([("north", north), ("rest", rest)]),
        conditions: conditions(),
        rules: vec![floor, night],
    }
}

/// Rules that use every field.
pub fn first_rules() -> Rules {
    let read = Class { cost_milli: 1_000, repeatable: true, on_fallback: true };
    let report = Class { cost_milli: 2_500, repeatable: false, on_fallback: false };
    let small = Plan { rate_milli: 50_000, ceiling_milli: None };
    let large = Plan { rate_milli: 300_000, ceiling_milli: Some(400_000) };
    let norte = Tenant { plan: "small".into(), classes: set(["read"]), floor_milli: 500 };
    let sul = Tenant { plan: "large".into(), classes: set(["read", "report"]), floor_milli: 1_000 };
    let server = |address: &str, state, zone: &str| Server {
        address: address.to_owned(),
        state,
        zone: zone.to_owned(),
    };
    Rules {
        format: RULES_FORMAT,
        classes: map([("read", read), ("report", report)]),
        plans: map([("large", large), ("small", small)]),
        tenants: map([("norte", norte), ("sul", sul)]),
        servers: map([
            ("a", server("10.0.0.1:80", ServerState::Ready, "north")),
            ("b", server("10.0.0.2:80", ServerState::Draining, "north")),
            ("c", server("10.0.0.3:80", ServerState::Ready, "")),
        ]),
        gateways: (1..=RETIRED).collect(),
        budgets: policy(),
    }
}

/// The same with a larger small plan.
pub fn rules_with_rate(rate_milli: u64) -> Rules {
    let mut rules = first_rules();
    rules.plans.insert("small".into(), Plan { rate_milli, ceiling_milli: None });
    rules
}

pub fn proposal(id: u64, base: u64, rate_milli: u64) -> Proposal {
    let (author, reason) = (format!("author {id}"), format!("small plan at {rate_milli}"));
    Proposal {
        id,
        base_version: base,
        author,
        reason,
        time_ms: 1_800_000_000_000 + id,
        rules: rules_with_rate(rate_milli),
    }
}

pub fn tuning() -> Timing {
    let settings =
        TimingSettings { within_ms: 300, confirm_ms: 100, canary_ms: 1_000, ..TimingSettings::default() };
    settings.timing().expect("settings without faults")
}

/// Three keepers, each with its folder, and messages that arrive at once and in order.
pub struct Fleet {
    now: u64,
    keepers: BTreeMap<GatewayId, Replica<Disk>>,
    tuning: Timing,
    questions: u64,
    stands: u64,
}

impl Fleet {
    /// Founds the record in a folder for each keeper, and starts them.
    pub fn found(folder: &Path) -> Fleet {
        let peers = BTreeSet::from(KEEPERS);
        let open = |me: GatewayId| {
            let disk = Disk::open_exclusive(&folder.join(me.to_string())).expect("a folder for the keeper");
            let disk = Replica::bootstrap(disk, &peers, first_rules(), 0, SEED).expect("a new record");
            let keeper = Replica::open(0, me, disk, &peers, 100 + u64::from(me), tuning());
            (me, keeper.expect("a keeper"))
        };
        let keepers = KEEPERS.map(open).into();
        Fleet { now: 0, keepers, tuning: tuning(), questions: 0, stands: 1 }
    }

    /// Time passes; gateways ask for leases on the way.
    pub fn run(&mut self, ticks: u64) {
        for tick in 0..ticks {
            self.now += self.tuning.tick;
            for keeper in self.keepers.values_mut() {
                keeper.advance(self.now).expect("a disk that works");
            }
            if tick % 8 == 0 {
                [2, 4].into_iter().for_each(|gateway| self.ask(gateway));
            }
            self.deliver();
        }
    }

    /// Gateways say from now on that they stand on this version.
    pub fn stand_on(&mut self, version: u64) {
        self.stands = version;
    }

    /// An editor's or operator's message to the keeper that leads.
    pub fn tell_leader(&mut self, message: Message) {
        let leader = self.keepers.values_mut().find(|keeper| keeper.is_leader()).expect("a leader");
        leader.handle(self.now, 4, message).expect("a disk that works");
        self.deliver();
    }

    fn ask(&mut self, gateway: GatewayId) {
        self.questions += 1;
        let holder = TenantClass { tenant: "sul".into(), class: None };
        let want = Demand { peak: 4, mean_milli: 2_500 };
        let report = GatewayReport {
            demand: vec![("north".into(), holder, want)],
            group_peaks: vec![("north".into(), 4)],
            ..GatewayReport::default()
        };
        let ask = LeaseRequest {
            incarnation: 1_000 + u64::from(gateway),
            sequence: self.questions,
            narrowed: None,
            fallback_version: self.stands,
            known_versions: BTreeSet::from([self.stands]),
            canary_report: None,
            permits: Some(report),
        };
        for keeper in self.keepers.values_mut() {
            keeper.handle(self.now, gateway, Message::LeaseRequest(ask.clone())).expect("a disk that works");
        }
    }

    fn deliver(&mut self) {
        let mut queue = VecDeque::new();
        loop {
            for (me, keeper) in &mut self.keepers {
                let sent = keeper.flush().expect("a disk that works");
                queue.extend(sent.into_iter().map(|(to, message)| (*me, to, message)));
            }
            let Some((from, to, message)) = queue.pop_front() else { return };
            // What is for gateways and editors goes nowhere.
            let between_keepers = matches!(message, Message::Paxos { .. });
            if let Some(keeper) = self.keepers.get_mut(&to).filter(|_| between_keepers) {
                keeper.handle(self.now, from, message).expect("a disk that works");
            }
        }
    }
}
