//! All orders of questions, answers, restarts and changes of version, for 3 keepers and 2 followers, in small time.
//!
//! What binds whom, what conflicts, and what comes into force is decided by the shipped record (`StateMachine`), folded over
//! each prefix of the log that a keeper may have applied; the log itself is taken as agreed on. Time is in steps, a
//! lease is one, an answer may be a step on its way.

use frostgauge_consensus::{
    Class, Entry, Plan, Proposal, Rules, Server, ServerState as Ready, StateMachine, Tenant, RULES_FORMAT,
};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeSet, HashMap};
use std::sync::Mutex;

const KEEPERS: usize = 3;
const FOLLOWERS: usize = 2;
/// Steps of a lease.
const LEASE: u8 = 1;

/// A set of versions, one bit each, and the steps that are left of it; (0, 0): none.
type Grant = (u8, u8);

/// A keeper, and what followers hold from it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct One {
    /// How much of the log it has applied: nothing, the publication, or all that brings version 2 into force.
    applied: u8,
    /// Its `Clear` is in the log.
    clear: bool,
    /// Steps for which it speaks of no leases.
    silent: u8,
    given: [Grant; FOLLOWERS],
    held: [Grant; FOLLOWERS],
}

/// Only what is left of times counts, so there is no end; keepers and followers are alike, so states that differ in
/// their order alone are one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct State {
    published: bool,
    keepers: [One; KEEPERS],
}

impl State {
    fn log(&self, applied: u8) -> Vec<u8> {
        match applied {
            0 => vec![],
            1 => vec![0],
            _ => {
                let clear = (1..=KEEPERS as u8).filter(|k| self.keepers[usize::from(*k) - 1].clear);
                std::iter::once(0).chain(clear).collect()
            }
        }
    }

    fn sorted(mut self) -> State {
        let mut other = self.clone();
        for one in &mut other.keepers {
            one.given.reverse();
            one.held.reverse();
        }
        self.keepers.sort_unstable();
        other.keepers.sort_unstable();
        self.min(other)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Step,
    Publish,
    Apply(usize),
    /// A keeper's grant reaches a follower, that asked so many steps ago.
    Grant(usize, usize, u8),
    Clear(usize),
    Restart(usize),
}

#[derive(Clone, Copy, PartialEq)]
enum Plant {
    None,
    FromAnswer,
    NoQuarantine,
    Minority,
}

/// What the shipped record says after a prefix of the log.
#[derive(Clone, Copy)]
struct Says {
    binds: u8,
    next: bool,
    /// By set of versions: whether it conflicts with version 2.
    conflicts: [bool; 8],
}

struct Small {
    plant: Plant,
    known: Mutex<HashMap<Vec<u8>, Says>>,
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
            Server { address: "10.0.0.1:80".into(), state: Ready::Ready, zone: String::new() },
        )]
        .into(),
        gateways: [1, 2, 3, 4, 5].into(),
        budgets: Default::default(),
    }
}

fn numbers(set: u8) -> BTreeSet<u64> {
    (1..=2).filter(|n| set & (1 << n) != 0).collect()
}

impl Small {
    fn says(&self, log: &[u8]) -> Says {
        let mut known = self.known.lock().expect("no panic while it is held");
        if let Some(says) = known.get(log) {
            return *says;
        }
        // In force on a minority: one keeper's word counts as that of most.
        let keepers = if self.plant == Plant::Minority { 1..=1 } else { 1..=KEEPERS as u16 };
        let mut machine = StateMachine::bootstrap(keepers.collect(), rules(900), 0, 1).expect("good rules");
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
                _ if self.plant == Plant::Minority => Entry::LeasesCleared { voter: 1, version: 2 },
                k => Entry::LeasesCleared { voter: u16::from(*k), version: 2 },
            };
            machine.apply(entry);
        }
        let mut conflicts = [false; 8];
        for set in [0b010u8, 0b100, 0b110] {
            conflicts[usize::from(set)] = machine.lease_conflicts(4, &numbers(set), 2);
        }
        let binds = machine.binding_versions_of_non_canaries().into_iter().fold(0, |set, n| set | 1 << n);
        let says = Says { binds, next: machine.next_version() == Some(2), conflicts };
        known.insert(log.to_vec(), says);
        says
    }

    /// The one version that a follower acts under now, if it is one.
    fn alone(state: &State, follower: usize) -> Option<u8> {
        let holds = |set: &u8| state.keepers.iter().filter(|k| k.held[follower].0 == *set).count();
        [0b010u8, 0b100].into_iter().find(|set| holds(set) > KEEPERS / 2)
    }
}

