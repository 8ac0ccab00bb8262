//! Compatibility of stored data. The fixtures are journals that an earlier release wrote: this one must read exactly
//! what they store, and write the same bytes for the same history of events. Stored values are encoded by position, so
//! inserting or moving a variant or field would change the meaning of stored bytes without an error. The fixtures
//! therefore also hold the bytes of each variant of each stored enum.
//!
//! Files named `keeper-*` are a voter's journal; names of files and labels in fixtures are those of earlier releases.

#[path = "../../storage/tests/common/fixture.rs"]
mod fixture;
#[path = "common/sample.rs"]
mod sample;

use fixture::{assert_same_files, files, hex, Files, TestFolder};
use frostgauge_connection_budget::{
    BudgetScope, LedgerChange, PermitCounts, TenantClass, MAX_CONNECTIONS_PER_SERVER,
};
use frostgauge_consensus::{
    Attestation, Configuration, Entry, FieldError, GatewayId, Message, Outcome, PermitChange, Replica,
    ServerState, StateMachine, Version, VersionNumber,
};
use frostgauge_storage::{Disk, Journal};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::StopSign;
use sample::{conditions, first_rules, proposal, rules_with_rate, tuning, Fleet, KEEPERS, RETIRED};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::fs;
use std::path::{Path, PathBuf};

/// The stem of the names of a voter's journal files.
const JOURNAL_NAME: &str = "keeper";
/// Bytes of the last, incomplete frame in a torn journal.
const TORN_FRAME_BYTES: usize = 30;

/// A frame of a voter's journal, in the stored order of variants.
#[derive(Debug, Serialize, Deserialize)]
enum StoredFrame {
    Configuration(Configuration),
    Operations(Vec<StoredOperation>),
    StartCount(u64),
}

/// An operation on the log, in the stored order of variants.
#[derive(Debug, Serialize, Deserialize)]
enum StoredOperation {
    Append(Vec<Entry>),
    AppendOnPrefix(usize, Vec<Entry>),
    SetPromise(Ballot),
    SetDecided(usize),
    SetAccepted(Ballot),
    SetStopSign(Option<StopSign>),
}

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// Opens the replica of a voter on the files in a folder.
fn open_replica(folder: &Path, self_id: GatewayId) -> Replica<Disk> {
    let disk = Disk::open_exclusive(folder).expect("the folder is not in use");
    Replica::open(0, self_id, disk, &BTreeSet::from(KEEPERS), 7, tuning()).unwrap_or_else(|e| panic!("{e}"))
}

fn read_frames(folder: &TestFolder) -> Vec<StoredFrame> {
    let disk = Disk::open_exclusive(folder.path()).expect("the folder is not in use");
    let (_, contents) = Journal::open(disk, JOURNAL_NAME).expect("the journal is readable");
    contents.frames.iter().map(|f| postcard::from_bytes(f).expect("the frame can be decoded")).collect()
}

/// Runs the history that the journals in the fixtures store: two versions published, one rejected, one withdrawn, and a
/// gateway retired.
fn write_history(folder: &Path) -> Fleet {
    let mut fleet = Fleet::found(folder);
    fleet.run(900);
    fleet.tell_leader(Message::Propose(Box::new(proposal(70, 1, 60_000))));
    fleet.run(50);
    fleet.stand_on(2);
    fleet.tell_leader(Message::Propose(Box::new(proposal(80, 1, 70_000))));
    fleet.run(20);
    fleet.tell_leader(Message::Propose(Box::new(proposal(90, 2, 80_000))));
    fleet.tell_leader(Message::Withdraw { version: 3, reason: "too much".into() });
    fleet.tell_leader(Message::Retire { gateway: RETIRED });
    fleet.run(50);
    fleet
}

/// The files of each voter, by voter.
fn voter_files(folder: &Path) -> BTreeMap<GatewayId, Files> {
    KEEPERS.map(|voter| (voter, files(&folder.join(voter.to_string())))).into()
}

/// Fails unless each voter's files are those of its fixture `{prefix}-{voter}`.
fn assert_same_journals(journals: &BTreeMap<GatewayId, Files>, prefix: &str) {
    for (voter, files) in journals {
        let name = format!("{prefix}-{voter}");
        let folder = TestFolder::empty(&name);
        for (file, bytes) in files {
            fs::write(folder.path().join(file), bytes).expect("the file is written");
        }
        assert_same_files(&folder, &fixture(&name));
    }
}

