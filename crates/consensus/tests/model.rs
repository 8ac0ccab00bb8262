//! Model check of leases: explores all orders of lease requests, grants, attestations, restarts of voters and the
//! change to a second version, with 3 voters and 2 followers.
//!
//! Which versions bind a follower, which leases conflict, and which version comes into force are computed by the
//! production `StateMachine`, applied to each prefix of the log that a voter may have applied; consensus on the log
//! itself is assumed. Time passes in steps: a lease lasts one, and the response to a request may take up to one.

use frostgauge_consensus::{
    Class, Entry, Plan, Proposal, Rules, Server, ServerState, StateMachine, Tenant, RULES_FORMAT,
};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeSet, HashMap};
use std::sync::Mutex;

const VOTERS: usize = 3;
const FOLLOWERS: usize = 2;
/// The term of a lease, in steps.
const LEASE_STEPS: u8 = 1;
/// The sets of versions {1} and {2} as bit sets, see [`Lease`].
const VERSION_1: u8 = 0b010;
const VERSION_2: u8 = 0b100;
/// The property that is checked.
const NO_CONFLICT: &str = "no follower acts under version 1 alone while another acts under version 2 alone";
/// Shows that the model makes progress.
const VERSION_2_IN_USE: &str = "some follower acts under version 2 alone";

/// A lease by one voter: a set of versions, as bit n for version n, and the steps until it expires; (0, 0) if there is
/// none.
type Lease = (u8, u8);

/// A voter, and the leases that followers have by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Voter {
    /// The part of the log that it has applied: 0 nothing, 1 the publication of version 2, 2 all that brings version 2
    /// into force.
    applied: u8,
    /// Whether its attestation that no lease conflicts with version 2 is in the log.
    has_attested: bool,
    /// Steps until its quarantine ends; during it the voter attests nothing.
    quarantine: u8,
    /// The leases that the voter knows to have granted, by follower.
    granted: [Lease; FOLLOWERS],
    /// The leases by this voter that each follower has, as the follower counts them.
    held: [Lease; FOLLOWERS],
}

/// A state of the model. It holds remaining times only, so there are finitely many states. Voters are interchangeable,
/// and so are followers: states that differ only in their order are the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct State {
    published: bool,
    voters: [Voter; VOTERS],
}

impl State {
    /// The part of the log that a voter with this value of [`Voter::applied`] has applied: 0 stands for the publication
    /// of version 2, and k for the attestation by voter k.
    fn log_prefix(&self, applied: u8) -> Vec<u8> {
        match applied {
            0 => vec![],
            1 => vec![0],
            _ => {
                let attested = (1..=VOTERS as u8).filter(|k| self.voters[usize::from(*k) - 1].has_attested);
                std::iter::once(0).chain(attested).collect()
            }
        }
    }

    /// The representative of all states that differ from this one only in the order of voters or followers.
    fn canonical(mut self) -> State {
        let mut swapped = self.clone();
        for voter in &mut swapped.voters {
            voter.granted.reverse();
            voter.held.reverse();
        }
        self.voters.sort_unstable();
        swapped.voters.sort_unstable();
        self.min(swapped)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    /// One step of time passes.
    PassTime,
    /// Version 2 is published.
    Publish,
    /// A voter applies more of the log.
    Apply(usize),
    /// A voter grants a lease to a follower, whose request was sent so many steps ago.
    Grant(usize, usize, u8),
    /// A voter attests that none of its leases conflicts with version 2.
    Attest(usize),
    /// A voter restarts, and loses the leases that it has granted.
    Restart(usize),
}

/// A bug injected into the model, which the check must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum InjectedBug {
    None,
    /// Followers count the term of a lease from the response, not from their request.
    LeaseFromResponse,
    /// A restarted voter attests without waiting for the leases that it may have granted before to expire.
    NoQuarantine,
    /// The attestation of a single voter brings a version into force.
    SingleVoterQuorum,
}

