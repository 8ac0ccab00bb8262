//! Bytes of the messages between gateways, compared with recorded ones: one sample of every variant.
//!
//! The codec writes fields and variants by position, so a changed order shows here and nowhere else.

#[path = "../../../tests/common/fixture.rs"]
mod fixture;

use fixture::{assert_recorded, hex, recorded};
use frostgauge_connection_budget::{
    Budget, BudgetScope, Condition, Demand, GatewayReport, LedgerChange, Loan, PermitCounts, PermitGrant,
    Policy, Rule, Selector, TenantClass, TermOverrides,
};
use frostgauge_consensus::*;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::messages::ballot_leader_election as election;
use omnipaxos::messages::sequence_paxos as paxos;
use omnipaxos::util::{LogSync, SequenceNumber};
use std::collections::{BTreeMap, BTreeSet};

const MESSAGES: &str = include_str!("fixtures/messages.txt");

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn map<V>(entries: Vec<(&str, V)>) -> BTreeMap<String, V> {
    entries.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}

fn holder(class: Option<&str>) -> TenantClass {
    TenantClass { tenant: "sul".to_owned(), class: class.map(str::to_owned) }
}

fn conditions() -> BTreeMap<String, Condition> {
    map(vec![
        (
            "a-dark",
            Condition::ZoneUnavailable { zone: "a".to_owned(), begin_after_ms: 1_000, end_after_ms: 2_000 },
        ),
        ("b-alone", Condition::QuorumUnreachable { begin_after_ms: 3_000, end_after_ms: 4_000 }),
        (
            "c-full",
            Condition::UsageAbove {
                budget: "main".to_owned(),
                percent: 90,
                begin_after_ms: 5_000,
                end_below_percent: 70,
                end_after_ms: 6_000,
            },
        ),
        ("d-night", Condition::TimeOfDay { from_minute: 1_320, to_minute: 360 }),
    ])
}

fn policy() -> Policy {
    let budget = |zone: Option<&str>| Budget {
        zone: zone.map(str::to_owned),
        connections: 40,
        idle_ms: 20_000,
        attempt_ms: 30_000,
        rotation_ms: 1_000,
    };
    let rule = Rule {
        name: "floors".to_owned(),
        select: Selector {
            tenants: names(&["sul"]),
            plans: names(&["base"]),
            classes: names(&["read"]),
            zones: names(&["a"]),
        },
        when: names(&["!a-dark"]),
        overrides: TermOverrides {
            floor: Some(4),
            weight: Some(2),
            ceiling: Some(10),
            shed_order: Some(1),
            loan: Some(Loan { max_connections: 1, recall_ms: 60_000 }),
            fallback: Some(3),
        },
    };
    let plain = Rule {
        name: "plain".to_owned(),
        select: Selector::default(),
        when: BTreeSet::new(),
        overrides: TermOverrides { weight: Some(1), ..TermOverrides::default() },
    };
    let budgets = map(vec![("main", budget(Some("a"))), ("rest", budget(None))]);
    Policy { budgets, conditions: conditions(), rules: vec![rule, plain] }
}

fn rules() -> Rules {
    let server = |port: u16, state, zone: &str| Server {
        address: format!("10.0.0.1:{port}"),
        state,
        zone: zone.to_owned(),
    };
    let class = |cost_milli, repeatable, ground| Class { cost_milli, repeatable, on_fallback: ground };
    let tenant = |plan: &str| Tenant { plan: plan.to_owned(), classes: names(&["read"]), floor_milli: 500 };
    Rules {
        format: RULES_FORMAT,
        classes: map(vec![("read", class(1_000, true, false)), ("report", class(6_000, false, true))]),
        plans: map(vec![
            ("base", Plan { rate_milli: 2_700, ceiling_milli: Some(4_000) }),
            ("free", Plan { rate_milli: 2_000, ceiling_milli: None }),
        ]),
        tenants: map(vec![("sul", tenant("base")), ("vale", tenant("free"))]),
        servers: map(vec![
            ("node-1", server(7_001, ServerState::Ready, "a")),
            ("node-2", server(7_002, ServerState::Draining, "")),
        ]),
        gateways: BTreeSet::from([0, 1, 2]),
        budgets: policy(),
    }
}