/// Runs the history, and returns each voter's files with the journal followed by the beginning of one more frame, as a
/// power loss during a write leaves it.
fn write_torn_history(folder: &Path) -> BTreeMap<GatewayId, Files> {
    let mut fleet = write_history(folder);
    let complete = voter_files(folder);
    fleet.tell_leader(Message::Propose(Box::new(proposal(99, 4, 90_000))));
    let mut torn = voter_files(folder);
    for (voter, files) in &mut torn {
        for (name, bytes) in files {
            let complete_len = complete[voter][name].len();
            assert!(
                bytes.len() > complete_len + TORN_FRAME_BYTES,
                "voter {voter} wrote no frame for the proposal"
            );
            bytes.truncate(complete_len + TORN_FRAME_BYTES);
        }
    }
    torn
}

fn assert_stored_versions(machine: &StateMachine) {
    let version = |number, previous: VersionNumber, author: &str, reason: &str, time_ms, rules| Version {
        number,
        previous_hash: machine.version(previous).map_or([0; 32], Version::hash),
        author: author.to_owned(),
        reason: reason.to_owned(),
        time_ms,
        rules,
    };
    let proposed_ms = 1_800_000_000_000;
    let restore_reason = "version 3 is withdrawn, version 2 restored: too much";
    let expected = [
        version(1, 0, "founding", "the fleet's first rules", 0, first_rules()),
        version(2, 1, "author 70", "small plan at 60000", proposed_ms + 70, rules_with_rate(60_000)),
        version(3, 2, "author 90", "small plan at 80000", proposed_ms + 90, rules_with_rate(80_000)),
        version(4, 3, "keepers", restore_reason, 0, rules_with_rate(60_000)),
    ];
    assert_eq!(machine.versions().values().cloned().collect::<Vec<_>>(), expected);
    assert_eq!((machine.fallback_version(), machine.in_force(), machine.latest()), (4, 4, 4));
    assert_eq!((1..=4).filter(|n| machine.is_withdrawn(*n)).collect::<Vec<_>>(), [3]);
    assert_eq!(machine.voters(), &BTreeSet::from(KEEPERS));
    assert_eq!(machine.outcome(70), Some(&Outcome::Numbered(2)));
    let changed_paths = vec!["plans.small".to_owned()];
    assert_eq!(machine.outcome(80), Some(&Outcome::Overtaken { latest: 2, changed_paths }));
    assert_eq!(machine.outcome(90), Some(&Outcome::Numbered(3)));
    assert_eq!(machine.outcome(99), None);
    let fallbacks: Vec<_> = (1..=RETIRED).map(|gateway| machine.fallback_of(gateway)).collect();
    assert_eq!(fallbacks, [Some(1), Some(2), Some(1), Some(2), None]);
}

fn assert_stored_permits(machine: &StateMachine) {
    let permit_state = machine.permits();
    let ledger = permit_state.ledger();
    let tenant_scope = |budget, tenant: &str, class: Option<&str>| {
        BudgetScope::tenant(budget, &TenantClass { tenant: tenant.into(), class: class.map(str::to_owned) })
    };
    let capacities: Vec<(BudgetScope, u32)> =
        ledger.scopes().map(|(scope, capacity)| (scope.clone(), capacity)).collect();
    let expected = [
        (BudgetScope::server("a"), 12),
        (BudgetScope::server("c"), MAX_CONNECTIONS_PER_SERVER),
        (tenant_scope("north", "norte", None), 12),
        (tenant_scope("north", "sul", None), 9),
        (tenant_scope("north", "sul", Some("report")), 12),
        (tenant_scope("rest", "norte", None), MAX_CONNECTIONS_PER_SERVER),
        (tenant_scope("rest", "sul", None), MAX_CONNECTIONS_PER_SERVER),
        (tenant_scope("rest", "sul", Some("report")), MAX_CONNECTIONS_PER_SERVER),
    ];
    assert_eq!(capacities, expected);
    let permits = PermitCounts { held: 4, target: 4, fallback: 1 };
    let held = vec![(BudgetScope::server("a"), permits), (tenant_scope("north", "sul", None), permits)];
    assert_eq!(ledger.permits_of(2), (5, held.clone()));
    assert_eq!(ledger.permits_of(4), (6, held));
    assert_eq!(
        (permit_state.active_conditions(), permit_state.allocation_rounds()),
        (&BTreeSet::from(["night".to_owned()]), 2)
    );
    assert_eq!([2, 4].map(|gateway| ledger.incarnation(gateway)), [Some(1_002), Some(1_004)]);
    for voter in KEEPERS {
        assert!(permit_state.is_voter_start_recorded(voter, 100 + u64::from(voter)));
    }
}