impl Model for Small {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State { published: false, keepers: [One::default(); KEEPERS] }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.push(Action::Step);
        if !state.published {
            actions.push(Action::Publish);
        }
        for keeper in 0..KEEPERS {
            actions.push(Action::Apply(keeper));
            for follower in 0..FOLLOWERS {
                actions.extend((0..=LEASE).map(|ago| Action::Grant(keeper, follower, ago)));
            }
            actions.extend([Action::Clear(keeper), Action::Restart(keeper)]);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Step => {
                for one in &mut state.keepers {
                    one.silent = one.silent.saturating_sub(1);
                    for (set, left) in one.given.iter_mut().chain(&mut one.held) {
                        *left = left.saturating_sub(1);
                        *set = if *left == 0 { 0 } else { *set };
                    }
                }
            }
            Action::Publish => state.published = true,
            Action::Apply(keeper) => {
                let in_force = !self.says(&last.log(2)).next;
                let most = u8::from(last.published) + u8::from(last.published && in_force);
                state.keepers[keeper].applied = (last.keepers[keeper].applied + 1).min(most);
            }
            Action::Grant(keeper, follower, ago) => {
                let says = self.says(&last.log(last.keepers[keeper].applied));
                let one = &mut state.keepers[keeper];
                // Counted by the keeper from its answer, by the follower from its question: both as long ago.
                let left = LEASE - ago;
                let held = if self.plant == Plant::FromAnswer { LEASE } else { left };
                if left > 0 {
                    // What was given before, and conflicts, is what the keeper waits for.
                    let before = one.given[follower];
                    if !says.conflicts[usize::from(before.0)] || before.1 <= left {
                        one.given[follower] = (says.binds, left);
                    }
                }
                if held > 0 {
                    one.held[follower] = (says.binds, held);
                }
            }
            Action::Clear(keeper) => {
                let says = self.says(&last.log(last.keepers[keeper].applied));
                let one = &mut state.keepers[keeper];
                let runs = one.given.iter().any(|(set, _)| says.conflicts[usize::from(*set)]);
                let silent = one.silent > 0 && self.plant != Plant::NoQuarantine;
                if !says.next || runs || silent {
                    return None;
                }
                one.clear = true;
            }
            Action::Restart(keeper) => {
                let one = &mut state.keepers[keeper];
                (one.given, one.silent) = ([(0, 0); FOLLOWERS], LEASE);
            }
        }
        let state = state.sorted();
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let apart = |_: &Small, state: &State| {
            let acts: Vec<u8> = (0..FOLLOWERS).filter_map(|f| Small::alone(state, f)).collect();
            !(acts.contains(&0b010) && acts.contains(&0b100))
        };
        let comes = |_: &Small, state: &State| (0..FOLLOWERS).any(|f| Small::alone(state, f) == Some(0b100));
        vec![
            Property::always("nobody acts under 1 while another acts under 2", apart),
            Property::sometimes("version 2 is acted under", comes),
        ]
    }
}

fn explore(plant: Plant) -> (usize, bool) {
    let model = Small { plant, known: Mutex::new(HashMap::new()) };
    let checker = model.checker().threads(2).spawn_bfs().join();
    let broken = checker.discovery("nobody acts under 1 while another acts under 2").is_some();
    if plant == Plant::None {
        assert!(checker.discovery("version 2 is acted under").is_some(), "nothing ever comes into force");
    }
    (checker.unique_state_count(), broken)
}

#[test]
fn no_order_of_events_lets_two_versions_that_contradict_be_acted_under_at_once() {
    let (states, broken) = explore(Plant::None);
    println!("{states} states");
    assert!(!broken && states > 1_000, "{states} states");
}

#[test]
fn planted_faults_are_found_by_the_same_walk() {
    for (name, plant) in [
        ("from the answer", Plant::FromAnswer),
        ("no quarantine", Plant::NoQuarantine),
        ("minority", Plant::Minority),
    ] {
        let (states, broken) = explore(plant);
        assert!(broken, "{name}: not found in {states} states");
    }
}
