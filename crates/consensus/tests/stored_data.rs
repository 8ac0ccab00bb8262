//! Journals written by an earlier build of the keepers, kept as fixtures: this build must read exactly what was stored,
//! and must write the same bytes for the same history. Stored values are encoded by position, so the bytes of each
//! variant of each stored enum are kept too.

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

const JOURNAL: &str = "keeper";
/// Bytes that are left of the frame in which the torn journal ends.
const TORN_BYTES: usize = 30;

/// The frames of a keeper's journal, as they lie on disk.
#[derive(Debug, Serialize, Deserialize)]
enum StoredFrame {
    Configuration(Configuration),
    Operations(Vec<StoredOperation>),
    Starts(u64),
}

/// What the consensus notes, as it lies on disk.
#[derive(Debug, Serialize, Deserialize)]
enum StoredOperation {
    Append(Vec<Entry>),
    AppendOnPrefix(usize, Vec<Entry>),
    Promise(Ballot),
    Decided(usize),
    Accepted(Ballot),
    StopSign(Option<StopSign>),
}

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn open(folder: &Path, me: GatewayId) -> Replica<Disk> {
    let disk = Disk::open_exclusive(folder).expect("a folder that is not in use");
    Replica::open(0, me, disk, &BTreeSet::from(KEEPERS), 7, tuning()).unwrap_or_else(|e| panic!("{e}"))
}

fn frames(folder: &TestFolder) -> Vec<StoredFrame> {
    let disk = Disk::open_exclusive(folder.path()).expect("a folder that is not in use");
    let (_, found) = Journal::open(disk, JOURNAL).expect("a journal");
    found.frames.iter().map(|f| postcard::from_bytes(f).expect("a frame of a known form")).collect()
}

/// The history that the keepers' fixtures store.
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

fn keeper_files(folder: &Path) -> BTreeMap<GatewayId, Files> {
    KEEPERS.map(|keeper| (keeper, files(&folder.join(keeper.to_string())))).into()
}

/// Writes each keeper's files into a folder of its own that is compared with its fixture.
fn assert_same_journals(journals: &BTreeMap<GatewayId, Files>, prefix: &str) {
    for (keeper, files) in journals {
        let name = format!("{prefix}-{keeper}");
        let folder = TestFolder::empty(&name);
        for (file, bytes) in files {
            fs::write(folder.path().join(file), bytes).expect("a written file");
        }
        assert_same_files(&folder, &fixture(&name));
    }
}

/// Each journal, and behind it the beginning of the frame that was written next.
fn write_torn_history(folder: &Path) -> BTreeMap<GatewayId, Files> {
    let mut fleet = write_history(folder);
    let before = keeper_files(folder);
    fleet.tell_leader(Message::Propose(Box::new(proposal(99, 4, 90_000))));
    let mut torn = keeper_files(folder);
    for (keeper, files) in &mut torn {
        for (name, bytes) in files {
            let whole = before[keeper][name].len();
            assert!(bytes.len() > whole + TORN_BYTES, "keeper {keeper} has noted the proposal");
            bytes.truncate(whole + TORN_BYTES);
        }
    }
    torn
}

fn assert_stored_versions(machine: &StateMachine) {
    let version = |number, before: VersionNumber, author: &str, reason: &str, time_ms, rules| Version {
        number,
        previous_hash: machine.version(before).map_or([0; 32], Version::hash),
        author: author.to_owned(),
        reason: reason.to_owned(),
        time_ms,
        rules,
    };
    let asked = 1_800_000_000_000;
    let restored = "version 3 is withdrawn, version 2 restored: too much";
    let expected = [
        version(1, 0, "founding", "the fleet's first rules", 0, first_rules()),
        version(2, 1, "author 70", "small plan at 60000", asked + 70, rules_with_rate(60_000)),
        version(3, 2, "author 90", "small plan at 80000", asked + 90, rules_with_rate(80_000)),
        version(4, 3, "keepers", restored, 0, rules_with_rate(60_000)),
    ];
    assert_eq!(machine.versions().values().cloned().collect::<Vec<_>>(), expected);
    assert_eq!((machine.fallback_version(), machine.in_force(), machine.latest()), (4, 4, 4));
    assert_eq!((1..=4).filter(|n| machine.is_withdrawn(*n)).collect::<Vec<_>>(), [3]);
    assert_eq!(machine.voters(), &BTreeSet::from(KEEPERS));
    assert_eq!(machine.outcome(70), Some(&Outcome::Numbered(2)));
    let changed = vec!["plans.small".to_owned()];
    assert_eq!(machine.outcome(80), Some(&Outcome::Overtaken { latest: 2, changed_paths: changed }));
    assert_eq!(machine.outcome(90), Some(&Outcome::Numbered(3)));
    assert_eq!(machine.outcome(99), None);
    let stands: Vec<_> = (1..=RETIRED).map(|gateway| machine.fallback_of(gateway)).collect();
    assert_eq!(stands, [Some(1), Some(2), Some(1), Some(2), None]);
}