#[test]
fn stored_journal_opens_with_stored_versions_and_permits() {
    for voter in KEEPERS {
        let folder = TestFolder::copy_of(&fixture(&format!("keeper-{voter}")), &format!("open-{voter}"));
        let replica = open_replica(folder.path(), voter);
        assert_eq!((replica.configuration_number(), replica.is_voter()), (1, true));
        let machine = replica.state_machine().expect("the replica has a record");
        assert_stored_versions(machine);
        assert_stored_permits(machine);
    }
}

#[test]
fn torn_journal_opens_without_the_torn_frame() {
    for voter in KEEPERS {
        let folder = TestFolder::copy_of(&fixture(&format!("torn-{voter}")), &format!("torn-{voter}"));
        let replica = open_replica(folder.path(), voter);
        let machine = replica.state_machine().expect("the replica has a record");
        assert_stored_versions(machine);
        assert_stored_permits(machine);
    }
}

#[test]
fn same_history_writes_the_stored_bytes() {
    let folder = TestFolder::empty("write");
    write_history(folder.path());
    assert_same_journals(&voter_files(folder.path()), "keeper");
}

#[test]
fn same_history_and_power_loss_write_the_torn_bytes() {
    let folder = TestFolder::empty("write-torn");
    let torn = write_torn_history(folder.path());
    assert_same_journals(&torn, "torn");
}

#[test]
fn every_kind_of_frame_and_operation_is_applied() {
    let machine = StateMachine::bootstrap(KEEPERS.into(), first_rules(), 0, 1).expect("the rules are valid");
    let readmitted = BTreeMap::from([(2, 77)]);
    let configuration =
        Configuration { number: 3, voters: KEEPERS.into(), readmitted, snapshot: machine.to_bytes() };
    let publish = |id, base_version| Entry::Publish(Box::new(proposal(id, base_version, 60_000 + id)));
    let ballot = Ballot::with(3, 5, 0, 2);
    let operations = vec![
        StoredOperation::AppendOnPrefix(1, vec![publish(3, 2)]),
        StoredOperation::SetPromise(ballot),
        StoredOperation::SetAccepted(ballot),
        StoredOperation::SetDecided(2),
        StoredOperation::SetStopSign(None),
    ];
    let stored = [
        StoredFrame::StartCount(6),
        StoredFrame::Configuration(configuration),
        StoredFrame::Operations(vec![StoredOperation::Append(vec![publish(1, 1), publish(2, 2)])]),
        StoredFrame::Operations(operations),
    ];
    let folder = TestFolder::empty("frames");
    let disk = Disk::open_exclusive(folder.path()).expect("the folder is not in use");
    let (mut journal, _) = Journal::open(disk, JOURNAL_NAME).expect("the journal is created");
    for frame in &stored {
        journal.append(&postcard::to_stdvec(frame).expect("the frame is encoded")).expect("it is appended");
    }
    journal.sync().expect("the journal is synced");
    drop(journal);
    let replica = open_replica(folder.path(), 1);
    assert_eq!((replica.configuration_number(), replica.is_voter()), (3, true));
    let machine = replica.state_machine().expect("the replica has a record");
    assert_eq!(machine.outcome(1), Some(&Outcome::Numbered(2)));
    assert_eq!(machine.outcome(2), None);
    assert_eq!(machine.outcome(3), Some(&Outcome::Numbered(3)));
    drop(replica);
    assert!(matches!(read_frames(&folder).last(), Some(StoredFrame::StartCount(7))));
}

#[test]
fn stored_journals_hold_the_expected_kinds_of_frames() {
    for voter in KEEPERS {
        let folder = TestFolder::copy_of(&fixture(&format!("keeper-{voter}")), &format!("frames-{voter}"));
        let stored = read_frames(&folder);
        assert!(
            matches!(&stored[..2], [StoredFrame::StartCount(1), StoredFrame::Configuration(c)] if c.number == 1)
        );
        assert!(matches!(stored[2], StoredFrame::StartCount(2)));
        assert!(stored[3..].iter().all(|frame| matches!(frame, StoredFrame::Operations(_))));
    }
}

/// Compares the encodings of samples with those recorded in a fixture, as hexadecimal digits by label.
struct Encodings {
    recorded: BTreeMap<String, String>,
    actual: BTreeMap<String, String>,
}

impl Encodings {
    const FILE_NAME: &'static str = "encodings.txt";

