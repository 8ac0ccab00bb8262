//! Model check of connection permits: every order of grants, attestations, recalls, voter restarts and reallocation,
//! for one permit that one gateway (the holder) has and another may be granted, with 3 voters and short times.
//!
//! When the permit is freed is decided by the production code (`PermitState`), applied to each prefix of the log that a
//! voter may have applied; whether the holder may use its connection is decided by the production `ReceivedGrants`.
//! Time is counted in steps: a lease lasts one, and a server closes a connection one step after its last use. The other
//! gateway counts as using the permit as soon as the log has granted it.

use frostgauge_connection_budget::{BudgetScope, LedgerChange, PermitGrant, PermitList, ReceivedGrants};
use frostgauge_consensus::{Attestation, PermitChange, PermitState};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeSet, HashMap};
use std::sync::Mutex;

const VOTERS: usize = 3;
/// The term of a lease.
const LEASE_STEPS: u8 = 1;
/// How long a connection stays open after its last use.
const CONNECTION_IDLE_STEPS: u8 = 1;
const MAX_LOG_ENTRIES: usize = 4;
/// The gateway that has the permit at first.
const HOLDER: u16 = 4;
/// The gateway that may be granted the permit once it is free.
const OTHER: u16 = 5;
/// A gateway that does not vote.
const NON_VOTER: u16 = 99;
/// The round of attestations on the holder at which the log begins: the start of its process ended round 0.
const FIRST_ROUND: u64 = 1;