fn assert_stored_slots(machine: &StateMachine) {
    let grants = machine.permits();
    let ledger = grants.ledger();
    let purse = |budget, tenant: &str, class: Option<&str>| {
        BudgetScope::tenant(budget, &TenantClass { tenant: tenant.into(), class: class.map(str::to_owned) })
    };
    let places: Vec<(BudgetScope, u32)> =
        ledger.scopes().map(|(place, most)| (place.clone(), most)).collect();
    let expected = [
        (BudgetScope::server("a"), 12),
        (BudgetScope::server("c"), MAX_CONNECTIONS_PER_SERVER),
        (purse("north", "norte", None), 12),
        (purse("north", "sul", None), 9),
        (purse("north", "sul", Some("report")), 12),
        (purse("rest", "norte", None), MAX_CONNECTIONS_PER_SERVER),
        (purse("rest", "sul", None), MAX_CONNECTIONS_PER_SERVER),
        (purse("rest", "sul", Some("report")), MAX_CONNECTIONS_PER_SERVER),
    ];
    assert_eq!(places, expected);
    let slots = PermitCounts { held: 4, target: 4, fallback: 1 };
    let held = vec![(BudgetScope::server("a"), slots), (purse("north", "sul", None), slots)];
    assert_eq!(ledger.permits_of(2), (5, held.clone()));
    assert_eq!(ledger.permits_of(4), (6, held));
    assert_eq!(
        (grants.active_conditions(), grants.allocation_rounds()),
        (&BTreeSet::from(["night".to_owned()]), 2)
    );
    assert_eq!([2, 4].map(|gateway| ledger.incarnation(gateway)), [Some(1_002), Some(1_004)]);
    for keeper in KEEPERS {
        assert!(grants.is_voter_start_recorded(keeper, 100 + u64::from(keeper)));
    }
}

#[test]
fn each_stored_journal_opens_with_exactly_the_stored_versions_and_slots() {
    for me in KEEPERS {
        let folder = TestFolder::copy_of(&fixture(&format!("keeper-{me}")), &format!("open-{me}"));
        let keeper = open(folder.path(), me);
        assert_eq!((keeper.configuration_number(), keeper.is_voter()), (1, true));
        let machine = keeper.state_machine().expect("a record");
        assert_stored_versions(machine);
        assert_stored_slots(machine);
    }
}

#[test]
fn a_stored_journal_with_a_torn_tail_opens_without_the_torn_frame() {
    for me in KEEPERS {
        let folder = TestFolder::copy_of(&fixture(&format!("torn-{me}")), &format!("torn-{me}"));
        let keeper = open(folder.path(), me);
        let machine = keeper.state_machine().expect("a record");
        assert_stored_versions(machine);
        assert_stored_slots(machine);
    }
}

#[test]
fn the_same_history_writes_the_stored_bytes() {
    let folder = TestFolder::empty("write");
    write_history(folder.path());
    assert_same_journals(&keeper_files(folder.path()), "keeper");
}

#[test]
fn the_same_history_and_power_loss_write_the_stored_torn_bytes() {
    let folder = TestFolder::empty("write-torn");
    let torn = write_torn_history(folder.path());
    assert_same_journals(&torn, "torn");
}

#[test]
fn a_journal_of_every_frame_and_operation_opens_with_what_it_holds() {
    let machine = StateMachine::bootstrap(KEEPERS.into(), first_rules(), 0, 1).expect("rules without faults");
    let fresh = BTreeMap::from([(2, 77)]);
    let base =
        Configuration { number: 3, voters: KEEPERS.into(), readmitted: fresh, snapshot: machine.to_bytes() };
    let publish = |id, base| Entry::Publish(Box::new(proposal(id, base, 60_000 + id)));
    let ballot = Ballot::with(3, 5, 0, 2);
    let operations = vec![
        StoredOperation::AppendOnPrefix(1, vec![publish(3, 2)]),
        StoredOperation::Promise(ballot),
        StoredOperation::Accepted(ballot),
        StoredOperation::Decided(2),
        StoredOperation::StopSign(None),
    ];
    let stored = [
        StoredFrame::Starts(6),
        StoredFrame::Configuration(base),
        StoredFrame::Operations(vec![StoredOperation::Append(vec![publish(1, 1), publish(2, 2)])]),
        StoredFrame::Operations(operations),
    ];
    let folder = TestFolder::empty("frames");
    let disk = Disk::open_exclusive(folder.path()).expect("a folder");
    let (mut journal, _) = Journal::open(disk, JOURNAL).expect("a journal");
    for frame in &stored {
        journal.append(&postcard::to_stdvec(frame).expect("bytes")).expect("a frame");
    }
    journal.sync().expect("a disk that works");
    drop(journal);
    let keeper = open(folder.path(), 1);
    assert_eq!((keeper.configuration_number(), keeper.is_voter()), (3, true));
    let machine = keeper.state_machine().expect("a record");
    assert_eq!(machine.outcome(1), Some(&Outcome::Numbered(2)));
    assert_eq!(machine.outcome(2), None);
    assert_eq!(machine.outcome(3), Some(&Outcome::Numbered(3)));
    drop(keeper);
    assert!(matches!(frames(&folder).last(), Some(StoredFrame::Starts(7))));
}