fn version() -> Version {
    Version {
        number: 2,
        previous_hash: [0xab; 32],
        author: "ops".to_owned(),
        reason: "a second zone".to_owned(),
        time_ms: 1_764_750_000_000,
        rules: rules(),
    }
}

fn proposal() -> Proposal {
    Proposal {
        id: 0x0102_0304_0506_0708,
        base_version: 1,
        author: "ops".to_owned(),
        reason: "a second zone".to_owned(),
        time_ms: 1_764_750_000_000,
        rules: Rules { budgets: Policy::default(), ..rules() },
    }
}

/// A record after some entries, so that all of its parts hold something.
fn machine() -> StateMachine {
    let mut machine =
        StateMachine::bootstrap(BTreeSet::from([0, 1, 2]), rules(), 34, 7).expect("sound rules");
    let next = Proposal { rules: rules(), ..proposal() };
    let entries = [Entry::Publish(Box::new(next)), Entry::LeasesCleared { voter: 0, version: 2 }];
    for entry in entries.into_iter().chain(changes().into_iter().map(|change| Entry::Permits(vec![change]))) {
        machine.apply(entry);
    }
    machine
}

fn changes() -> Vec<PermitChange> {
    let over = |word| PermitChange::Attested { voter: 2, nonce: 77, gateway: 1, round: 3, attestation: word };
    let place = || BudgetScope::tenant("main", &holder(None));
    vec![
        PermitChange::VoterStarted { voter: 2, nonce: 77 },
        PermitChange::GatewayStarted { gateway: 1, incarnation: 99 },
        PermitChange::PermitsReturned {
            gateway: 1,
            incarnation: 99,
            seen_epoch: 5,
            open: vec![(BudgetScope::server("node-1"), 3)],
        },
        PermitChange::GatewayLeft { gateway: 1, incarnation: 99 },
        over(Attestation::LeasesExpired),
        over(Attestation::EarlierLeasesExpired),
        over(Attestation::EarlierProcessesEnded),
        PermitChange::GatewayActiveAgain { gateway: 1, round: 3 },
        PermitChange::Allocated {
            active_conditions: names(&["a-dark"]),
            moves: vec![
                LedgerChange::SetCapacity { scope: BudgetScope::server("node-1"), capacity: 40 },
                LedgerChange::Grant { scope: place(), gateway: 1, count: 4, fallback: 2 },
                LedgerChange::Recall { scope: place(), gateway: 1, target: 1 },
            ],
        },
    ]
}

fn entries() -> Vec<(&'static str, Entry)> {
    vec![
        ("publish", Entry::Publish(Box::new(proposal()))),
        ("clear", Entry::LeasesCleared { voter: 1, version: 2 }),
        ("stand", Entry::FallbackStored { version: 2, gateways: vec![0, 300] }),
        ("canary", Entry::CanaryReport { version: 2, gateway: 1, healthy: true }),
        ("withdraw", Entry::Withdraw { version: 2, reason: "too slow".to_owned() }),
        ("retire", Entry::Retire { gateway: 1 }),
        ("slots", Entry::Permits(changes())),
        (
            "next",
            Entry::ChangeConfiguration {
                voters: BTreeSet::from([0, 1]),
                readmitted: BTreeMap::from([(1, 55)]),
            },
        ),
    ]
}

fn outcomes() -> Vec<(&'static str, Outcome)> {
    let fault = || FieldError { path: "tenants.sul.plan".to_owned(), reason: "there is no plan".to_owned() };
    let changed = vec!["plans.base".to_owned()];
    vec![
        ("numbered", Outcome::Numbered(2)),
        ("overtaken", Outcome::Overtaken { latest: 3, changed_paths: changed }),
        ("faulty", Outcome::Invalid(vec![fault()])),
        (
            "breaks-ground",
            Outcome::BreaksFallback { version: 1, held_by: vec![0, 2], conflicts: vec![fault()] },
        ),
        ("full", Outcome::TooManyVersions(32)),
    ]
}