    /// Reads the recorded encodings; none if the fixture is missing, so that [`Encodings::finish`] writes all.
    fn read_recorded() -> Encodings {
        let text = fs::read_to_string(fixture(Self::FILE_NAME)).unwrap_or_default();
        let lines = text.lines().filter_map(|line| line.split_once(": "));
        let recorded = lines.map(|(label, bytes)| (label.to_owned(), bytes.to_owned())).collect();
        Encodings { recorded, actual: BTreeMap::new() }
    }

    /// Encodes a sample, checks that decoding returns it, and keeps the encoding for [`Encodings::finish`].
    fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, label: &str, sample: &T) {
        let bytes = postcard::to_stdvec(sample).expect("the sample is encoded");
        let decoded = postcard::from_bytes::<T>(&bytes).expect("the encoding can be decoded");
        assert_eq!(&decoded, sample, "{label} is decoded differently");
        assert_eq!(self.actual.insert(label.to_owned(), hex(&bytes)), None, "label {label} is used twice");
    }

    /// Fails unless exactly the checked samples are recorded, with the same bytes. If it fails, the folder with the
    /// actual encodings is kept.
    fn finish(self) {
        let line = |(label, bytes): (&String, &String)| format!("{label}: {bytes}\n");
        let folder = TestFolder::empty("encodings");
        let text: String = self.actual.iter().map(line).collect();
        fs::write(folder.path().join(Self::FILE_NAME), text).expect("the file is written");
        assert_eq!(self.actual, self.recorded, "actual encodings are in {}", folder.path().display());
    }
}

fn check_entries(encodings: &mut Encodings) {
    let voters = BTreeSet::from(KEEPERS);
    let entries = [
        ("publish", Entry::Publish(Box::new(proposal(300, 2, 60_000)))),
        ("clear", Entry::LeasesCleared { voter: 2, version: 300 }),
        ("stand", Entry::FallbackStored { version: 300, gateways: vec![4, 500] }),
        ("canary", Entry::CanaryReport { version: 300, gateway: 4, healthy: true }),
        ("withdraw", Entry::Withdraw { version: 300, reason: "why".into() }),
        ("retire", Entry::Retire { gateway: 500 }),
        ("slots", Entry::Permits(vec![PermitChange::VoterStarted { voter: 1, nonce: 2 }])),
        ("next", Entry::ChangeConfiguration { voters, readmitted: BTreeMap::from([(2, 300)]) }),
    ];
    for (label, entry) in &entries {
        encodings.check(&format!("entry {label}"), entry);
    }
}

fn check_permit_changes(encodings: &mut Encodings) {
    let server = BudgetScope::server("a");
    let tenant_class = TenantClass { tenant: "sul".into(), class: Some("read".into()) };
    let ledger_changes = vec![
        LedgerChange::SetCapacity { scope: server.clone(), capacity: 300 },
        LedgerChange::Grant { scope: server.clone(), gateway: 4, count: 3, fallback: 1 },
        LedgerChange::Recall { scope: BudgetScope::tenant("north", &tenant_class), gateway: 4, target: 2 },
    ];
    for (label, change) in ["bound", "give", "call back"].into_iter().zip(&ledger_changes) {
        encodings.check(&format!("move {label}"), change);
    }
    let attested =
        |attestation| PermitChange::Attested { voter: 1, nonce: 300, gateway: 4, round: 5, attestation };
    let open = vec![(server, 3)];
    let changes = [
        ("born", PermitChange::VoterStarted { voter: 1, nonce: 300 }),
        ("begin", PermitChange::GatewayStarted { gateway: 4, incarnation: 300 }),
        ("returned", PermitChange::PermitsReturned { gateway: 4, incarnation: 300, seen_epoch: 6, open }),
        ("left", PermitChange::GatewayLeft { gateway: 4, incarnation: 300 }),
        ("over silent", attested(Attestation::LeasesExpired)),
        ("over past", attested(Attestation::EarlierLeasesExpired)),
        ("over ended", attested(Attestation::EarlierProcessesEnded)),
        ("back", PermitChange::GatewayActiveAgain { gateway: 4, round: 5 }),
        (
            "deal",
            PermitChange::Allocated {
                active_conditions: BTreeSet::from(["night".to_owned()]),
                moves: ledger_changes,
            },
        ),
    ];
    for (label, change) in &changes {
        encodings.check(&format!("change {label}"), change);
    }
}