#[test]
fn the_stored_journals_hold_frames_of_the_recorded_form() {
    for me in KEEPERS {
        let folder = TestFolder::copy_of(&fixture(&format!("keeper-{me}")), &format!("frames-{me}"));
        let stored = frames(&folder);
        assert!(
            matches!(&stored[..2], [StoredFrame::Starts(1), StoredFrame::Configuration(base)] if base.number == 1)
        );
        assert!(matches!(stored[2], StoredFrame::Starts(2)));
        assert!(stored[3..].iter().all(|frame| matches!(frame, StoredFrame::Operations(_))));
    }
}

/// Compares samples with their recorded bytes, both ways.
struct Encodings {
    recorded: BTreeMap<String, String>,
    written: BTreeMap<String, String>,
}

impl Encodings {
    const FILE: &'static str = "encodings.txt";

    fn recorded() -> Encodings {
        let text = fs::read_to_string(fixture(Self::FILE)).unwrap_or_default();
        let lines = text.lines().filter_map(|line| line.split_once(": "));
        let recorded = lines.map(|(name, bytes)| (name.to_owned(), bytes.to_owned())).collect();
        Encodings { recorded, written: BTreeMap::new() }
    }

    fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(&mut self, name: &str, sample: &T) {
        let bytes = postcard::to_stdvec(sample).expect("bytes");
        assert_eq!(&postcard::from_bytes::<T>(&bytes).expect("a sample"), sample, "{name}");
        assert_eq!(self.written.insert(name.to_owned(), hex(&bytes)), None, "{name} is written twice");
    }

    /// Fails unless all samples, and no others, are recorded with these bytes.
    fn finish(self) {
        let line = |(name, bytes): (&String, &String)| format!("{name}: {bytes}\n");
        let folder = TestFolder::empty("encodings");
        let text: String = self.written.iter().map(line).collect();
        fs::write(folder.path().join(Self::FILE), text).expect("a written file");
        assert_eq!(self.written, self.recorded, "see {}", folder.path().display());
    }
}

fn check_entries(encodings: &mut Encodings) {
    let keepers = BTreeSet::from(KEEPERS);
    let entries = [
        ("publish", Entry::Publish(Box::new(proposal(300, 2, 60_000)))),
        ("clear", Entry::LeasesCleared { voter: 2, version: 300 }),
        ("stand", Entry::FallbackStored { version: 300, gateways: vec![4, 500] }),
        ("canary", Entry::CanaryReport { version: 300, gateway: 4, healthy: true }),
        ("withdraw", Entry::Withdraw { version: 300, reason: "why".into() }),
        ("retire", Entry::Retire { gateway: 500 }),
        ("slots", Entry::Permits(vec![PermitChange::VoterStarted { voter: 1, nonce: 2 }])),
        ("next", Entry::ChangeConfiguration { voters: keepers, readmitted: BTreeMap::from([(2, 300)]) }),
    ];
    for (name, entry) in &entries {
        encodings.check(&format!("entry {name}"), entry);
    }
}

