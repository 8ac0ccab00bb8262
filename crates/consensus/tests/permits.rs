//! All orders of tellings, words, calls, restarts and gifts, for one slot that a gateway has and another may be given, with
//! 3 keepers, in small time.
//!
//! What frees the slot is decided by the shipped record (`PermitState`), folded over each prefix of the log that a keeper may
//! have applied; what the gateway may open by the shipped `ReceivedGrants`. Time is in steps: a lease is one, a connection outlives
//! its last use by one. Another gateway is taken to use a slot as soon as the log has given it.

use frostgauge_connection_budget::{BudgetScope, LedgerChange, PermitGrant, PermitList, ReceivedGrants};
use frostgauge_consensus::{Attestation, PermitChange, PermitState};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeSet, HashMap};
use std::sync::Mutex;

const KEEPERS: usize = 3;
/// Steps of a lease, and of a connection that nothing comes on.
const LEASE: u8 = 1;
const OUTLIVES: u8 = 1;
/// Entries of the log, most.
const LOG: usize = 4;
const HOLDER: u16 = 4;
const OTHER: u16 = 5;

/// An entry of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Entry {
    CallBack,
    /// The holder's word under what it knew from a prefix of this length: it has one open, or none.
    Returned(u8, bool),
    /// A keeper's word, of its start, in a round.
    Over(u8, u8, u8),
    Back(u8),
    Born(u8),
    GiveOther,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct One {
    applied: u8,
    /// Its start: it starts anew once at most.
    start: u8,
    /// Steps until all that it told, or may have told before its start, is over.
    wait: u8,
    /// The round in which it said that the holder is silent, plus one; and such a word that is on its way.
    silent: u8,
    on_its_way: Option<(u8, u8)>,
    /// What the holder has from it: the prefix that it told, plus one, and the steps that are left of it.
    told: (u8, u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    log: Vec<Entry>,
    keepers: [One; KEEPERS],
    /// The newest prefix that the holder was told of, plus one.
    top: u8,
    /// Steps that its connection stands for, if nothing more comes on it; 0: there is none.
    stands: u8,
}

impl State {
    /// The two keepers that do not start anew are alike: of two states that differ by their order alone one is looked at.
    fn sorted(mut self) -> State {
        if self.keepers[2] < self.keepers[1] {
            self.keepers.swap(1, 2);
            for entry in &mut self.log {
                if let Entry::Over(keeper @ (1 | 2), _, _) = entry {
                    *keeper = 3 - *keeper;
                }
            }
        }
        self
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Step,
    Append(Entry),
    Apply(usize),
    /// A keeper's word on slots reaches the holder, that asked so many steps ago.
    Tell(usize, u8),
    Say(usize),
    Arrive(usize),
    Restart(usize),
    Open,
    Use,
    Close,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Plant {
    None,
    BeforeIdle,
    FromAnswer,
    OneWord,
    TellsOn,
}

/// What the shipped record says after a prefix of the log.
#[derive(Clone)]
struct Says {
    epoch: u64,
    slots: PermitList,
    round: u8,
    other: bool,
    born: [bool; KEEPERS],
}

struct Small {
    plant: Plant,
    /// A keeper may start anew.
    restarts: bool,
    known: Mutex<HashMap<Vec<Entry>, Says>>,
}

fn place() -> BudgetScope {
    BudgetScope::server("s")
}

fn deal(moves: Vec<LedgerChange>) -> PermitChange {
    PermitChange::Allocated { active_conditions: BTreeSet::new(), moves }
}

fn nonce(keeper: u8, start: u8) -> u64 {
    u64::from(keeper) * 10 + u64::from(start) + 1
}

impl Small {
    fn says(&self, log: &[Entry]) -> Says {
        let mut known = self.known.lock().expect("no panic while it is held");
        if let Some(says) = known.get(log) {
            return says.clone();
        }
        // The word of one counts as that of most.
        let keepers: BTreeSet<u16> =
            if self.plant == Plant::OneWord { 0..1 } else { 0..KEEPERS as u16 }.collect();
        let mut grants = PermitState::default();
        let mut epochs = vec![];
        let first = (0..KEEPERS as u8)
            .map(|k| PermitChange::VoterStarted { voter: u16::from(k), nonce: nonce(k, 0) });
        let begun = [HOLDER, OTHER]
            .map(|gateway| PermitChange::GatewayStarted { gateway, incarnation: u64::from(gateway) });
        let given = LedgerChange::Grant { scope: place(), gateway: HOLDER, count: 1, fallback: 0 };
        let dealt = deal(vec![LedgerChange::SetCapacity { scope: place(), capacity: 1 }, given]);
        first.chain(begun).chain([dealt]).for_each(|c| grants.apply(c, &keepers));
        epochs.push(grants.ledger().epoch(HOLDER));
        for entry in log {
            let change = match *entry {
                Entry::CallBack => {
                    deal(vec![LedgerChange::Recall { scope: place(), gateway: HOLDER, target: 0 }])
                }
                Entry::GiveOther => {
                    deal(vec![LedgerChange::Grant { scope: place(), gateway: OTHER, count: 1, fallback: 0 }])
                }
                Entry::Returned(seen, open) => PermitChange::PermitsReturned {
                    gateway: HOLDER,
                    incarnation: u64::from(HOLDER),
                    seen_epoch: epochs.get(usize::from(seen)).copied().unwrap_or(0),
                    open: vec![(place(), u32::from(open))],
                },
                Entry::Over(keeper, start, round) => {
                    let keeper = if self.plant == Plant::OneWord { 0 } else { keeper };
                    let nonce = if self.plant == Plant::OneWord {
                        nonce(0, u8::from(grants.is_voter_start_recorded(0, self::nonce(0, 1))))
                    } else {
                        nonce(keeper, start)
                    };
                    let (keeper, round) = (u16::from(keeper), u64::from(round));
                    PermitChange::Attested {
                        voter: keeper,
                        nonce,
                        gateway: HOLDER,
                        round: round + first_round(),
                        attestation: Attestation::LeasesExpired,
                    }
                }
                Entry::Back(round) => PermitChange::GatewayActiveAgain {
                    gateway: HOLDER,
                    round: u64::from(round) + first_round(),
                },
                Entry::Born(keeper) => {
                    PermitChange::VoterStarted { voter: u16::from(keeper), nonce: nonce(keeper, 1) }
                }
            };
            grants.apply(change, &keepers);
            epochs.push(grants.ledger().epoch(HOLDER));
        }
        let (epoch, slots) = grants.ledger().permits_of(HOLDER);
        let born = [0u8, 1, 2].map(|k| grants.is_voter_start_recorded(u16::from(k), nonce(k, 1)));
        let round = (grants.attestation_round(HOLDER).0 - first_round()) as u8;
        let other = grants.ledger().permits(&place(), OTHER).held > 0;
        let says = Says { epoch, slots, round, other, born };
        known.insert(log.to_vec(), says.clone());
        says
    }

    /// Whether the holder may open a connection, or send on one, now.
    fn may(&self, state: &State) -> bool {
        let mut tells = ReceivedGrants::default();
        let enough = if self.plant == Plant::OneWord { 1 } else { KEEPERS / 2 + 1 };
        let keepers: BTreeSet<u16> = (0..KEEPERS as u16).collect();
        tells.set_quorums([(1, (keepers, enough))].into());
        let said = |prefix: u8| {
            let says = self.says(&state.log[..usize::from(prefix)]);
            PermitGrant::Current(says.epoch, says.slots)
        };
        if let Some(top) = state.top.checked_sub(1) {
            // Nobody's word any more, but known.
            tells.receive(99, 0, said(top), 0);
        }
        for (k, one) in state.keepers.iter().enumerate() {
            if let (Some(prefix), left) = (one.told.0.checked_sub(1), one.told.1) {
                tells.receive(k as u16, 1, said(prefix), u64::from(left));
            }
        }
        tells.allowed(0, &place()) > 0
    }
}

/// Rounds of words on the holder before the log begins: its process's beginning ended one.
fn first_round() -> u64 {
    1
}

impl Model for Small {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State { log: vec![], keepers: [One::default(); KEEPERS], top: 0, stands: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend([Action::Step, Action::Open, Action::Use, Action::Close]);
        if state.log.len() < LOG {
            let round = self.says(&state.log).round;
            // Each once: more of the same brings nothing new.
            let once = [Entry::CallBack, Entry::GiveOther].into_iter().filter(|e| !state.log.contains(e));
            actions.extend(once.map(Action::Append));
            if state.log.iter().any(|e| matches!(e, Entry::Over(_, _, r) if *r == round)) {
                actions.push(Action::Append(Entry::Back(round)));
            }
            // A word on what is called back.
            let called = state.log.contains(&Entry::CallBack);
            if let Some(seen) = state.top.checked_sub(1).filter(|_| called) {
                actions.push(Action::Append(Entry::Returned(seen, state.stands > 0)));
            }
        }
        for keeper in 0..KEEPERS {
            actions.push(Action::Apply(keeper));
            actions.extend((0..=LEASE).map(|ago| Action::Tell(keeper, ago)));
            actions.extend([Action::Say(keeper), Action::Arrive(keeper)]);
        }
        if self.restarts {
            // One of them, which stands for any.
            actions.push(Action::Restart(0));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Step => {
                state.stands = state.stands.saturating_sub(1);
                for one in &mut state.keepers {
                    one.wait = one.wait.saturating_sub(1);
                    one.told.1 = one.told.1.saturating_sub(1);
                    if one.told.1 == 0 {
                        one.told.0 = 0;
                    }
                }
            }
            Action::Append(entry) => {
                state.log.push(entry);
            }
            Action::Apply(k) => {
                let one = &mut state.keepers[k];
                // All that there is: what it would do in between it may do before.
                one.applied = state.log.len() as u8;
                let round = self.says(&state.log[..usize::from(one.applied)]).round;
                if one.silent > 0 && one.silent != round + 1 {
                    one.silent = 0;
                }
            }
            Action::Tell(k, ago) => {
                let one = &mut state.keepers[k];
                let says = self.says(&state.log[..usize::from(one.applied)]);
                let silent = one.silent == says.round + 1 && self.plant != Plant::TellsOn;
                let unknown = one.start == 1 && !says.born[k];
                let left = if self.plant == Plant::FromAnswer { LEASE } else { LEASE - ago };
                if silent || unknown || left == 0 {
                    return None;
                }
                // By the keeper from its answer, by the holder from its question: both as long ago.
                let counts = if self.plant == Plant::BeforeIdle { 0 } else { OUTLIVES };
                one.wait = one.wait.max((LEASE - ago) + counts);
                one.told = (one.applied + 1, left);
                state.top = state.top.max(one.applied + 1);
            }
            Action::Say(k) => {
                let one = &mut state.keepers[k];
                let says = self.says(&state.log[..usize::from(one.applied)]);
                let unknown = one.start == 1 && !says.born[k];
                if one.wait > 0 || unknown || one.on_its_way.is_some() {
                    return None;
                }
                one.silent = says.round + 1;
                one.on_its_way = Some((one.start, says.round));
            }
            Action::Arrive(k) => {
                let (start, round) = state.keepers[k].on_its_way.take()?;
                if state.log.len() >= LOG {
                    return None;
                }
                state.log.push(Entry::Over(k as u8, start, round));
            }
            Action::Restart(k) => {
                let one = &mut state.keepers[k];
                if one.start > 0 || state.log.len() >= LOG {
                    return None;
                }
                // What it told, and said, it has forgotten; its words may still be on their way.
                let counts = if self.plant == Plant::BeforeIdle { 0 } else { OUTLIVES };
                (one.start, one.silent, one.wait) = (1, 0, LEASE + counts);
                state.log.push(Entry::Born(k as u8));
            }
            Action::Open if state.stands == 0 && self.may(last) => state.stands = OUTLIVES + 1,
            Action::Use if state.stands > 0 && self.may(last) => state.stands = OUTLIVES + 1,
            Action::Close => state.stands = 0,
            Action::Open | Action::Use => return None,
        }
        let state = state.sorted();
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let fits = |m: &Small, state: &State| !(state.stands > 0 && m.says(&state.log).other);
        let moves = |m: &Small, state: &State| m.says(&state.log).other;
        vec![
            Property::always("the slot is used by one at a time", fits),
            Property::sometimes("the slot changes hands", moves),
        ]
    }
}

fn explore(plant: Plant, restarts: bool, states: usize) -> (usize, bool) {
    let model = Small { plant, restarts, known: Mutex::new(HashMap::new()) };
    let checker = model.checker().threads(2).target_state_count(states).spawn_bfs().join();
    let broken = checker.discovery("the slot is used by one at a time").is_some();
    if plant == Plant::None {
        assert!(checker.discovery("the slot changes hands").is_some(), "it never does");
    }
    (checker.unique_state_count(), broken)
}

#[test]
fn no_order_of_events_gives_a_slot_to_another_while_it_is_used() {
    // With starts of a keeper these are not all: 30,000,000 were looked at when this was written, in a minute.
    for (restarts, states) in [(false, 4_000_000), (true, 1_000_000)] {
        let (seen, broken) = explore(Plant::None, restarts, states);
        println!("{seen} states");
        assert!(!broken && seen > 10_000, "{seen} states");
    }
}

#[test]
fn planted_faults_are_found_by_the_same_walk() {
    for plant in [Plant::BeforeIdle, Plant::FromAnswer, Plant::OneWord, Plant::TellsOn] {
        let (states, broken) = explore(plant, false, 30_000_000);
        println!("{plant:?}: {states} states");
        assert!(broken, "{plant:?}: not found in {states} states");
    }
}

/// What the walk with starts of a keeper found, in one order.
#[test]
fn a_word_of_a_keeper_from_before_its_start_counts_no_more() {
    let keepers: BTreeSet<u16> = [0, 1, 2].into();
    let mut grants = PermitState::default();
    let born = |keeper: u16, nonce| PermitChange::VoterStarted { voter: keeper, nonce };
    let over = |keeper: u16, nonce| PermitChange::Attested {
        voter: keeper,
        nonce,
        gateway: HOLDER,
        round: 1,
        attestation: Attestation::LeasesExpired,
    };
    let given = LedgerChange::Grant { scope: place(), gateway: HOLDER, count: 1, fallback: 0 };
    let begun = PermitChange::GatewayStarted { gateway: HOLDER, incarnation: 1 };
    let dealt = deal(vec![LedgerChange::SetCapacity { scope: place(), capacity: 1 }, given]);
    let held = |g: &PermitState| g.ledger().permits(&place(), HOLDER).held;
    for change in [born(0, 1), born(1, 2), born(2, 3), begun, dealt, over(0, 1)] {
        grants.apply(change, &keepers);
    }
    // It starts anew, has forgotten its word, and tells the gateway of its slot; another keeper says that all is over.
    for change in [born(0, 9), over(1, 2), over(0, 1)] {
        grants.apply(change, &keepers);
    }
    assert_eq!(held(&grants), 1, "one word, and one of a start that is over");
    grants.apply(over(0, 9), &keepers);
    assert_eq!(held(&grants), 0);
}
