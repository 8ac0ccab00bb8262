//! The encoded bytes of the messages between gateways, compared with recorded ones: one sample of every variant.
//!
//! The codec writes fields and variants by position. If their order is changed, the program still agrees with itself,
//! but not with processes of an earlier version: only a comparison with recorded bytes finds that.

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

fn tenant_class(class: Option<&str>) -> TenantClass {
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
    let class = |cost_milli, repeatable, on_fallback| Class { cost_milli, repeatable, on_fallback };
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

/// A record after entries of several kinds, so that its parts are not empty.
fn machine() -> StateMachine {
    let mut machine =
        StateMachine::bootstrap(BTreeSet::from([0, 1, 2]), rules(), 34, 7).expect("valid rules");
    let second = Proposal { rules: rules(), ..proposal() };
    let entries = [Entry::Publish(Box::new(second)), Entry::LeasesCleared { voter: 0, version: 2 }];
    for entry in
        entries.into_iter().chain(permit_changes().into_iter().map(|change| Entry::Permits(vec![change])))
    {
        machine.apply(entry);
    }
    machine
}

fn permit_changes() -> Vec<PermitChange> {
    let attested =
        |attestation| PermitChange::Attested { voter: 2, nonce: 77, gateway: 1, round: 3, attestation };
    let scope = || BudgetScope::tenant("main", &tenant_class(None));
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
        attested(Attestation::LeasesExpired),
        attested(Attestation::EarlierLeasesExpired),
        attested(Attestation::EarlierProcessesEnded),
        PermitChange::GatewayActiveAgain { gateway: 1, round: 3 },
        PermitChange::Allocated {
            active_conditions: names(&["a-dark"]),
            moves: vec![
                LedgerChange::SetCapacity { scope: BudgetScope::server("node-1"), capacity: 40 },
                LedgerChange::Grant { scope: scope(), gateway: 1, count: 4, fallback: 2 },
                LedgerChange::Recall { scope: scope(), gateway: 1, target: 1 },
            ],
        },
    ]
}

/// Every variant of [`Entry`], by the name of its case.
fn entries() -> Vec<(&'static str, Entry)> {
    vec![
        ("publish", Entry::Publish(Box::new(proposal()))),
        ("leases-cleared", Entry::LeasesCleared { voter: 1, version: 2 }),
        ("fallback-stored", Entry::FallbackStored { version: 2, gateways: vec![0, 300] }),
        ("canary-report", Entry::CanaryReport { version: 2, gateway: 1, healthy: true }),
        ("withdraw", Entry::Withdraw { version: 2, reason: "too slow".to_owned() }),
        ("retire", Entry::Retire { gateway: 1 }),
        ("permits", Entry::Permits(permit_changes())),
        (
            "change-configuration",
            Entry::ChangeConfiguration {
                voters: BTreeSet::from([0, 1]),
                readmitted: BTreeMap::from([(1, 55)]),
            },
        ),
    ]
}

/// Every variant of [`Outcome`], by the name of its case.
fn outcomes() -> Vec<(&'static str, Outcome)> {
    let error = || FieldError { path: "tenants.sul.plan".to_owned(), reason: "there is no plan".to_owned() };
    let changed = vec!["plans.base".to_owned()];
    vec![
        ("numbered", Outcome::Numbered(2)),
        ("overtaken", Outcome::Overtaken { latest: 3, changed_paths: changed }),
        ("invalid", Outcome::Invalid(vec![error()])),
        (
            "breaks-fallback",
            Outcome::BreaksFallback { version: 1, held_by: vec![0, 2], conflicts: vec![error()] },
        ),
        ("too-many-versions", Outcome::TooManyVersions(32)),
    ]
}

