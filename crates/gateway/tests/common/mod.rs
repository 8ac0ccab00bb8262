//! A core driven by hand: settings in memory, a clock that the test moves.
#![allow(dead_code, reason = "each test file uses its own part")]

use frostgauge::{ServerId, Status};
use frostgauge_gateway::core::{CallMetadata, Command, Core, Input};
use frostgauge_gateway::reply::GatewayAnswer;
use frostgauge_identity::{Answer, Grant};
use frostgauge_settings::{load, Loaded, Tenant};
use std::collections::{BTreeMap, BTreeSet};
use std::os::unix::fs::PermissionsExt;
use std::sync::OnceLock;

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
/// Classes by index, as names sort.
pub const PHOTO: usize = 1;
pub const READ: usize = 0;
pub const REPORT: usize = 2;

const SETTINGS: &str = r#"{
  gateway: { number: 0, zone: 'a', listen: '127.0.0.1:8001', admin: '127.0.0.1:9001' },
  fleet: { gateways: 1 },
  introspection: { address: '127.0.0.1:7100', client_id: 'gw', client_secret_file: 'client', timeout_ms: 200, fresh_ms: 2000, stale_ms: 60000 },
  classes: {
    'a-read': { aim_ms: 600, patience_ms: 2500, worth: 2, effect: { kind: 'safe' } },
    'b-photo': { aim_ms: 600, patience_ms: 2000, worth: 1, effect: { kind: 'keyed', group: 'zone', window_ms: 900 } },
    'c-report': { aim_ms: 600, patience_ms: 1500, worth: 6, effect: { kind: 'unsafe' } },
  },
  plans: { small: { rate: 2, burst: 4, price: 1 }, wide: { rate: 10000, burst: 10000, price: 1 } },
  insurers: { vale: { plan: 'small' }, serra: { plan: 'wide' } },
  routes: [
    { method: 'GET', path: '/claims/*', class: 'a-read', scope: 'claims' },
    { method: 'PUT', path: '/claims/*/photo', class: 'b-photo' },
    { method: 'POST', path: '/claims', class: 'c-report' },
  ],
  zones: ['a', 'b'],
  nodes: [{ address: '127.0.0.1:%d' % (7200 + k), zone: if k < 2 then 'a' else 'b' } for k in std.range(0, 3)],
}"#;

pub fn settings() -> Loaded {
    static LOADED: OnceLock<Loaded> = OnceLock::new();
    LOADED.get_or_init(|| read_settings(SETTINGS)).clone()
}

/// The same with preference between its two zones, and a limit on what crosses.
pub fn zoned() -> Loaded {
    let policy = "zone_policy: { tiers: { a: [['a'], ['b']] }, limits: { a: { b: { rate: 20 } } }, hold_ms: 1000, ramp_ms: 4000 },\n  zones:";
    read_settings(&SETTINGS.replace("zones:", policy))
}

fn read_settings(text: &str) -> Loaded {
    let name = format!("frostgauge-core-{}-{:?}", std::process::id(), std::thread::current().id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join("client"), "sesame").expect("written");
    let mode = std::fs::Permissions::from_mode(0o600);
    std::fs::set_permissions(folder.join("client"), mode).expect("set");
    std::fs::write(folder.join("s.jsonnet"), text).expect("written");
    let loaded = load(&folder.join("s.jsonnet")).expect("good settings");
    let _ = std::fs::remove_dir_all(&folder);
    loaded
}

/// A core with its clock and what it has said.
pub struct Host {
    pub core: Core,
    pub now: u64,
    pub out: Vec<Command>,
    pub next: u64,
    /// Attempts out, by request and attempt.
    pub running: BTreeMap<(u64, u32), ServerId>,
    /// GatewayAnswer answers by request: none for a node's.
    pub answers: BTreeMap<u64, Vec<Option<GatewayAnswer>>>,
    /// Questions out, by number, with the token.
    pub flights: BTreeMap<u64, [u8; 16]>,
    pub cancelled: BTreeSet<(u64, u32)>,
    pub sends: Vec<(u64, u32, ServerId)>,
}

impl Host {
    pub fn new() -> Host {
        Host::with(&settings())
    }

