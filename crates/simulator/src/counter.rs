//! The counter in virtual time: its own queue and state machine, each gateway's own calls, a modelled disk and
//! connections that break.

use crate::simulation::{Event, Simulation};
use crate::Micros;
use frostgauge::CounterId;
use frostgauge_counter_core::{
    Action, AdmissionConfig, AdmissionQueue, ClientCalls, ClientCallsConfig, Operation, Outcome as Executed,
    StateMachine,
};
use frostgauge_gateway::core::Input;
use frostgauge_proto::counter::RejectReason;
use std::collections::BTreeSet;

const MS: Micros = 1_000;
/// One way between a gateway and the counter.
const ONE_WAY_DELAY: Micros = MS;
/// A call's time limit and its repeat's time, as the settings have them by default.
const CALLS: ClientCallsConfig = ClientCallsConfig { timeout: 80 * MS, retry_after: 30 * MS };
const NAMES: usize = 1 << 20;
/// Adds of one group.
const BATCH: usize = 1_024;

/// A modelled counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterDay {
    /// Time of a sync.
    pub sync: Micros,
    /// Time of an add beside it.
    pub each: Micros,
    /// Delay in the queue that may stand.
    pub target: Micros,
    /// Share of replies that is lost.
    pub lose: f64,
}

/// What the counter and its callers came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counted {
    /// Adds counted.
    pub adds: u64,
    /// Adds counted in each second.
    pub per_s: Vec<u64>,
    /// Longest delay in the queue, of those served in each second.
    pub delay: Vec<Micros>,
    /// Calls refused by the counter.
    pub refused: u64,
    /// Calls told as unsure.
    pub unsure: u64,
    /// Calls told wrongly: as refused though counted, as counted though not, or twice.
    pub wrong: u64,
}

struct Waiting {
    gateway: usize,
    conn: u64,
    op: Operation,
}

/// The counter's side.
pub(crate) struct Model {
    day: CounterDay,
    machine: StateMachine,
    queue: AdmissionQueue<Waiting>,
    busy: bool,
    /// It answers; or it stands still; or connections are refused.
    down: Option<bool>,
    conns: u64,
    /// Every add counted: gateway, epoch, sequence.
    counted: BTreeSet<(u16, u64, u64)>,
    pub seen: Counted,
}

/// A gateway's side.
pub(crate) struct Caller {
    pub calls: ClientCalls,
    wake: Micros,
    conn: u64,
    incarnation: [u8; 16],
}

/// What happens between the two.
pub(crate) enum Between {
    Wake,
    Open(u64),
    Opened(u64, Option<u64>),
    Add(u64, Operation),
    Reply(u64, u64, Result<i64, RejectReason>),
}

impl Model {
    pub(crate) fn new(day: CounterDay) -> Model {
        let config =
            AdmissionConfig { max_waiting: 8_192, max_waiting_per_gateway: 512, target_delay: day.target };
        Model {
            day,
            machine: StateMachine::default(),
            queue: AdmissionQueue::new(config),
            busy: false,
            down: None,
            conns: 0,
            counted: BTreeSet::new(),
            seen: Counted::default(),
        }
    }
}

impl Caller {
    pub(crate) fn new(k: usize, incarnation: u32, seed: u64) -> Caller {
        let incarnation = (u128::from(incarnation) << 64 | k as u128).to_be_bytes();
        Caller { calls: ClientCalls::new(CALLS, seed), wake: 0, conn: 0, incarnation }
    }
}