/// Messages of the consensus library, and each variant of [`Entry`] in a message that replicates it.
fn consensus_messages() -> Vec<(&'static str, omnipaxos::messages::Message<Entry>)> {
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

fn lease_request() -> LeaseRequest {
    let report = GatewayReport {
        seen_epoch: 5,
        open_counts: vec![
            (BudgetScope::server("node-1"), 3),
            (BudgetScope::tenant("main", &tenant_class(Some("read"))), 2),
        ],
        demand: vec![("main".to_owned(), tenant_class(None), Demand { peak: 7, mean_milli: 1_500 })],
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
        permits: Some(report),
    }
}

fn lease_response() -> LeaseResponse {
    let counts = PermitCounts { held: 5, target: 4, fallback: 2 };
    LeaseResponse {
        incarnation: 99,
        sequence: 300,
        configuration: 4,
        voters: BTreeSet::from([0, 1, 2]),
        lease: Some(BTreeSet::from([1, 2])),
        fallback_version: 1,
        missing_versions: vec![version().to_bytes()],
        permits: Some(PermitGrant::Current(6, vec![(BudgetScope::server("node-1"), counts)])),
    }
}

/// A request without its optional parts.
fn bare_lease_request() -> LeaseRequest {
    LeaseRequest { narrowed: None, canary_report: None, permits: None, ..lease_request() }
}

/// A response without a lease.
fn bare_lease_response() -> LeaseResponse {
    LeaseResponse {
        lease: None,
        missing_versions: vec![],
        permits: Some(PermitGrant::Unchanged(6)),
        ..lease_response()
    }
}

fn configuration() -> Configuration {
    Configuration {
        number: 4,
        voters: BTreeSet::from([0, 1, 2]),
        readmitted: BTreeMap::from([(1, 55)]),
        snapshot: machine().to_bytes(),
    }
}

/// One sample of every variant of [`Message`], by the name of its case in the fixture.
fn messages() -> Vec<(String, Message)> {
    let mut all: Vec<(String, Message)> = vec![];
    for (name, message) in consensus_messages() {
        let message = Box::new(message);
        all.push((
            format!("paxos-{name}"),
            Message::Paxos { configuration: 4, sequence: (5, 6), log_position: (7, 8), message },
        ));
    }
    for (name, outcome) in outcomes() {
        all.push((format!("outcome-{name}"), Message::ProposalOutcome { id: 9, outcome }));
    }
    let others = [
        ("outdated-configuration", Message::OutdatedConfiguration { configuration: 4 }),
        ("install", Message::Install(Box::new(configuration()))),
        ("storage-lost", Message::StorageLost { nonce: 55 }),
        ("lease-request", Message::LeaseRequest(lease_request())),
        ("lease-request-bare", Message::LeaseRequest(bare_lease_request())),
        ("lease-response", Message::LeaseResponse(Box::new(lease_response()))),
        ("lease-response-bare", Message::LeaseResponse(Box::new(bare_lease_response()))),
        ("record-changed", Message::RecordChanged),
        ("propose", Message::Propose(Box::new(proposal()))),
        ("withdraw", Message::Withdraw { version: 2, reason: "too slow".to_owned() }),
        ("retire", Message::Retire { gateway: 300 }),
        ("change-voters", Message::ChangeVoters { voters: BTreeSet::from([0, 300]) }),
    ];
    all.extend(others.map(|(name, message)| (name.to_owned(), message)));
    all
}

#[test]
fn messages_have_the_recorded_bytes() {
    let samples = messages();
    let encoded: Vec<_> =
        samples.iter().map(|(name, message)| (name.clone(), hex(&encode(message)))).collect();
    assert_recorded(MESSAGES, &encoded);
}

#[test]
fn recorded_messages_decode_to_the_samples() {
    for (name, message) in messages() {
        let decoded = decode(&recorded(MESSAGES, &name)).expect("a recorded message");
        assert_eq!(format!("{decoded:?}"), format!("{message:?}"), "{name}");
    }
}

#[test]
fn versions_and_snapshots_in_messages_decode_too() {
    let Ok(Message::LeaseResponse(response)) = decode(&recorded(MESSAGES, "lease-response")) else {
        panic!("case lease-response is not a lease response")
    };
    assert_eq!(Version::from_bytes(&response.missing_versions[0]), Ok(version()));
    let Ok(Message::Install(configuration)) = decode(&recorded(MESSAGES, "install")) else {
        panic!("case install is not a configuration")
    };
    assert_eq!(StateMachine::from_bytes(&configuration.snapshot), Ok(machine()));
}

#[test]
fn rules_and_versions_have_the_recorded_hashes() {
    assert_recorded(
        include_str!("fixtures/hashes.txt"),
        &[("version", hex(&version().hash())), ("rules-seed", hex(&rules().seed().to_be_bytes()))],
    );
}

const RULES_JSON: &str = include_str!("fixtures/rules.json");

#[test]
fn rules_have_the_recorded_json() {
    assert_eq!(serde_json::to_string_pretty(&rules()).expect("rules as JSON") + "\n", RULES_JSON);
    assert_eq!(serde_json::from_str::<Rules>(RULES_JSON).expect("rules from JSON"), rules());
}