/// What the production state machine yields after a prefix of the log.
#[derive(Clone, Copy)]
struct Derived {
    /// The set of versions that a lease names, as in [`Lease`].
    binding_versions: u8,
    /// Whether version 2 is next to come into force.
    version_2_is_next: bool,
    /// For each set of versions, whether a lease on it conflicts with version 2.
    conflicts: [bool; 8],
}

struct LeaseModel {
    bug: InjectedBug,
    /// Results of [`LeaseModel::derive`], by prefix of the log.
    cache: Mutex<HashMap<Vec<u8>, Derived>>,
}

fn rules(rate_milli: u64) -> Rules {
    let class = Class { cost_milli: 1, repeatable: true, on_fallback: true };
    let tenant = Tenant { plan: "plan".into(), classes: ["read".to_owned()].into(), floor_milli: 1 };
    Rules {
        format: RULES_FORMAT,
        classes: [("read".into(), class)].into(),
        plans: [("plan".into(), Plan { rate_milli, ceiling_milli: None })].into(),
        tenants: [("sul".into(), tenant)].into(),
        servers: [(
            "s".into(),
            Server { address: "10.0.0.1:80".into(), state: ServerState::Ready, zone: String::new() },
        )]
        .into(),
        gateways: [1, 2, 3, 4, 5].into(),
        budgets: Default::default(),
    }
}

/// The version numbers in a bit set.
fn version_numbers(set: u8) -> BTreeSet<u64> {
    (1..=2).filter(|n| set & (1 << n) != 0).collect()
}

impl LeaseModel {
    /// Applies a prefix of the log to a new state machine, see [`State::log_prefix`].
    fn derive(&self, log: &[u8]) -> Derived {
        let mut cache = self.cache.lock().expect("no thread panicked while it held the lock");
        if let Some(derived) = cache.get(log) {
            return *derived;
        }
        // With a single voter in the record, one attestation is a majority.
        let voters = if self.bug == InjectedBug::SingleVoterQuorum { 1..=1 } else { 1..=VOTERS as u16 };
        let mut machine =
            StateMachine::bootstrap(voters.collect(), rules(900), 0, 1).expect("the rules are valid");
        for entry in log {
            let entry = match entry {
                0 => Entry::Publish(Box::new(Proposal {
                    id: 1,
                    base_version: 1,
                    author: String::new(),
                    reason: String::new(),
                    time_ms: 0,
                    rules: rules(500),
                })),
                _ if self.bug == InjectedBug::SingleVoterQuorum => {
                    Entry::LeasesCleared { voter: 1, version: 2 }
                }
                k => Entry::LeasesCleared { voter: u16::from(*k), version: 2 },
            };
            machine.apply(entry);
        }
        let mut conflicts = [false; 8];
        for set in [VERSION_1, VERSION_2, VERSION_1 | VERSION_2] {
            conflicts[usize::from(set)] = machine.lease_conflicts(4, &version_numbers(set), 2);
        }
        let binding = machine.binding_versions_of_non_canaries();
        let derived = Derived {
            binding_versions: binding.into_iter().fold(0, |set, n| set | 1 << n),
            version_2_is_next: machine.next_version() == Some(2),
            conflicts,
        };
        cache.insert(log.to_vec(), derived);
        derived
    }