/// The consensus library's messages, as the program wraps them.
fn consensus() -> Vec<(&'static str, omnipaxos::messages::Message<Entry>)> {
    let n = Ballot { config_id: 4, n: 5, priority: 6, pid: 2 };
    let seq_num = SequenceNumber { session: 8, counter: 9 };
    let log_sync = || LogSync {
        decided_snapshot: None,
        suffix: vec![Entry::Retire { gateway: 3 }],
        sync_idx: 12,
        stopsign: None,
    };
    let replication =
        |msg| omnipaxos::messages::Message::SequencePaxos(paxos::PaxosMessage { from: 1, to: 2, msg });
    let heartbeat = |msg| omnipaxos::messages::Message::BLE(election::BLEMessage { from: 1, to: 2, msg });
    let promise =
        paxos::Promise { n, n_accepted: n, decided_idx: 10, accepted_idx: 11, log_sync: Some(log_sync()) };
    let sync = paxos::AcceptSync { n, seq_num, decided_idx: 10, log_sync: log_sync() };
    let prepare = paxos::Prepare { n, decided_idx: 10, n_accepted: n, accepted_idx: 11 };
    let reply = election::HeartbeatReply { round: 13, ballot: n, leader: n, happy: true };
    let forward = vec![Entry::Retire { gateway: 3 }];
    let mut all = vec![
        ("prepare-request", replication(paxos::PaxosMsg::PrepareReq(paxos::PrepareReq { n }))),
        ("prepare", replication(paxos::PaxosMsg::Prepare(prepare))),
        ("promise", replication(paxos::PaxosMsg::Promise(promise))),
        ("accept-sync", replication(paxos::PaxosMsg::AcceptSync(sync))),
        ("accepted", replication(paxos::PaxosMsg::Accepted(paxos::Accepted { n, accepted_idx: 11 }))),
        ("not-accepted", replication(paxos::PaxosMsg::NotAccepted(paxos::NotAccepted { n }))),
        ("decide", replication(paxos::PaxosMsg::Decide(paxos::Decide { n, seq_num, decided_idx: 10 }))),
        ("proposal-forward", replication(paxos::PaxosMsg::ProposalForward(forward))),
        (
            "heartbeat-request",
            heartbeat(election::HeartbeatMsg::Request(election::HeartbeatRequest { round: 13 })),
        ),
        ("heartbeat-reply", heartbeat(election::HeartbeatMsg::Reply(reply))),
    ];
    all.extend(entries().into_iter().map(|(name, entry)| {
        let accept = paxos::AcceptDecide { n, seq_num, decided_idx: 10, entries: vec![entry] };
        (name, replication(paxos::PaxosMsg::AcceptDecide(accept)))
    }));
    all
}

fn ask() -> LeaseRequest {
    let slots = GatewayReport {
        seen_epoch: 5,
        open_counts: vec![
            (BudgetScope::server("node-1"), 3),
            (BudgetScope::tenant("main", &holder(Some("read"))), 2),
        ],
        demand: vec![("main".to_owned(), holder(None), Demand { peak: 7, mean_milli: 1_500 })],
        group_peaks: vec![("main".to_owned(), 9)],
        unavailable_zones: names(&["b"]),
        sole_process: true,
        drained: false,
    };
    LeaseRequest {
        incarnation: 99,
        sequence: 300,
        narrowed: Some((298, BTreeSet::from([1, 2]))),
        fallback_version: 1,
        known_versions: BTreeSet::from([1, 2]),
        canary_report: Some((2, true)),
        permits: Some(slots),
    }
}