fn check_changes(encodings: &mut Encodings) {
    let place = BudgetScope::server("a");
    let holder = TenantClass { tenant: "sul".into(), class: Some("read".into()) };
    let moves = vec![
        LedgerChange::SetCapacity { scope: place.clone(), capacity: 300 },
        LedgerChange::Grant { scope: place.clone(), gateway: 4, count: 3, fallback: 1 },
        LedgerChange::Recall { scope: BudgetScope::tenant("north", &holder), gateway: 4, target: 2 },
    ];
    for (name, change) in ["bound", "give", "call back"].into_iter().zip(&moves) {
        encodings.check(&format!("move {name}"), change);
    }
    let over =
        |word| PermitChange::Attested { voter: 1, nonce: 300, gateway: 4, round: 5, attestation: word };
    let words = vec![(place, 3)];
    let changes = [
        ("born", PermitChange::VoterStarted { voter: 1, nonce: 300 }),
        ("begin", PermitChange::GatewayStarted { gateway: 4, incarnation: 300 }),
        (
            "returned",
            PermitChange::PermitsReturned { gateway: 4, incarnation: 300, seen_epoch: 6, open: words },
        ),
        ("left", PermitChange::GatewayLeft { gateway: 4, incarnation: 300 }),
        ("over silent", over(Attestation::LeasesExpired)),
        ("over past", over(Attestation::EarlierLeasesExpired)),
        ("over ended", over(Attestation::EarlierProcessesEnded)),
        ("back", PermitChange::GatewayActiveAgain { gateway: 4, round: 5 }),
        ("deal", PermitChange::Allocated { active_conditions: BTreeSet::from(["night".to_owned()]), moves }),
    ];
    for (name, change) in &changes {
        encodings.check(&format!("change {name}"), change);
    }
}

fn check_outcomes(encodings: &mut Encodings) {
    let fault = FieldError { path: "plans.small".into(), reason: "why".into() };
    let places = vec![fault.clone()];
    let outcomes = [
        ("numbered", Outcome::Numbered(300)),
        ("overtaken", Outcome::Overtaken { latest: 300, changed_paths: vec!["plans.small".into()] }),
        ("faulty", Outcome::Invalid(vec![fault])),
        ("breaks ground", Outcome::BreaksFallback { version: 300, held_by: vec![4], conflicts: places }),
        ("full", Outcome::TooManyVersions(32)),
    ];
    for (name, outcome) in &outcomes {
        encodings.check(&format!("outcome {name}"), outcome);
    }
}

fn check_rules(encodings: &mut Encodings) {
    for (name, condition) in &conditions() {
        encodings.check(&format!("condition {name}"), condition);
    }
    encodings.check("state ready", &ServerState::Ready);
    encodings.check("state draining", &ServerState::Draining);
    encodings.check("rules", &first_rules());
}

/// A record with something in each of its parts.
fn full_machine() -> StateMachine {
    let mut machine =
        StateMachine::bootstrap(KEEPERS.into(), first_rules(), 60, 9).expect("rules without faults");
    let publish = |id, base, rate| Entry::Publish(Box::new(proposal(id, base, rate)));
    let clear = |keeper, next| Entry::LeasesCleared { voter: keeper, version: next };
    let place = BudgetScope::server("a");
    let holder = TenantClass { tenant: "sul".into(), class: Some("report".into()) };
    let moves = vec![
        LedgerChange::Grant { scope: place.clone(), gateway: 2, count: 5, fallback: 2 },
        LedgerChange::Grant { scope: place.clone(), gateway: 4, count: 4, fallback: 1 },
        LedgerChange::SetCapacity { scope: BudgetScope::tenant("north", &holder), capacity: 6 },
        LedgerChange::Grant {
            scope: BudgetScope::tenant("north", &holder),
            gateway: 4,
            count: 2,
            fallback: 0,
        },
        LedgerChange::Recall { scope: place.clone(), gateway: 4, target: 3 },
    ];
    let changes = vec![
        PermitChange::VoterStarted { voter: 1, nonce: 11 },
        PermitChange::VoterStarted { voter: 2, nonce: 22 },
        PermitChange::GatewayStarted { gateway: 2, incarnation: 200 },
        PermitChange::GatewayStarted { gateway: 4, incarnation: 400 },
        PermitChange::Allocated { active_conditions: BTreeSet::from(["night".to_owned()]), moves },
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
        clear(1, 2),
        clear(3, 2),
        Entry::Retire { gateway: RETIRED },
        Entry::FallbackStored { version: 1, gateways: vec![2] },
        Entry::CanaryReport { version: 2, gateway: 1, healthy: true },
        Entry::CanaryReport { version: 2, gateway: 2, healthy: true },
        clear(2, 4),
    ];
    for entry in entries {
        machine.apply(entry);
    }
    let ledger = machine.permits().ledger();
    assert_eq!(ledger.permits(&place, 4), PermitCounts { held: 4, target: 3, fallback: 1 });
    assert_eq!(ledger.earlier_incarnations_hold(2), (true, true));
    assert!(machine.permits().attestation_round(4).1, "a keeper has said that gateway 4 is silent");
    assert!(machine.is_withdrawn(3));
    machine
}

#[test]
fn each_stored_variant_has_its_recorded_bytes() {
    let mut encodings = Encodings::recorded();
    check_entries(&mut encodings);
    check_changes(&mut encodings);
    check_outcomes(&mut encodings);
    check_rules(&mut encodings);
    let version = Version { previous_hash: [7; 32], ..first_version() };
    encodings.check("version", &version);
    encodings.check("machine", &full_machine());
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