fn check_outcomes(encodings: &mut Encodings) {
    let error = FieldError { path: "plans.small".into(), reason: "why".into() };
    let conflicts = vec![error.clone()];
    let outcomes = [
        ("numbered", Outcome::Numbered(300)),
        ("overtaken", Outcome::Overtaken { latest: 300, changed_paths: vec!["plans.small".into()] }),
        ("faulty", Outcome::Invalid(vec![error])),
        ("breaks ground", Outcome::BreaksFallback { version: 300, held_by: vec![4], conflicts }),
        ("full", Outcome::TooManyVersions(32)),
    ];
    for (label, outcome) in &outcomes {
        encodings.check(&format!("outcome {label}"), outcome);
    }
}

fn check_rules(encodings: &mut Encodings) {
    for (label, condition) in &conditions() {
        encodings.check(&format!("condition {label}"), condition);
    }
    encodings.check("state ready", &ServerState::Ready);
    encodings.check("state draining", &ServerState::Draining);
    encodings.check("rules", &first_rules());
}

/// A record in which no field is empty.
fn machine_with_all_fields() -> StateMachine {
    let mut machine =
        StateMachine::bootstrap(KEEPERS.into(), first_rules(), 60, 9).expect("the rules are valid");
    let publish =
        |id, base_version, rate_milli| Entry::Publish(Box::new(proposal(id, base_version, rate_milli)));
    let leases_cleared = |voter, version| Entry::LeasesCleared { voter, version };
    let server = BudgetScope::server("a");
    let tenant_class = TenantClass { tenant: "sul".into(), class: Some("report".into()) };
    let ledger_changes = vec![
        LedgerChange::Grant { scope: server.clone(), gateway: 2, count: 5, fallback: 2 },
        LedgerChange::Grant { scope: server.clone(), gateway: 4, count: 4, fallback: 1 },
        LedgerChange::SetCapacity { scope: BudgetScope::tenant("north", &tenant_class), capacity: 6 },
        LedgerChange::Grant {
            scope: BudgetScope::tenant("north", &tenant_class),
            gateway: 4,
            count: 2,
            fallback: 0,
        },
        LedgerChange::Recall { scope: server.clone(), gateway: 4, target: 3 },
    ];
    let changes = vec![
        PermitChange::VoterStarted { voter: 1, nonce: 11 },
        PermitChange::VoterStarted { voter: 2, nonce: 22 },
        PermitChange::GatewayStarted { gateway: 2, incarnation: 200 },
        PermitChange::GatewayStarted { gateway: 4, incarnation: 400 },
        PermitChange::Allocated {
            active_conditions: BTreeSet::from(["night".to_owned()]),
            moves: ledger_changes,
        },
        PermitChange::GatewayStarted { gateway: 2, incarnation: 201 },
        PermitChange::Attested {
            voter: 1,
            nonce: 11,
            gateway: 4,
            round: 1,
            attestation: Attestation::LeasesExpired,
        },
    ];
    let entries = [
        Entry::Permits(changes),
        publish(70, 1, 60_000),
        publish(71, 1, 65_000),
        publish(72, 2, 70_000),
        Entry::Withdraw { version: 3, reason: "too much".into() },
        leases_cleared(1, 2),
        leases_cleared(3, 2),
        Entry::Retire { gateway: RETIRED },
        Entry::FallbackStored { version: 1, gateways: vec![2] },
        Entry::CanaryReport { version: 2, gateway: 1, healthy: true },
        Entry::CanaryReport { version: 2, gateway: 2, healthy: true },
        leases_cleared(2, 4),
    ];
    for entry in entries {
        machine.apply(entry);
    }
    let ledger = machine.permits().ledger();
    assert_eq!(ledger.permits(&server, 4), PermitCounts { held: 4, target: 3, fallback: 1 });
    assert_eq!(ledger.earlier_incarnations_hold(2), (true, true));
    assert!(
        machine.permits().attestation_round(4).1,
        "no attestation that the leases of gateway 4 have expired"
    );
    assert!(machine.is_withdrawn(3));
    machine
}

#[test]
fn each_stored_variant_has_its_recorded_bytes() {
    let mut encodings = Encodings::read_recorded();
    check_entries(&mut encodings);
    check_permit_changes(&mut encodings);
    check_outcomes(&mut encodings);
    check_rules(&mut encodings);
    let version = Version { previous_hash: [7; 32], ..first_version() };
    encodings.check("version", &version);
    encodings.check("machine", &machine_with_all_fields());
    encodings.finish();
}

fn first_version() -> Version {
    let (author, reason) = ("author".to_owned(), "why".to_owned());
    Version {
        number: 300,
        previous_hash: [0; 32],
        author,
        reason,
        time_ms: 1_800_000_000_000,
        rules: first_rules(),
    }
}