/// An entry of the log. Rounds are counted from [`FIRST_ROUND`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Entry {
    RecallPermit,
    /// The holder reports whether it has a connection open, knowing the record after a prefix of this length.
    PermitsReturned(u8, bool),
    /// A voter's attestation that its leases have expired: the voter, how often it had restarted, and the round.
    LeasesExpired(u8, u8, u8),
    /// The holder is active again, which ends this round.
    GatewayActiveAgain(u8),
    VoterRestarted(u8),
    GrantToOther,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Voter {
    /// Length of the log prefix that it has applied.
    applied: u8,
    /// How often it has restarted: once at most.
    restarts: u8,
    /// Steps until all leases that it granted, or may have granted before its restart, have expired, and the
    /// connections used under them are closed.
    steps_until_expired: u8,
    /// The round in which it attested that the holder's leases have expired, plus one; 0: none.
    attested_round: u8,
    /// An attestation in flight: how often the voter had restarted, and the round.
    attestation_in_flight: Option<(u8, u8)>,
    /// The lease that the holder has from it: length of the prefix it was granted under, plus one, and the steps left.
    holder_lease: (u8, u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    log: Vec<Entry>,
    voters: [Voter; VOTERS],
    /// Length of the newest prefix under which the holder was granted a lease, plus one; 0: none.
    newest_granted: u8,
    /// Steps until the holder's connection is closed, if it is not used again; 0: it has none.
    connection_steps_left: u8,
}

impl State {
    /// The two voters that never restart are interchangeable: of two states that differ only by their order, one is
    /// explored.
    fn canonical(mut self) -> State {
        if self.voters[2] < self.voters[1] {
            self.voters.swap(1, 2);
            for entry in &mut self.log {
                if let Entry::LeasesExpired(voter @ (1 | 2), _, _) = entry {
                    *voter = 3 - *voter;
                }
            }
        }
        self
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    /// Time advances by a step.
    Step,
    Append(Entry),
    /// A voter applies the log.
    Apply(usize),
    /// A voter's lease with permits reaches the holder, which sent its request so many steps ago.
    Grant(usize, u8),
    /// A voter attests that its leases to the holder have expired.
    Attest(usize),
    /// A voter's attestation is appended to the log.
    DeliverAttestation(usize),
    Restart(usize),
    /// The holder opens a connection, sends on it, or closes it.
    Open,
    Use,
    Close,
}

/// A fault that the model check must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum InjectedFault {
    None,
    /// Voters attest that leases have expired without waiting until connections are closed.
    NoIdleWait,
    /// The holder counts a lease from the response, not from its request.
    LeaseFromResponse,
    /// One voter is a quorum, for grants and for attestations.
    SingleVoterQuorum,
    /// Voters grant leases after they have attested that all have expired.
    GrantAfterAttesting,
}

/// What `PermitState` holds after a prefix of the log.
#[derive(Clone)]
struct RecordView {
    epoch: u64,
    holder_permits: PermitList,
    round: u8,
    other_has_permit: bool,
    /// Whether the restart of each voter is recorded.
    restart_recorded: [bool; VOTERS],
}

struct PermitModel {
    fault: InjectedFault,
    /// Whether voter 0 may restart.
    with_restarts: bool,
    /// Views that were computed before, by prefix of the log.
    views: Mutex<HashMap<Vec<Entry>, RecordView>>,
}

fn scope() -> BudgetScope {
    BudgetScope::server("s")
}

fn allocated(moves: Vec<LedgerChange>) -> PermitChange {
    PermitChange::Allocated { active_conditions: BTreeSet::new(), moves }
}

fn voter_nonce(voter: u8, restarts: u8) -> u64 {
    u64::from(voter) * 10 + u64::from(restarts) + 1
}

impl PermitModel {
    fn view(&self, log: &[Entry]) -> RecordView {
        let mut views = self.views.lock().expect("no thread panics while it holds the lock");
        if let Some(view) = views.get(log) {
            return view.clone();
        }
        // With voter 0 as the only voter, a single attestation is a majority.
        let single_voter = self.fault == InjectedFault::SingleVoterQuorum;
        let voters: BTreeSet<u16> = if single_voter { 0..1 } else { 0..VOTERS as u16 }.collect();
        let mut permits = PermitState::default();
        let mut epochs = vec![];
        let voter_starts = (0..VOTERS as u8)
            .map(|k| PermitChange::VoterStarted { voter: u16::from(k), nonce: voter_nonce(k, 0) });
        let gateway_starts = [HOLDER, OTHER]
            .map(|gateway| PermitChange::GatewayStarted { gateway, incarnation: u64::from(gateway) });
        let first_grant = LedgerChange::Grant { scope: scope(), gateway: HOLDER, count: 1, fallback: 0 };
        let first_allocation =
            allocated(vec![LedgerChange::SetCapacity { scope: scope(), capacity: 1 }, first_grant]);
        let initial_changes = voter_starts.chain(gateway_starts).chain([first_allocation]);
        initial_changes.for_each(|change| permits.apply(change, &voters));
        epochs.push(permits.ledger().epoch(HOLDER));
        for entry in log {
            let change = match *entry {
                Entry::RecallPermit => {
                    allocated(vec![LedgerChange::Recall { scope: scope(), gateway: HOLDER, target: 0 }])
                }
                Entry::GrantToOther => allocated(vec![LedgerChange::Grant {
                    scope: scope(),
                    gateway: OTHER,
                    count: 1,
                    fallback: 0,
                }]),
                Entry::PermitsReturned(seen_prefix, open) => PermitChange::PermitsReturned {
                    gateway: HOLDER,
                    incarnation: u64::from(HOLDER),
                    seen_epoch: epochs.get(usize::from(seen_prefix)).copied().unwrap_or(0),
                    open: vec![(scope(), u32::from(open))],
                },
                Entry::LeasesExpired(voter, restarts, round) => {
                    let voter = if single_voter { 0 } else { voter };
                    let nonce = if single_voter {
                        voter_nonce(0, u8::from(permits.is_voter_start_recorded(0, voter_nonce(0, 1))))
                    } else {
                        voter_nonce(voter, restarts)
                    };
                    PermitChange::Attested {
                        voter: u16::from(voter),
                        nonce,
                        gateway: HOLDER,
                        round: u64::from(round) + FIRST_ROUND,
                        attestation: Attestation::LeasesExpired,
                    }
                }
                Entry::GatewayActiveAgain(round) => PermitChange::GatewayActiveAgain {
                    gateway: HOLDER,
                    round: u64::from(round) + FIRST_ROUND,
                },
                Entry::VoterRestarted(voter) => {
                    PermitChange::VoterStarted { voter: u16::from(voter), nonce: voter_nonce(voter, 1) }
                }
            };
            permits.apply(change, &voters);
            epochs.push(permits.ledger().epoch(HOLDER));
        }
        let (epoch, holder_permits) = permits.ledger().permits_of(HOLDER);
        let restart_recorded =
            [0u8, 1, 2].map(|k| permits.is_voter_start_recorded(u16::from(k), voter_nonce(k, 1)));
        let round = (permits.attestation_round(HOLDER).0 - FIRST_ROUND) as u8;
        let other_has_permit = permits.ledger().permits(&scope(), OTHER).held > 0;
        let view = RecordView { epoch, holder_permits, round, other_has_permit, restart_recorded };
        views.insert(log.to_vec(), view.clone());
        view
    }

    /// Whether the holder may open a connection, or send on one, now.
    fn holder_may_use(&self, state: &State) -> bool {
        let mut received = ReceivedGrants::default();
        let quorum = if self.fault == InjectedFault::SingleVoterQuorum { 1 } else { VOTERS / 2 + 1 };
        let voters: BTreeSet<u16> = (0..VOTERS as u16).collect();
        received.set_quorums([(1, (voters, quorum))].into());
        let grant_under = |prefix: u8| {
            let view = self.view(&state.log[..usize::from(prefix)]);
            PermitGrant::Current(view.epoch, view.holder_permits)
        };
        if let Some(newest) = state.newest_granted.checked_sub(1) {
            // An expired grant that no voter gave: it sets the newest epoch that the holder knows, and nothing else.
            received.receive(NON_VOTER, 0, grant_under(newest), 0);
        }
        for (k, voter) in state.voters.iter().enumerate() {
            if let (Some(prefix), steps_left) = (voter.holder_lease.0.checked_sub(1), voter.holder_lease.1) {
                received.receive(k as u16, 1, grant_under(prefix), u64::from(steps_left));
            }
        }
        received.allowed(0, &scope()) > 0
    }

    /// Steps for which a voter waits after a lease until the connections used under it are closed.
    fn idle_wait(&self) -> u8 {
        if self.fault == InjectedFault::NoIdleWait {
            0
        } else {
            CONNECTION_IDLE_STEPS
        }
    }
}

impl Model for PermitModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let voters = [Voter::default(); VOTERS];
        vec![State { log: vec![], voters, newest_granted: 0, connection_steps_left: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend([Action::Step, Action::Open, Action::Use, Action::Close]);
        if state.log.len() < MAX_LOG_ENTRIES {
            let round = self.view(&state.log).round;
            // Each of these is appended once at most: a second has no further effect.
            let once =
                [Entry::RecallPermit, Entry::GrantToOther].into_iter().filter(|e| !state.log.contains(e));
            actions.extend(once.map(Action::Append));
            if state.log.iter().any(|e| matches!(e, Entry::LeasesExpired(_, _, r) if *r == round)) {
                actions.push(Action::Append(Entry::GatewayActiveAgain(round)));
            }
            // The holder reports open connections once permits are being recalled.
            let recalled = state.log.contains(&Entry::RecallPermit);
            if let Some(seen_prefix) = state.newest_granted.checked_sub(1).filter(|_| recalled) {
                let open = state.connection_steps_left > 0;
                actions.push(Action::Append(Entry::PermitsReturned(seen_prefix, open)));
            }
        }
        for voter in 0..VOTERS {
            actions.push(Action::Apply(voter));
            actions.extend((0..=LEASE_STEPS).map(|request_age| Action::Grant(voter, request_age)));
            actions.extend([Action::Attest(voter), Action::DeliverAttestation(voter)]);
        }
        if self.with_restarts {
            // All voters run the same code: restarts of one of them represent restarts of any.
            actions.push(Action::Restart(0));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Step => {
                state.connection_steps_left = state.connection_steps_left.saturating_sub(1);
                for voter in &mut state.voters {
                    voter.steps_until_expired = voter.steps_until_expired.saturating_sub(1);
                    voter.holder_lease.1 = voter.holder_lease.1.saturating_sub(1);
                    if voter.holder_lease.1 == 0 {
                        voter.holder_lease.0 = 0;
                    }
                }
            }
            Action::Append(entry) => {
                state.log.push(entry);
            }
            Action::Apply(k) => {
                let voter = &mut state.voters[k];
                // The whole log at once: what the voter would do after a part of it, it can also do before the rest is
                // appended.
                voter.applied = state.log.len() as u8;
                let round = self.view(&state.log[..usize::from(voter.applied)]).round;
                if voter.attested_round > 0 && voter.attested_round != round + 1 {
                    voter.attested_round = 0;
                }
            }
            Action::Grant(k, request_age) => {
                let voter = &mut state.voters[k];
                let view = self.view(&state.log[..usize::from(voter.applied)]);
                let has_attested = voter.attested_round == view.round + 1
                    && self.fault != InjectedFault::GrantAfterAttesting;
                let start_unrecorded = voter.restarts == 1 && !view.restart_recorded[k];
                let from_response = self.fault == InjectedFault::LeaseFromResponse;
                let steps_left = if from_response { LEASE_STEPS } else { LEASE_STEPS - request_age };
                if has_attested || start_unrecorded || steps_left == 0 {
                    return None;
                }
                // The voter counts the lease from its response, the holder from its request: in this model both were
                // sent `request_age` steps ago.
                let voter_steps_left = (LEASE_STEPS - request_age) + self.idle_wait();
                voter.steps_until_expired = voter.steps_until_expired.max(voter_steps_left);
                voter.holder_lease = (voter.applied + 1, steps_left);
                state.newest_granted = state.newest_granted.max(voter.applied + 1);
            }
            Action::Attest(k) => {
                let voter = &mut state.voters[k];
                let view = self.view(&state.log[..usize::from(voter.applied)]);
                let start_unrecorded = voter.restarts == 1 && !view.restart_recorded[k];
                if voter.steps_until_expired > 0 || start_unrecorded || voter.attestation_in_flight.is_some()
                {
                    return None;
                }
                voter.attested_round = view.round + 1;
                voter.attestation_in_flight = Some((voter.restarts, view.round));
            }
            Action::DeliverAttestation(k) => {
                let (restarts, round) = state.voters[k].attestation_in_flight.take()?;
                if state.log.len() >= MAX_LOG_ENTRIES {
                    return None;
                }
                state.log.push(Entry::LeasesExpired(k as u8, restarts, round));
            }
            Action::Restart(k) => {
                let voter = &mut state.voters[k];
                if voter.restarts > 0 || state.log.len() >= MAX_LOG_ENTRIES {
                    return None;
                }
                // The voter forgets its leases and attestations, and so waits as if it had granted a lease just before;
                // an attestation may still be in flight.
                let voter_steps_left = LEASE_STEPS + self.idle_wait();
                (voter.restarts, voter.attested_round, voter.steps_until_expired) = (1, 0, voter_steps_left);
                state.log.push(Entry::VoterRestarted(k as u8));
            }
            Action::Open if state.connection_steps_left == 0 && self.holder_may_use(last) => {
                state.connection_steps_left = CONNECTION_IDLE_STEPS + 1;
            }
            Action::Use if state.connection_steps_left > 0 && self.holder_may_use(last) => {
                state.connection_steps_left = CONNECTION_IDLE_STEPS + 1;
            }
            Action::Close => state.connection_steps_left = 0,
            Action::Open | Action::Use => return None,
        }
        let state = state.canonical();
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let one_user = |model: &PermitModel, state: &State| {
            !(state.connection_steps_left > 0 && model.view(&state.log).other_has_permit)
        };
        let other_granted = |model: &PermitModel, state: &State| model.view(&state.log).other_has_permit;
        vec![
            Property::always("the permit is used by one gateway at a time", one_user),
            Property::sometimes("the other gateway is granted the permit", other_granted),
        ]
    }
}

/// Explores up to so many states; returns how many there were, and whether two gateways used the permit at once.
fn explore(fault: InjectedFault, with_restarts: bool, max_states: usize) -> (usize, bool) {
    let model = PermitModel { fault, with_restarts, views: Mutex::new(HashMap::new()) };
    let checker = model.checker().threads(2).target_state_count(max_states).spawn_bfs().join();
    let violated = checker.discovery("the permit is used by one gateway at a time").is_some();
    if fault == InjectedFault::None {
        assert!(
            checker.discovery("the other gateway is granted the permit").is_some(),
            "no explored order grants the permit to the other gateway"
        );
    }
    (checker.unique_state_count(), violated)
}

#[test]
fn no_event_order_lets_two_gateways_use_one_permit() {
    // With voter restarts this explores only part of the states; 30,000,000 of them take a minute.
    for (with_restarts, max_states) in [(false, 4_000_000), (true, 1_000_000)] {
        let (explored, violated) = explore(InjectedFault::None, with_restarts, max_states);
        println!("{explored} states");
        assert!(!violated && explored > 10_000, "violated: {violated}, {explored} states explored");
    }
}

#[test]
fn the_model_check_finds_each_injected_fault() {
    for fault in [
        InjectedFault::NoIdleWait,
        InjectedFault::LeaseFromResponse,
        InjectedFault::SingleVoterQuorum,
        InjectedFault::GrantAfterAttesting,
    ] {
        let (states, violated) = explore(fault, false, 30_000_000);
        println!("{fault:?}: {states} states");
        assert!(violated, "{fault:?}: not found in {states} states");
    }
}

/// One order of events that the model check with voter restarts found: an attestation from before the restart, together
/// with another voter's, freed a permit that the restarted voter had just granted.
#[test]
fn a_voter_restart_voids_its_earlier_attestations() {
    let voters: BTreeSet<u16> = [0, 1, 2].into();
    let mut permits = PermitState::default();
    let voter_started = |voter: u16, nonce| PermitChange::VoterStarted { voter, nonce };
    let leases_expired = |voter: u16, nonce| PermitChange::Attested {
        voter,
        nonce,
        gateway: HOLDER,
        round: 1,
        attestation: Attestation::LeasesExpired,
    };
    let grant = LedgerChange::Grant { scope: scope(), gateway: HOLDER, count: 1, fallback: 0 };
    let gateway_started = PermitChange::GatewayStarted { gateway: HOLDER, incarnation: 1 };
    let allocation = allocated(vec![LedgerChange::SetCapacity { scope: scope(), capacity: 1 }, grant]);
    let held = |permits: &PermitState| permits.ledger().permits(&scope(), HOLDER).held;
    for change in [
        voter_started(0, 1),
        voter_started(1, 2),
        voter_started(2, 3),
        gateway_started,
        allocation,
        leases_expired(0, 1),
    ] {
        permits.apply(change, &voters);
    }
    // Voter 0 restarts, forgets its attestation, and grants the holder its permit again; voter 1 attests that its
    // leases have expired.
    for change in [voter_started(0, 9), leases_expired(1, 2), leases_expired(0, 1)] {
        permits.apply(change, &voters);
    }
    assert_eq!(held(&permits), 1, "one valid attestation, and one from before a restart, are no majority");
    permits.apply(leases_expired(0, 9), &voters);
    assert_eq!(held(&permits), 0, "two of three voters have attested that the leases have expired");
}