fn answer() -> LeaseResponse {
    let slots = PermitCounts { held: 5, target: 4, fallback: 2 };
    LeaseResponse {
        incarnation: 99,
        sequence: 300,
        configuration: 4,
        voters: BTreeSet::from([0, 1, 2]),
        lease: Some(BTreeSet::from([1, 2])),
        fallback_version: 1,
        missing_versions: vec![version().to_bytes()],
        permits: Some(PermitGrant::Current(6, vec![(BudgetScope::server("node-1"), slots)])),
    }
}

fn bare_ask() -> LeaseRequest {
    LeaseRequest { narrowed: None, canary_report: None, permits: None, ..ask() }
}

fn bare_answer() -> LeaseResponse {
    LeaseResponse {
        lease: None,
        missing_versions: vec![],
        permits: Some(PermitGrant::Unchanged(6)),
        ..answer()
    }
}

fn base() -> Configuration {
    Configuration {
        number: 4,
        voters: BTreeSet::from([0, 1, 2]),
        readmitted: BTreeMap::from([(1, 55)]),
        snapshot: machine().to_bytes(),
    }
}

/// One sample of every variant.
fn messages() -> Vec<(String, Message)> {
    let mut all: Vec<(String, Message)> = vec![];
    for (name, message) in consensus() {
        let message = Box::new(message);
        all.push((
            format!("paxos-{name}"),
            Message::Paxos { configuration: 4, sequence: (5, 6), log_position: (7, 8), message },
        ));
    }
    for (name, outcome) in outcomes() {
        all.push((format!("told-{name}"), Message::ProposalOutcome { id: 9, outcome }));
    }
    let others = [
        ("behind", Message::OutdatedConfiguration { configuration: 4 }),
        ("install", Message::Install(Box::new(base()))),
        ("lost", Message::StorageLost { nonce: 55 }),
        ("ask", Message::LeaseRequest(ask())),
        ("ask-bare", Message::LeaseRequest(bare_ask())),
        ("answer", Message::LeaseResponse(Box::new(answer()))),
        ("answer-bare", Message::LeaseResponse(Box::new(bare_answer()))),
        ("hint", Message::RecordChanged),
        ("propose", Message::Propose(Box::new(proposal()))),
        ("withdraw", Message::Withdraw { version: 2, reason: "too slow".to_owned() }),
        ("retire", Message::Retire { gateway: 300 }),
        ("rekey", Message::ChangeVoters { voters: BTreeSet::from([0, 300]) }),
    ];
    all.extend(others.map(|(name, message)| (name.to_owned(), message)));
    all
}

#[test]
fn messages_have_the_recorded_bytes() {
    let encoded: Vec<_> = messages().iter().map(|(name, m)| (name.clone(), hex(&encode(m)))).collect();
    assert_recorded(MESSAGES, &encoded);
}

#[test]
fn recorded_messages_are_read_as_what_was_written() {
    for (name, message) in messages() {
        let read = decode(&recorded(MESSAGES, &name)).expect("readable");
        assert_eq!(format!("{read:?}"), format!("{message:?}"), "{name}");
    }
}

#[test]
fn versions_and_records_inside_messages_are_read_too() {
    let Ok(Message::LeaseResponse(answer)) = decode(&recorded(MESSAGES, "answer")) else {
        panic!("an answer")
    };
    assert_eq!(Version::from_bytes(&answer.missing_versions[0]), Ok(version()));
    let Ok(Message::Install(base)) = decode(&recorded(MESSAGES, "install")) else { panic!("a base") };
    assert_eq!(StateMachine::from_bytes(&base.snapshot), Ok(machine()));
}

#[test]
fn hashes_of_rules_and_versions() {
    assert_recorded(
        include_str!("fixtures/hashes.txt"),
        &[("version", hex(&version().hash())), ("rules-lot", hex(&rules().seed().to_be_bytes()))],
    );
}

const RULES_JSON: &str = include_str!("fixtures/rules.json");

#[test]
fn rules_have_the_recorded_json() {
    assert_eq!(serde_json::to_string_pretty(&rules()).expect("JSON") + "\n", RULES_JSON);
    assert_eq!(serde_json::from_str::<Rules>(RULES_JSON).expect("rules"), rules());
}