    /// The version, as a bit set, that a follower has leases on from a majority, if they name a single version.
    fn single_leased_version(state: &State, follower: usize) -> Option<u8> {
        let leases = |set: &u8| state.voters.iter().filter(|voter| voter.held[follower].0 == *set).count();
        [VERSION_1, VERSION_2].into_iter().find(|set| leases(set) > VOTERS / 2)
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State { published: false, voters: [Voter::default(); VOTERS] }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.push(Action::PassTime);
        if !state.published {
            actions.push(Action::Publish);
        }
        for voter in 0..VOTERS {
            actions.push(Action::Apply(voter));
            for follower in 0..FOLLOWERS {
                actions.extend((0..=LEASE_STEPS).map(|delay| Action::Grant(voter, follower, delay)));
            }
            actions.extend([Action::Attest(voter), Action::Restart(voter)]);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::PassTime => {
                for voter in &mut state.voters {
                    voter.quarantine = voter.quarantine.saturating_sub(1);
                    for (set, steps_left) in voter.granted.iter_mut().chain(&mut voter.held) {
                        *steps_left = steps_left.saturating_sub(1);
                        *set = if *steps_left == 0 { 0 } else { *set };
                    }
                }
            }
            Action::Publish => state.published = true,
            Action::Apply(voter) => {
                let is_in_force = !self.derive(&last.log_prefix(2)).version_2_is_next;
                let available = u8::from(last.published) + u8::from(last.published && is_in_force);
                state.voters[voter].applied = (last.voters[voter].applied + 1).min(available);
            }
            Action::Grant(voter, follower, delay) => {
                let derived = self.derive(&last.log_prefix(last.voters[voter].applied));
                let voter = &mut state.voters[voter];
                // The voter counts the term from its response, the follower from its request. The model takes both to
                // be `delay` steps ago.
                let steps_left = LEASE_STEPS - delay;
                let held_steps =
                    if self.bug == InjectedBug::LeaseFromResponse { LEASE_STEPS } else { steps_left };
                if steps_left > 0 {
                    // An earlier lease that conflicts and lasts longer stays: the voter waits for it to expire before
                    // it attests.
                    let earlier = voter.granted[follower];
                    if !derived.conflicts[usize::from(earlier.0)] || earlier.1 <= steps_left {
                        voter.granted[follower] = (derived.binding_versions, steps_left);
                    }
                }
                if held_steps > 0 {
                    voter.held[follower] = (derived.binding_versions, held_steps);
                }
            }
            Action::Attest(voter) => {
                let derived = self.derive(&last.log_prefix(last.voters[voter].applied));
                let voter = &mut state.voters[voter];
                let has_conflicting_lease =
                    voter.granted.iter().any(|(set, _)| derived.conflicts[usize::from(*set)]);
                let is_quarantined = voter.quarantine > 0 && self.bug != InjectedBug::NoQuarantine;
                if !derived.version_2_is_next || has_conflicting_lease || is_quarantined {
                    return None;
                }
                voter.has_attested = true;
            }
            Action::Restart(voter) => {
                let voter = &mut state.voters[voter];
                (voter.granted, voter.quarantine) = ([(0, 0); FOLLOWERS], LEASE_STEPS);
            }
        }
        let state = state.canonical();
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let has_no_conflict = |_: &LeaseModel, state: &State| {
            let versions: Vec<u8> =
                (0..FOLLOWERS).filter_map(|f| LeaseModel::single_leased_version(state, f)).collect();
            !(versions.contains(&VERSION_1) && versions.contains(&VERSION_2))
        };
        let uses_version_2 = |_: &LeaseModel, state: &State| {
            (0..FOLLOWERS).any(|f| LeaseModel::single_leased_version(state, f) == Some(VERSION_2))
        };
        vec![
            Property::always(NO_CONFLICT, has_no_conflict),
            Property::sometimes(VERSION_2_IN_USE, uses_version_2),
        ]
    }
}

/// Explores all states. Returns their number, and whether a conflict was found.
fn explore(bug: InjectedBug) -> (usize, bool) {
    let model = LeaseModel { bug, cache: Mutex::new(HashMap::new()) };
    let checker = model.checker().threads(2).spawn_bfs().join();
    let has_conflict = checker.discovery(NO_CONFLICT).is_some();
    if bug == InjectedBug::None {
        assert!(checker.discovery(VERSION_2_IN_USE).is_some(), "no follower ever acts under version 2");
    }
    (checker.unique_state_count(), has_conflict)
}

#[test]
fn followers_never_act_under_conflicting_versions() {
    let (states, has_conflict) = explore(InjectedBug::None);
    println!("{states} states");
    assert!(
        !has_conflict && states > 1_000,
        "conflict found: {has_conflict}, in {states} states, over 1000 expected"
    );
}

#[test]
fn each_injected_bug_is_found() {
    for bug in [InjectedBug::LeaseFromResponse, InjectedBug::NoQuarantine, InjectedBug::SingleVoterQuorum] {
        let (states, has_conflict) = explore(bug);
        assert!(has_conflict, "{bug:?} was not found in {states} states");
    }
}