impl Simulation<'_> {
    /// The library of a gateway calls.
    pub(crate) fn count(&mut self, k: usize, counter: CounterId, amount: f64, ttl: Micros) {
        let (mut out, now) = (vec![], self.now);
        match &mut self.gateways[k].caller {
            Some(caller) => caller.calls.call(now, counter.0, amount, ttl, &mut out),
            None => {
                let input = Input::CounterReplied { counter, total: None, may_have_added: false, elapsed: 0 };
                return self.at(now, Event::Input(k, self.gateways[k].incarnation, input));
            }
        }
        self.carry_out(k, out);
    }

    /// The counter goes down or comes back; `silent`: connections stand.
    pub(crate) fn counter_down(&mut self, down: Option<bool>) {
        let Some(model) = &mut self.counter else { return };
        model.down = down;
        if down == Some(false) {
            let now = self.now;
            for k in 0..self.gateways.len() {
                let Some(caller) = &mut self.gateways[k].caller else { continue };
                if caller.conn > 0 {
                    caller.conn = 0;
                    caller.calls.connection_lost(now, false);
                }
                self.carry_out(k, vec![]);
            }
        }
        self.commit();
    }

    pub(crate) fn between(&mut self, k: usize, what: Between) {
        let (now, mut out) = (self.now, vec![]);
        match what {
            Between::Wake => {
                let Some(caller) = &mut self.gateways[k].caller else { return };
                if caller.wake != now {
                    return;
                }
                caller.wake = 0;
                caller.calls.advance(now, &mut out);
            }
            Between::Open(conn) => {
                let Some(model) = &mut self.counter else { return };
                match model.down {
                    Some(true) => return,
                    Some(false) => return self.post(k, ONE_WAY_DELAY, Between::Opened(conn, None)),
                    None => {}
                }
                let Some(incarnation) = self.gateways[k].caller.as_ref().map(|c| c.incarnation) else {
                    return;
                };
                let op = Operation::Open { gateway: k as u16, incarnation };
                return self.arrive_at_counter(k, conn, op, Micros::MAX);
            }
            Between::Opened(conn, epoch) => {
                let Some(caller) = &mut self.gateways[k].caller else { return };
                if caller.conn != conn {
                    return;
                }
                match epoch {
                    Some(epoch) => caller.calls.session_opened(now, epoch, &mut out),
                    None => {
                        caller.conn = 0;
                        caller.calls.connection_lost(now, false);
                    }
                }
            }
            Between::Add(conn, op) => return self.arrive_at_counter(k, conn, op, now + CALLS.timeout),
            Between::Reply(conn, seq, reply) => {
                let Some(caller) = &mut self.gateways[k].caller else { return };
                if caller.conn != conn {
                    return;
                }
                match reply {
                    Ok(total) => caller.calls.total_received(now, seq, total, &mut out),
                    Err(code) => caller.calls.rejection_received(now, seq, code, &mut out),
                }
            }
        }
        self.carry_out(k, out);
    }

    fn post(&mut self, k: usize, after: Micros, what: Between) {
        let incarnation = self.gateways[k].incarnation;
        self.at(self.now + after, Event::Between(k, incarnation, what));
    }

    fn arrive_at_counter(&mut self, k: usize, conn: u64, op: Operation, until: Micros) {
        let now = self.now;
        let Some(model) = &mut self.counter else { return };
        // A silent one's socket takes it in; it is read once it is back, like what a kernel keeps.
        if model.down == Some(false) {
            return;
        }
        let seq = if let Operation::Add { seq, .. } = &op { *seq } else { 0 };
        let waiting = Waiting { gateway: k, conn, op };
        if model.queue.offer(now, k as u16, until, waiting).is_err() {
            model.seen.refused += 1;
            return self.post(
                k,
                ONE_WAY_DELAY,
                Between::Reply(conn, seq, Err(RejectReason::ResourceExhausted)),
            );
        }
        self.commit();
    }

    /// Takes the next group, if none is being written.
    fn commit(&mut self) {
        let (now, second) = (self.now, self.second());
        let Some(model) = &mut self.counter else { return };
        if model.busy || model.down.is_some() || model.queue.is_empty() {
            return;
        }
        let (mut taken, mut late) = (vec![], vec![]);
        model.queue.take(now, BATCH, &mut taken, &mut late);
        let delays = &mut model.seen.delay;
        delays.resize(delays.len().max(second + 1), 0);
        delays[second] = delays[second].max(model.queue.last_delay());
        model.busy = true;
        let span = model.day.sync + model.day.each * taken.len() as Micros;
        let mut replies = vec![];
        for w in late {
            if let Operation::Add { seq, .. } = w.op {
                replies.push((
                    w.gateway,
                    ONE_WAY_DELAY,
                    Between::Reply(w.conn, seq, Err(RejectReason::DeadlineExceeded)),
                ));
            }
        }
        for w in taken {
            let op = w.op.clone();
            let executed = model.machine.execute(now / MS, w.op, NAMES);
            let gave = match &executed {
                Executed::Applied(record, _) => Ok(record.result),
                Executed::Duplicate(gave) => Ok(*gave),
                Executed::Rejected(code) => Err(*code),
            };
            let reply = match op {
                Operation::Open { .. } => Between::Opened(w.conn, gave.ok().map(|e| e as u64)),
                Operation::Add { gateway, epoch, seq, .. } => {
                    if matches!(executed, Executed::Applied(..)) {
                        model.seen.wrong += u64::from(!model.counted.insert((gateway, epoch, seq)));
                        model.seen.adds += 1;
                        let per_s = &mut model.seen.per_s;
                        per_s.resize(per_s.len().max(second + 1), 0);
                        per_s[second] += 1;
                    }
                    Between::Reply(w.conn, seq, gave)
                }
            };
            replies.push((w.gateway, span + ONE_WAY_DELAY, reply));
        }
        let lose = model.day.lose;
        for (k, after, reply) in replies {
            let lost = matches!(reply, Between::Reply(..)) && lose > 0.0 && self.lost(lose);
            if !lost {
                self.post(k, after, reply);
            }
        }
        self.at(now + span, Event::Committed);
    }

    /// A group is durable.
    pub(crate) fn committed(&mut self) {
        if let Some(model) = &mut self.counter {
            model.busy = false;
        }
        self.commit();
    }

    fn carry_out(&mut self, k: usize, out: Vec<Action>) {
        let now = self.now;
        for d in out {
            match d {
                Action::Connect => {
                    let Some(model) = &mut self.counter else { continue };
                    model.conns += 1;
                    let conn = model.conns;
                    if let Some(caller) = &mut self.gateways[k].caller {
                        caller.conn = conn;
                    }
                    self.post(k, 2 * ONE_WAY_DELAY, Between::Open(conn));
                }
                Action::Disconnect => {
                    if let Some(caller) = &mut self.gateways[k].caller {
                        caller.conn = 0;
                    }
                }
                Action::SendAdd { seq, counter, amount, ttl_ms, .. } => {
                    let Some(caller) = &self.gateways[k].caller else { continue };
                    let (conn, epoch, gateway) = (caller.conn, caller.calls.epoch(), k as u16);
                    let name = counter.to_be_bytes().to_vec();
                    let op = Operation::Add { gateway, epoch, seq, amount, ttl_ms, name };
                    self.post(k, ONE_WAY_DELAY, Between::Add(conn, op));
                }
                Action::Complete { counter, total, unsure, elapsed: took, details } => {
                    if let Some(model) = &mut self.counter {
                        let there = model.counted.contains(&(k as u16, details.epoch, details.seq));
                        let wrong = total.is_some() && !there || total.is_none() && !unsure && there;
                        model.seen.wrong += u64::from(wrong);
                        model.seen.unsure += u64::from(unsure);
                    }
                    let input = Input::CounterReplied {
                        counter: CounterId(counter),
                        total,
                        may_have_added: unsure,
                        elapsed: took,
                    };
                    self.at(now, Event::Input(k, self.gateways[k].incarnation, input));
                }
            }
        }
        let Some(caller) = &mut self.gateways[k].caller else { return };
        if let Some(next) = caller.calls.next_wake() {
            let next = next.max(now + 1);
            if caller.wake == 0 || next < caller.wake {
                caller.wake = next;
                self.post(k, next - now, Between::Wake);
            }
        }
    }
}