    pub fn with(loaded: &Loaded) -> Host {
        let now = 1_000_000 * S;
        let core = Core::new(loaded, 7, now).expect("good settings");
        let mut host = Host {
            core,
            now,
            out: vec![],
            next: 0,
            running: BTreeMap::new(),
            answers: BTreeMap::new(),
            flights: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            sends: vec![],
        };
        host.core.advance(now, &mut host.out);
        host.settle();
        host
    }

    /// Books the commands given so far, as the engine would carry them out.
    pub fn settle(&mut self) {
        while !self.out.is_empty() {
            for command in std::mem::take(&mut self.out) {
                match command {
                    Command::Send { call_id, attempt, server, .. } => {
                        self.running.insert((call_id, attempt), server);
                        self.sends.push((call_id, attempt, server));
                    }
                    Command::Cancel { call_id, attempt } => {
                        if let Some(server) = self.running.remove(&(call_id, attempt)) {
                            self.cancelled.insert((call_id, attempt));
                            self.ended(call_id, attempt, server, Status::Cancelled);
                        }
                    }
                    Command::Deliver { call_id, .. } => self.answers.entry(call_id).or_default().push(None),
                    Command::Answer { call_id, answer } => {
                        self.answers.entry(call_id).or_default().push(Some(answer));
                    }
                    Command::Introspect { flight, token, .. } => drop(self.flights.insert(flight, token)),
                    _ => {}
                }
            }
        }
    }

    pub fn input(&mut self, input: Input) {
        self.core.handle(self.now, input, &mut self.out);
        self.settle();
    }

    /// A call with the token of this number.
    pub fn call(&mut self, class: usize, token: u8) -> u64 {
        self.call_waiting(class, token, 1_500 * MS)
    }

    pub fn call_waiting(&mut self, class: usize, token: u8, timeout: u64) -> u64 {
        self.next += 1;
        let metadata = CallMetadata {
            call_id: self.next,
            token: [token; 16],
            class,
            units: 1.0,
            scope: "".into(),
            arrived: self.now,
            timeout,
            is_retry: false,
        };
        self.input(Input::Call(metadata));
        self.next
    }

    /// A call whose tenant is known with it, as on the platform.
    pub fn known(&mut self, class: usize, tenant: Tenant) -> u64 {
        self.next += 1;
        let (units, scope, is_retry) = (1.0, "".into(), false);
        let (call_id, token, arrived, timeout) = (self.next, [0; 16], self.now, 1_500 * MS);
        let metadata = CallMetadata { call_id, token, class, units, scope, arrived, timeout, is_retry };
        self.input(Input::AuthenticatedCall { metadata, tenant });
        self.next
    }

    /// Answers the question about a token.
    pub fn verdict(&mut self, token: u8, subject: Option<&str>) {
        let flight = *self.flights.iter().find(|f| *f.1 == [token; 16]).expect("a question").0;
        self.flights.remove(&flight);
        let answer = match subject {
            Some(name) => Answer::Good {
                grant: Grant { subject: name.into(), scopes: vec!["claims".into()] },
                exp: None,
            },
            None => Answer::Bad,
        };
        self.input(Input::Introspected { flight, answer: Some(answer) });
    }

    fn ended(&mut self, call_id: u64, attempt: u32, server: ServerId, status: Status) {
        let input = Input::AttemptEnded {
            call_id,
            attempt,
            server,
            status,
            elapsed: 30 * MS,
            usage: None,
            load: None,
        };
        self.core.handle(self.now, input, &mut self.out);
    }

    /// Ends an attempt that is out.
    pub fn end(&mut self, call_id: u64, attempt: u32, status: Status) {
        let server = self.running.remove(&(call_id, attempt)).expect("it is out");
        self.ended(call_id, attempt, server, status);
        self.settle();
    }

    /// Lets time pass, waking the core when it wants.
    pub fn pass(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(at) = self.core.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.core.advance(self.now, &mut self.out);
            self.settle();
        }
        self.now = end;
    }

    /// The one answer of a request, if it has any; more than one fails the test.
    pub fn answer(&self, call_id: u64) -> Option<Option<GatewayAnswer>> {
        let all = self.answers.get(&call_id)?;
        assert_eq!(all.len(), 1, "request {call_id}: {all:?}");
        Some(all[0])
    }

    pub fn out_of(&self, call_id: u64) -> Vec<u32> {
        self.running.keys().filter(|k| k.0 == call_id).map(|k| k.1).collect()
    }
}
